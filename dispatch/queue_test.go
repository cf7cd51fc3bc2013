package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaildock.example/dock/ident"
)

// modelQueue is the reference model of Queue. It finds the job with the lowest
// rank by linear search.
type modelQueue struct {
	jobs []*modelJob
}

type modelJob struct {
	key     ident.JobKey
	since   time.Duration
	indexes []int
	size    int
}

func (m *modelQueue) next(weight time.Duration) int {
	best := 0
	for i, j := range m.jobs {
		if j.rank(weight) < m.jobs[best].rank(weight) {
			best = i
		}
	}
	return best
}

func (j *modelJob) rank(weight time.Duration) time.Duration {
	return j.since + time.Duration(j.size)*weight
}

func TestQueueMatchesItsDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const weight = 5 * time.Millisecond
		q := NewQueue(weight)
		m := &modelQueue{}
		tasks := 0
		arrived := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				arrived++
				j := &modelJob{
					key:   ident.JobKey{Team: "t", Key: fmt.Sprint(arrived)},
					since: time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond,
				}
				j.size = rapid.IntRange(1, 8).Draw(t, "tasks")
				for i := range j.size {
					j.indexes = append(j.indexes, i)
				}
				q.PushJob(j.key, "s", j.since, 0, j.size)
				tasks += j.size
				m.jobs = append(m.jobs, j)
			},
			"pop": func(t *rapid.T) {
				w, ok := q.Pop("s")
				if ok != (tasks > 0) {
					t.Fatalf("Pop returned %v with %d tasks waiting", ok, tasks)
				}
				if !ok {
					return
				}
				i := m.next(weight)
				want := ident.TaskID{Job: m.jobs[i].key, Index: m.jobs[i].indexes[0]}
				if w.Task != want {
					t.Fatalf("popped %v, want %v", w.Task, want)
				}
				tasks--
				m.jobs[i].indexes = m.jobs[i].indexes[1:]
				if len(m.jobs[i].indexes) == 0 {
					m.jobs = append(m.jobs[:i], m.jobs[i+1:]...)
				}
			},
			"refuse": func(t *rapid.T) {
				w, ok := q.Pop("s")
				if !ok {
					return
				}
				q.Push(w)
				i := m.next(weight)
				j := m.jobs[i]
				j.indexes = append(j.indexes[1:], w.Task.Index)
				if len(j.indexes) == 1 {
					m.jobs = append(append(m.jobs[:i:i], m.jobs[i+1:]...), j)
				}
			},
			"remove": func(t *rapid.T) {
				if len(m.jobs) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.jobs)-1).Draw(t, "job")
				if got := len(q.RemoveJob(m.jobs[i].key)); got != len(m.jobs[i].indexes) {
					t.Fatalf("removed %d tasks, want %d", got, len(m.jobs[i].indexes))
				}
				tasks -= len(m.jobs[i].indexes)
				m.jobs = append(m.jobs[:i], m.jobs[i+1:]...)
			},
			"": func(t *rapid.T) {
				if q.LenOf("s") != tasks {
					t.Fatalf("queue holds %d tasks, want %d", q.LenOf("s"), tasks)
				}
			},
		})
	})
}

func BenchmarkQueue(b *testing.B) {
	q := NewQueue(0)
	for i := range 1000 {
		q.Push(WaitingTask{Task: ident.TaskID{Job: ident.JobKey{Key: fmt.Sprint(i)}}, Service: "s", Since: time.Duration(i)})
	}
	for b.Loop() {
		w, _ := q.Pop("s")
		q.Push(w)
	}
}
