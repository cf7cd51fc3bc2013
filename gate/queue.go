package gate

import (
	"container/heap"
	"time"

	"foxtaildock.example/dock/ident"
)

// rankQueue is a priority queue of the tasks that wait for a slot. The lowest rank
// comes first; equal ranks are in order of arrival.
type rankQueue struct {
	items    ranks
	sequence uint64
}

// ranked is one waiting task.
type ranked struct {
	task     ident.TaskID
	rank     time.Duration
	sequence uint64
}

// Len returns the number of waiting tasks.
func (q *rankQueue) Len() int { return len(q.items) }

func (q *rankQueue) push(task ident.TaskID, rank time.Duration) {
	q.sequence++
	heap.Push(&q.items, ranked{task: task, rank: rank, sequence: q.sequence})
}

func (q *rankQueue) pop() ident.TaskID {
	return heap.Pop(&q.items).(ranked).task
}

// remove removes the tasks that match and returns them. Their order is
// deterministic, but otherwise unspecified.
func (q *rankQueue) remove(match func(ident.TaskID) bool) []ident.TaskID {
	var removed []ident.TaskID
	kept := q.items[:0]
	for _, item := range q.items {
		if match(item.task) {
			removed = append(removed, item.task)
			continue
		}
		kept = append(kept, item)
	}
	clear(q.items[len(kept):])
	q.items = kept
	if len(removed) > 0 {
		heap.Init(&q.items)
	}
	return removed
}

// ranks implements heap.Interface.
type ranks []ranked

// Len implements heap.Interface.
func (r ranks) Len() int { return len(r) }

// Less implements heap.Interface.
func (r ranks) Less(i, j int) bool {
	if r[i].rank != r[j].rank {
		return r[i].rank < r[j].rank
	}
	return r[i].sequence < r[j].sequence
}

// Swap implements heap.Interface.
func (r ranks) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *ranks) Push(x any) { *r = append(*r, x.(ranked)) }

// Pop implements heap.Interface.
func (r *ranks) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	(*r)[last] = ranked{}
	*r = (*r)[:last]
	return x
}
