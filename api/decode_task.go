package api

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/job"
)

// tasks checks the tasks and returns them as tasks of a job.
func (b *jobBody) tasks() ([]job.Task, *Problem) {
	switch {
	case len(b.Tasks) == 0:
		return nil, invalid("tasks", "is empty; a job has at least one task")
	case len(b.Tasks) > job.MaxTasks:
		return nil, tooLarge("tasks", "has %d tasks; a job has at most %d", len(b.Tasks), job.MaxTasks)
	}
	if p := b.checkIndexes(); p != nil {
		return nil, p
	}
	tasks := make([]job.Task, len(b.Tasks))
	sum := 0
	for i := range b.Tasks {
		if p := b.Tasks[i].check(i); p != nil {
			return nil, p
		}
		tasks[i] = b.Tasks[i].task()
		sum += len(tasks[i].Payload)
	}
	if sum > job.MaxJobPayload {
		return nil, tooLarge("tasks", "payloads sum to %d bytes; at most %d in one job", sum, job.MaxJobPayload)
	}
	return tasks, nil
}

// checkIndexes checks that the n tasks have the indexes 0 to n-1, in this order.
func (b *jobBody) checkIndexes() *Problem {
	seen := make([]bool, len(b.Tasks))
	for i := range b.Tasks {
		field := fmt.Sprintf("tasks[%d].index", i)
		index := b.Tasks[i].Index
		switch {
		case index == nil:
			return invalid(field, "is missing")
		case *index < 0 || *index >= len(b.Tasks):
			return invalid(field, "is %d; the indexes of %d tasks are 0 to %d", *index, len(b.Tasks), len(b.Tasks)-1)
		case seen[*index]:
			return invalid(field, "%d appears twice", *index)
		case *index != i:
			return invalid(field, "is %d, but tasks come in the order of their indexes, so %d belongs here", *index, i)
		}
		seen[*index] = true
	}
	return nil
}

func (t *taskBody) check(i int) *Problem {
	field := func(name string) string { return fmt.Sprintf("tasks[%d].%s", i, name) }
	switch {
	case len(t.Payload) > job.MaxTaskPayload:
		return tooLarge(field("payload"), "is %d bytes; at most %d in one task", len(t.Payload), job.MaxTaskPayload)
	case t.DeclaredRunMS < 0 || t.DeclaredRunMS > maxDeclaredRun.Milliseconds():
		return invalid(field("declared_run_ms"), "is out of bounds; 0 to %d", maxDeclaredRun.Milliseconds())
	case t.Size < 0 || t.Size > maxSize:
		return invalid(field("size"), "is out of bounds; 0 to %d", maxSize)
	}
	return nil
}

func (t *taskBody) task() job.Task {
	return job.Task{
		Index:       *t.Index,
		Payload:     t.Payload,
		DeclaredRun: time.Duration(t.DeclaredRunMS) * time.Millisecond,
		Size:        t.Size,
	}
}
