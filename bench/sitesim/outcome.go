package sitesim

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/schedule"
)

// Fate is how a job ended for its caller.
type Fate int

// Fates of a job. Lost jobs failed, timed out, or were completed too late to be useful.
const (
	InTime Fate = iota
	Late
	Refused
	Lost
)

// Outcome is what a caller got for one job.
type Outcome struct {
	Kind string
	// Class is the job's size class: 0 for the largest tenth of its kind, 1 for the next
	// fifth, 2 for the rest. Stragglers don't count for it.
	Class int
	Entry int           // the entry that the job was sent to first
	At    time.Duration // of arrival, after the start of the load
	Fate  Fate
	// Worth is the job's value if it is completed in time, Earned that of its answer.
	Worth, Earned float64
	// RefusedFree says that the job was refused although a server that its entry reached
	// had been free for over 20 ms.
	RefusedFree bool
}

// Tally sums up outcomes.
type Tally struct {
	Jobs          int
	Fates         [4]int
	Worth, Earned float64
}

// Add counts one outcome.
func (t *Tally) Add(o *Outcome) {
	t.Jobs++
	t.Fates[o.Fate]++
	t.Worth += o.Worth
	t.Earned += o.Earned
}

// Share returns the share of the jobs with the given fate, 0 if there are no jobs.
func (t *Tally) Share(f Fate) float64 { return float64(t.Fates[f]) / float64(max(1, t.Jobs)) }

// Benefit returns the earned share of the worth, 1 if there are no jobs.
func (t *Tally) Benefit() float64 {
	if t.Worth == 0 {
		return 1
	}
	return t.Earned / t.Worth
}

// TallyBy sums up the outcomes by a key.
func TallyBy[K comparable](list []Outcome, key func(*Outcome) K) map[K]*Tally {
	sums := map[K]*Tally{}
	for i := range list {
		k := key(&list[i])
		if sums[k] == nil {
			sums[k] = &Tally{}
		}
		sums[k].Add(&list[i])
	}
	return sums
}

// outcomes returns the outcomes of all jobs whose callers waited.
func (c *callers) outcomes() []Outcome {
	classes := c.sizeClasses()
	var list []Outcome
	for _, j := range c.list {
		if j.disconnected {
			continue
		}
		fate := j.fate()
		o := j.outcome(classes[j], fate)
		o.RefusedFree = fate == Refused && j.refusedFree
		list = append(list, o)
	}
	return list
}

func (j *callerJob) fate() Fate {
	took := j.ended - j.sent
	switch {
	case j.verdict == schedule.Rejected:
		return Refused
	case j.verdict != schedule.Completed || took > lateLimit*j.objective():
		return Lost
	case took > j.objective():
		return Late
	}
	return InTime
}

func (j *callerJob) outcome(class int, fate Fate) Outcome {
	o := Outcome{Kind: j.kind.Route.Name, Class: class, Entry: j.home, At: j.sent - warmUp, Fate: fate, Worth: j.kind.Worth * j.weight()}
	switch fate {
	case InTime:
		o.Earned = o.Worth
	case Late:
		o.Earned = o.Worth * j.kind.LateWorth / j.kind.Worth
	}
	return o
}

// sizeClasses returns the size class of each job within its kind.
func (c *callers) sizeClasses() map[*callerJob]int {
	byKind := map[*Kind][]*callerJob{}
	for _, j := range c.list {
		byKind[j.kind] = append(byKind[j.kind], j)
	}
	classes := map[*callerJob]int{}
	for _, list := range byKind {
		slices.SortStableFunc(list, func(a, b *callerJob) int { return cmp.Compare(b.work, a.work) })
		for i, j := range list {
			switch {
			case 10*i < len(list):
				classes[j] = 0
			case 10*i < 3*len(list):
				classes[j] = 1
			default:
				classes[j] = 2
			}
		}
	}
	return classes
}
