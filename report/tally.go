package report

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Window and buckets of a tally.
const (
	// TallyWindow is the time over which a tally counts.
	TallyWindow = time.Hour
	// tallyBucketLength is the time that one bucket counts.
	tallyBucketLength = time.Minute
	tallyBuckets      = int(TallyWindow/tallyBucketLength) + 1
)

// tallyKey is the key by which outcomes are counted.
type tallyKey struct {
	team   ident.Team
	domain ident.FailureDomain
	kind   job.Kind
	reason job.Reason
}

// tallyBucket holds the counts of one interval of tallyBucketLength. index is
// the number of the interval, from 0 at time 0.
type tallyBucket struct {
	index  int64
	counts map[tallyKey]int64
}

// Tally counts the outcomes of jobs over the last hour, for the short report.
// Its methods may be called from any goroutine. The zero value is ready for
// use.
type Tally struct {
	mu      sync.Mutex
	buckets [tallyBuckets]tallyBucket
}

// Add counts one outcome at the monotonic time now. team must be authenticated
// by its token, or be empty if it is not, since an unauthenticated caller can
// send any name.
func (t *Tally) Add(now time.Duration, team ident.Team, domain ident.FailureDomain, o *job.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	index := int64(now / tallyBucketLength)
	b := &t.buckets[index%int64(tallyBuckets)]
	if b.counts == nil || b.index != index {
		*b = tallyBucket{index: index, counts: make(map[tallyKey]int64)}
	}
	b.counts[tallyKey{team, domain, o.Kind, o.Reason}]++
}

// Counts returns the counts of the last hour before now, extended to whole
// minutes, ordered by team, failure domain, outcome and reason.
func (t *Tally) Counts(now time.Duration) []api.JobTally {
	sums := t.sums(now)
	counts := make([]api.JobTally, 0, len(sums))
	for k, n := range sums {
		counts = append(counts, api.JobTally{
			Team: string(k.team), Domain: string(k.domain), Outcome: k.kind.String(), Reason: string(k.reason), Count: n,
		})
	}
	slices.SortFunc(counts, compareTallies)
	return counts
}

func (t *Tally) sums(now time.Duration) map[tallyKey]int64 {
	newest := int64(now / tallyBucketLength)
	oldest := int64((now - TallyWindow) / tallyBucketLength)
	sums := make(map[tallyKey]int64)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.buckets {
		b := &t.buckets[i]
		if b.counts == nil || b.index < oldest || b.index > newest {
			continue
		}
		for k, n := range b.counts {
			sums[k] += n
		}
	}
	return sums
}

func compareTallies(a, b api.JobTally) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
}

// MergeTallies adds up counts of several entries. The result has the order of
// Tally.Counts.
func MergeTallies(all []api.JobTally) []api.JobTally {
	sorted := slices.SortedFunc(slices.Values(all), compareTallies)
	var merged []api.JobTally
	for _, t := range sorted {
		if last := len(merged) - 1; last >= 0 && compareTallies(merged[last], t) == 0 {
			merged[last].Count += t.Count
			continue
		}
		merged = append(merged, t)
	}
	return merged
}
