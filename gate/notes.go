package gate

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// taskState is the state of a task at this gate.
type taskState int

const (
	stateQueued taskState = iota + 1
	stateRunning
	stateRefused
	stateFinished
)

// taskRecord is the record of one task. It exists from when the task is queued or
// refused until Retention after its last change.
type taskRecord struct {
	home     ident.Incarnation
	request  ident.RequestID
	service  ident.Service
	state    taskState
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

// expiryEntry is an entry of the expiry order. It is stale if the record of the
// task has changed since at.
type expiryEntry struct {
	task ident.TaskID
	at   time.Duration
}

// keepResult adds a result body to the total size and drops the oldest bodies
// while it exceeds ResultBytes. Their records stay. One body is always kept.
func (g *Gate) keepResult(id ident.TaskID, rec *taskRecord) {
	if len(rec.body) == 0 {
		return
	}
	g.resultBytes += len(rec.body)
	g.keptResults = append(g.keptResults, id)
	for g.resultBytes > g.cfg.ResultBytes && len(g.keptResults) > 1 {
		g.dropResult(g.keptResults[0])
		g.keptResults = g.keptResults[1:]
	}
}

func (g *Gate) dropResult(id ident.TaskID) {
	rec := g.records[id]
	if rec == nil || rec.body == nil {
		return
	}
	g.resultBytes -= len(rec.body)
	rec.body = nil
	rec.dropped = true
}

// touch restarts the retention of a record.
func (g *Gate) touch(now time.Duration, id ident.TaskID, rec *taskRecord) {
	rec.changed = now
	g.expiryOrder = append(g.expiryOrder, expiryEntry{task: id, at: now})
}

// expire drops records that have not changed for Retention and refuses waiting
// tasks whose deadline has passed.
func (g *Gate) expire(now time.Duration) {
	for len(g.expiryOrder) > 0 && now-g.expiryOrder[0].at >= g.cfg.Retention {
		g.forget(now, g.expiryOrder[0])
		g.expiryOrder = g.expiryOrder[1:]
	}
	for len(g.keptResults) > 0 && g.records[g.keptResults[0]] == nil {
		g.keptResults = g.keptResults[1:]
	}
	removed := g.queue.remove(func(id ident.TaskID) bool { return now >= g.records[id].deadline })
	for _, id := range removed {
		g.refuse(now, id, g.records[id], job.ReasonDeadline)
	}
}

// forget drops a record if it has not changed since the entry was made. The record
// of a running or queued task is never dropped.
func (g *Gate) forget(now time.Duration, a expiryEntry) {
	rec := g.records[a.task]
	if rec == nil || rec.changed != a.at {
		return
	}
	if rec.state == stateRunning || rec.state == stateQueued {
		g.touch(now, a.task, rec)
		return
	}
	g.resultBytes -= len(rec.body)
	g.stats.Expired++
	delete(g.records, a.task)
}
