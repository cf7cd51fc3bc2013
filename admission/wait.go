package admission

import (
	"time"

	"foxtaildock.example/dock/job"
)

func (t *team) queueLimit() int {
	if t.limits.Queued > 0 {
		return t.limits.Queued
	}
	return defaultQueued
}

// expectedWait estimates how long a job would wait here, and why.
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

// slotWait estimates how long the team's queue takes at its fair part of the
// rate at which tasks finish.
func (a *Admission) slotWait(now time.Duration, t *team) time.Duration {
	rate := a.capacity.drain() * a.part(now) * a.ready.part(t)
	if t.queued == 0 || rate == 0 || a.hasRoom(now) {
		return 0
	}
	return seconds(float64(t.queued) / rate)
}

// backlogWait estimates how long the last task of a job waits at its home. Homes
// start smaller jobs first, so a job waits for the whole backlog or for as long
// as it is set back, whichever is less, and for its own tasks.
func (a *Admission) backlogWait(now time.Duration, t *team, tasks int) time.Duration {
	drain := a.capacity.drain()
	if drain == 0 || a.capacity.Waiting < a.capacity.Slots {
		return 0
	}
	others := float64(a.capacity.Waiting) + a.recent.count(now)/a.part(now)
	return min(seconds(others/drain), handicap(tasks)+a.overuse(now, t)) + seconds(float64(tasks)/drain)
}

// handicap sets larger jobs back, as in dispatch.Queue.
func handicap(tasks int) time.Duration {
	return min(time.Duration(tasks)*taskHandicap, longestHandicap)
}

// usualRun is how long a task runs, usually.
func (a *Admission) usualRun() time.Duration { return a.capacity.Pace }

// overuse returns how far the team's jobs are set back.
func (a *Admission) overuse(now time.Duration, t *team) time.Duration {
	fair := a.fairRate(now, t)
	if fair == 0 || a.capacity.Waiting < a.capacity.Slots {
		return 0
	}
	excess := t.used.rate(now)/fair - 1
	return min(longestOveruse, time.Duration(max(0, excess)*float64(overuseHandicap)))
}

// retryAfter spreads the callers that come back over a time that grows with the
// wait, so that they don't come back together.
func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, shortestRetry), longestRetry/retrySpread)
	spread := wait * (retrySpread - 1)
	if a.config.Random == nil {
		return wait + spread/2
	}
	return wait + time.Duration(a.config.Random.Int64N(int64(spread)))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, longestRetry.Seconds()*1000) * float64(time.Second))
}
