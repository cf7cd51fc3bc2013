package report

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Window of a tally.
const (
	// TallyWindow is how far back a tally reaches.
	TallyWindow = time.Hour
	// tallyStep is how finely it can be asked.
	tallyStep    = time.Minute
	tallyBuckets = int(TallyWindow/tallyStep) + 1
)

// Count is how many jobs of one team ended in one way in one failure domain.
type Count struct {
	Team ident.Team `json:"team"`
	// Domain is the failure domain of the agent that decided the outcome, or
	// empty if the entry did.
	Domain  ident.FailureDomain `json:"failure_domain,omitempty"`
	Outcome string              `json:"outcome"`
	Reason  job.Reason          `json:"reason,omitempty"`
	Jobs    int                 `json:"jobs"`
}

// tallyKey is what a count is of.
type tallyKey struct {
	team   ident.Team
	domain ident.FailureDomain
	kind   job.Kind
	reason job.Reason
}

// tallyBucket holds the counts of one step.
type tallyBucket struct {
	step   int64
	counts map[tallyKey]int
}

// Tally counts the outcomes of jobs over the last hour, for short reports. Its
// methods may be called from any goroutine. The zero value is ready for use.
type Tally struct {
	mu      sync.Mutex
	buckets [tallyBuckets]tallyBucket
}

// Add counts one outcome at a monotonic time. Refused credentials are counted
// without the team, since anybody can make one up.
func (t *Tally) Add(now time.Duration, team ident.Team, domain ident.FailureDomain, o *job.Outcome) {
	if o.Reason == job.ReasonUnauthorized {
		team = ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	step := int64(now / tallyStep)
	b := &t.buckets[step%int64(tallyBuckets)]
	if b.counts == nil || b.step != step {
		*b = tallyBucket{step: step, counts: make(map[tallyKey]int)}
	}
	b.counts[tallyKey{team, domain, o.Kind, o.Reason}]++
}

// Counts returns the counts of the time since then, in whole minutes, ordered by
// team, failure domain, outcome and reason.
func (t *Tally) Counts(now, window time.Duration) []Count {
	sums := t.sums(now, window)
	counts := make([]Count, 0, len(sums))
	for k, n := range sums {
		counts = append(counts, Count{Team: k.team, Domain: k.domain, Outcome: k.kind.String(), Reason: k.reason, Jobs: n})
	}
	slices.SortFunc(counts, compareCounts)
	return counts
}

func (t *Tally) sums(now, window time.Duration) map[tallyKey]int {
	newest := int64(now / tallyStep)
	oldest := int64((now - min(window, TallyWindow)) / tallyStep)
	sums := make(map[tallyKey]int)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.buckets {
		b := &t.buckets[i]
		if b.counts == nil || b.step < oldest || b.step > newest {
			continue
		}
		for k, n := range b.counts {
			sums[k] += n
		}
	}
	return sums
}

func compareCounts(a, b Count) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
}

// Merge adds up the counts of several entries.
func Merge(lists ...[]Count) []Count {
	var all []Count
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortFunc(all, compareCounts)
	var merged []Count
	for _, c := range all {
		if last := len(merged) - 1; last >= 0 && compareCounts(merged[last], c) == 0 {
			merged[last].Jobs += c.Jobs
			continue
		}
		merged = append(merged, c)
	}
	return merged
}
