package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// queue holds the waiting tasks of running jobs, by service, in the order of
// arrival of their jobs.
type queue struct {
	lanes []lane
}

// lane is the queue of one service.
type lane struct {
	service ident.Service
	items   []waitingTask
}

type waitingTask struct {
	r     *record
	index int
}

func newQueue() queue { return queue{} }

func (q *queue) lane(s ident.Service) *lane {
	for i := range q.lanes {
		if q.lanes[i].service == s {
			return &q.lanes[i]
		}
	}
	q.lanes = append(q.lanes, lane{service: s})
	return &q.lanes[len(q.lanes)-1]
}

// services returns the services with waiting tasks.
func (q *queue) services() []ident.Service {
	var out []ident.Service
	for i := range q.lanes {
		if len(q.lanes[i].items) > 0 {
			out = append(out, q.lanes[i].service)
		}
	}
	return out
}

// push adds all tasks of a job.
func (q *queue) push(r *record) {
	l := q.lane(r.spec.Service)
	for i := range r.tasks {
		l.items = append(l.items, waitingTask{r: r, index: i})
	}
}

// putBack returns one task to the head.
func (q *queue) putBack(r *record, index int) {
	l := q.lane(r.spec.Service)
	l.items = slices.Insert(l.items, 0, waitingTask{r: r, index: index})
}

// peek returns the head of a service's queue.
func (q *queue) peek(s ident.Service) (*record, int, bool) {
	l := q.lane(s)
	if len(l.items) == 0 {
		return nil, 0, false
	}
	return l.items[0].r, l.items[0].index, true
}

func (q *queue) pop(s ident.Service) {
	l := q.lane(s)
	l.items = l.items[1:]
}

// backlog returns the number of waiting tasks of a service and how long the
// head has waited.
func (q *queue) backlog(s ident.Service, now time.Duration) (int, time.Duration) {
	l := q.lane(s)
	if len(l.items) == 0 {
		return 0, 0
	}
	return len(l.items), now - l.items[0].r.arrived
}

// remove drops all tasks of a job.
func (q *queue) remove(r *record) {
	for i := range q.lanes {
		q.lanes[i].items = slices.DeleteFunc(q.lanes[i].items, func(w waitingTask) bool { return w.r == r })
	}
}

func (q *queue) len() int {
	n := 0
	for i := range q.lanes {
		n += len(q.lanes[i].items)
	}
	return n
}
