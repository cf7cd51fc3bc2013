package gate

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// noteState is what is known of a task at this gate.
type noteState int

const (
	stateQueued noteState = iota + 1
	stateRunning
	stateRefused
	stateFinished
)

// note is the memory of one task. Notes exist from the moment a task is
// accepted or refused until Retention after its last change.
type note struct {
	home     ident.Incarnation
	request  ident.RequestID
	service  ident.Service
	state    noteState
	attempt  int
	payload  []byte
	deadline time.Duration
	rank     time.Duration
	started  time.Duration
	ran      time.Duration
	verdict  Verdict
	body     []byte
	dropped  bool
	reason   job.Reason
	detail   string
	changed  time.Duration
}

// aged is an entry of the expiry order. It is stale if its note has changed
// since.
type aged struct {
	task ident.TaskID
	at   time.Duration
}

// keepResult accounts for a result body and drops the oldest bodies beyond the
// bound. Notes stay.
func (g *Gate) keepResult(id ident.TaskID, n *note) {
	if len(n.body) == 0 {
		return
	}
	g.bytes += len(n.body)
	g.results = append(g.results, id)
	for g.bytes > g.cfg.ResultBytes && len(g.results) > 1 {
		g.dropResult(g.results[0])
		g.results = g.results[1:]
	}
}

func (g *Gate) dropResult(id ident.TaskID) {
	n := g.notes[id]
	if n == nil || n.body == nil {
		return
	}
	g.bytes -= len(n.body)
	n.body = nil
	n.dropped = true
}

// touch restarts the retention of a note.
func (g *Gate) touch(now time.Duration, id ident.TaskID, n *note) {
	n.changed = now
	g.order = append(g.order, aged{task: id, at: now})
}

// expire drops notes that are older than Retention and refuses waiting tasks
// whose deadline has passed.
func (g *Gate) expire(now time.Duration) {
	for len(g.order) > 0 && now-g.order[0].at >= g.cfg.Retention {
		g.forget(now, g.order[0])
		g.order = g.order[1:]
	}
	for len(g.results) > 0 && g.notes[g.results[0]] == nil {
		g.results = g.results[1:]
	}
	removed := g.queue.remove(func(id ident.TaskID) bool { return now >= g.notes[id].deadline })
	for _, id := range removed {
		g.refuse(now, id, g.notes[id], job.ReasonDeadline)
	}
}

// forget drops the note if it has not changed since the entry was made. A
// running or queued task is never forgotten.
func (g *Gate) forget(now time.Duration, a aged) {
	n := g.notes[a.task]
	if n == nil || n.changed != a.at {
		return
	}
	if n.state == stateRunning || n.state == stateQueued {
		g.touch(now, a.task, n)
		return
	}
	g.bytes -= len(n.body)
	g.stats.Expired++
	delete(g.notes, a.task)
}
