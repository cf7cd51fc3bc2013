package sim

import (
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"

	"foxtaildock.example/bench/sim/eventqueue"
)

const anyService ident.Service = "numbering"

// ideal runs a trace on one queue in front of all slots, with no latency and no
// message, in the same order of jobs as the homes use. It knows of no faults.
type ideal struct {
	events  eventqueue.Queue[func()]
	queue   *dispatch.Queue
	jobs    map[ident.JobKey]*progress
	free    int
	results *responses
}

// progress is one job under way.
type progress struct {
	job     *Job
	started time.Duration
	left    int
	done    bool
	request ident.RequestID
	// entry is nil if no entry admits jobs.
	entry *entry
	try   int
}

// runIdeal returns the response times of the trace under the ideal.
func runIdeal(site Site, trace *Trace, warmUp time.Duration) *responses {
	s := &ideal{
		queue:   dispatch.NewQueue(0),
		jobs:    make(map[ident.JobKey]*progress, len(trace.Jobs)),
		free:    site.TotalSlots(),
		results: newResponses(warmUp),
	}
	for i := range trace.Jobs {
		job := &trace.Jobs[i]
		s.events.Push(job.At, func() { s.arrive(job) })
	}
	for {
		event, ok := s.events.Pop()
		if !ok {
			return s.results
		}
		event()
	}
}

func (s *ideal) arrive(job *Job) {
	now := s.events.Now()
	s.jobs[job.Key] = &progress{job: job, started: now, left: len(job.Tasks)}
	s.queue.PushJob(job.Key, anyService, now, 0, len(job.Tasks))
	if job.CancelAfter > 0 {
		s.events.Push(now+job.CancelAfter, func() { s.cancel(job) })
	}
	s.fill()
}

func (s *ideal) cancel(job *Job) {
	p := s.jobs[job.Key]
	if p.done {
		return
	}
	p.done = true
	s.queue.RemoveJob(job.Key)
}

func (s *ideal) fill() {
	for s.free > 0 {
		w, ok := s.queue.Pop(anyService)
		if !ok {
			return
		}
		s.free--
		p := s.jobs[w.Task.Job]
		s.events.Push(s.events.Now()+p.job.Tasks[w.Task.Index].Run, func() { s.finish(p) })
	}
}

func (s *ideal) finish(p *progress) {
	s.free++
	p.left--
	if p.left == 0 && !p.done {
		p.done = true
		s.results.add(p.job, s.events.Now()-p.started)
	}
	s.fill()
}
