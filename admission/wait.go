package admission

import (
	"time"

	"foxtaildock.example/dock/job"
)

// queueLimit returns the number of jobs of the team that may wait here.
func (t *team) queueLimit() int {
	if t.limits.Queued > 0 {
		return t.limits.Queued
	}
	return defaultQueueLimit
}

// expectedWait estimates how long a job would wait, here and at its home, and
// returns the reason of the wait with its text.
func (a *Admission) expectedWait(now time.Duration, t *team, tasks int) (time.Duration, job.Reason, string) {
	byRate := t.bucket.wait(now, t.queued+tasks)
	if t.bucket.rate > 0 && t.queued > 0 {
		byRate = max(byRate, seconds(float64(t.queued)/t.bucket.rate))
	}
	bySlots := max(a.slotWait(now, t), a.backlogWait(now, t, tasks))
	if byRate >= bySlots {
		return byRate, job.ReasonQuota, "the team's rate is used up"
	}
	return bySlots, job.ReasonOverloaded, "all slots are busy and others wait"
}

// slotWait estimates how long the team's queue at this entry takes, at the team's
// fair share of the rate at which tasks finish.
func (a *Admission) slotWait(now time.Duration, t *team) time.Duration {
	rate := a.capacity.throughput() * a.slotShare(now) * a.ready.weightShare(t)
	if t.queued == 0 || rate == 0 || a.hasRoom(now) {
		return 0
	}
	return seconds(float64(t.queued) / rate)
}

// backlogWait estimates how long the last task of a job waits at its home. Homes
// start smaller jobs first, so a job waits for the whole backlog or for the length
// of its handicaps, whichever is less, and then for its own tasks.
func (a *Admission) backlogWait(now time.Duration, t *team, tasks int) time.Duration {
	throughput := a.capacity.throughput()
	if throughput == 0 || a.capacity.Waiting < a.capacity.Slots {
		return 0
	}
	others := float64(a.capacity.Waiting) + a.recent.decayed(now)/a.slotShare(now)
	return min(seconds(others/throughput), sizeHandicap(tasks)+a.overuseHandicap(now, t)) + seconds(float64(tasks)/throughput)
}

// sizeHandicap returns the handicap for the size of a job, as in dispatch.Queue.
func sizeHandicap(tasks int) time.Duration {
	return min(time.Duration(tasks)*handicapPerTask, maxSizeHandicap)
}

// typicalRun returns the typical run time of a task; zero if unknown.
func (a *Admission) typicalRun() time.Duration { return a.capacity.Pace }

// overuseHandicap returns the handicap of the team's jobs for use beyond its fair
// share.
func (a *Admission) overuseHandicap(now time.Duration, t *team) time.Duration {
	fair := a.fairRate(now, t)
	if fair == 0 || a.capacity.Waiting < a.capacity.Slots {
		return 0
	}
	excess := t.used.rate(now)/fair - 1
	return min(maxOveruseHandicap, time.Duration(max(0, excess)*float64(handicapPerOveruse)))
}

// retryAfter returns the time after which a refused caller may retry. It is drawn
// from a range that grows with the wait, so that callers don't retry all at once.
func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter/retrySpread)
	spread := wait * (retrySpread - 1)
	if a.config.Random == nil {
		return wait + spread/2
	}
	return wait + time.Duration(a.config.Random.Int64N(int64(spread)))
}

// seconds converts seconds to a Duration. The bound keeps the result of a division by
// a very small rate within the range of a Duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()*1000) * float64(time.Second))
}
