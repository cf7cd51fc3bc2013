package schedule

import (
	"time"

	"foxtaildock.example/dock/work"
)

// Presence tells whether something of a job is at an entry.
type Presence int

// The kinds of presence.
const (
	// Absent: the core doesn't have the job, and no run of it is left that it has offered.
	Absent Presence = iota
	// Present: the core has the job.
	Present
	// Ending: the core no longer has the job, and some of its last runs may not have ended yet.
	Ending
)

// endingJobs are the jobs that were ended while they had runs.
type endingJobs struct {
	jobs  map[work.JobID]*endingJob
	order []endingJob // by over
}

type endingJob struct {
	id   work.JobID
	runs map[work.Run]struct{} // those whose end wasn't reported yet
	// over is when no run is left in any case, since its lease has lapsed.
	over time.Duration
}

// add records a run that is being stopped.
func (e *endingJobs) add(run work.Run, over time.Duration) {
	id := run.Task.Job
	j := e.jobs[id]
	if j == nil {
		j = &endingJob{id: id, runs: map[work.Run]struct{}{}}
		e.jobs[id] = j
	}
	if j.over != over {
		j.over = over
		e.order = append(e.order, endingJob{id: id, over: over})
	}
	j.runs[run] = struct{}{}
}

// ended records the end of a run.
func (e *endingJobs) ended(run work.Run) {
	j := e.jobs[run.Task.Job]
	if j == nil {
		return
	}
	delete(j.runs, run)
	if len(j.runs) == 0 {
		delete(e.jobs, run.Task.Job)
	}
}

// forget drops the jobs of which no run is left in any case.
func (e *endingJobs) forget(now time.Duration) {
	for len(e.order) > 0 && e.order[0].over <= now {
		if j := e.jobs[e.order[0].id]; j != nil && j.over <= now {
			delete(e.jobs, j.id)
		}
		e.order = e.order[1:]
	}
}

// Presence returns whether something of a job is at the entry, as of the last step.
func (c *Core) Presence(id work.JobID) Presence {
	switch {
	case c.jobs[id] != nil:
		return Present
	case c.ending.jobs[id] != nil:
		return Ending
	}
	return Absent
}
