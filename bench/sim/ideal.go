package sim

import (
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"

	"foxtaildock.example/bench/sim/eventqueue"
)

const anyService ident.Service = "numbering"

// ideal is the reference with which the policies are compared. It runs a trace
// on one central queue in front of all slots, without latency and messages, and
// orders jobs as the homes do. It ignores faults.
type ideal struct {
	events  eventqueue.Queue[func()]
	queue   *dispatch.Queue
	jobs    map[ident.JobKey]*jobProgress
	free    int
	results *responses
}

// jobProgress is the state of one submission of a job.
type jobProgress struct {
	job       *Job
	started   time.Duration
	remaining int
	done      bool
	request   ident.RequestID
	// entry is nil if the run has no entries.
	entry *entry
	// attempt counts the submissions of the job, from 1.
	attempt int
}

// runIdeal returns the response times of the trace under the ideal scheduler.
func runIdeal(site Site, trace *Trace, warmUp time.Duration) *responses {
	s := &ideal{
		queue:   dispatch.NewQueue(0),
		jobs:    make(map[ident.JobKey]*jobProgress, len(trace.Jobs)),
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
	s.jobs[job.Key] = &jobProgress{job: job, started: now, remaining: len(job.Tasks)}
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

func (s *ideal) finish(p *jobProgress) {
	s.free++
	p.remaining--
	if p.remaining == 0 && !p.done {
		p.done = true
		s.results.add(p.job, s.events.Now()-p.started)
	}
	s.fill()
}
