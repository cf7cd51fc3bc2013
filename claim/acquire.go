package claim

import (
	"context"
	"slices"

	"foxtaildock.example/dock/work"
)

// Calls are the calls about one job that an entry makes to others.
type Calls interface {
	// Claim claims the job at its arbiters, and returns the other holders that they name. Those
	// that don't answer are left out. The error is the context's if that ends first.
	Claim(ctx context.Context, mine Holder, absent []Holder) ([]Holder, error)
	// Locate asks a holder for the job. It returns only once no run of the job is left of one that
	// doesn't have it, and also whom it follows if it does. The error is as that of Claim.
	Locate(ctx context.Context, mine, holder Holder) (Location, Holder, error)
}

// Location is where a job is, as far as the entry that was asked knows.
type Location int

// The locations.
const (
	// Nowhere: the entry doesn't have the job, or is gone.
	Nowhere Location = iota
	// Here: the entry has the job, or goes first with its claim.
	Here
	// Elsewhere: the entry follows another one.
	Elsewhere
)

// Acquire decides a claim that has begun. If another entry has the job, it returns that one, which
// this entry follows from now on; else the job is this entry's. The error is that of the calls.
func (c *Claims) Acquire(ctx context.Context, calls Calls, job work.JobID, mine Holder) (holder Holder, err error) {
	var absent []Holder
	for {
		named, err := calls.Claim(ctx, mine, absent)
		if err != nil {
			return Holder{}, err
		}
		if len(named) == 0 {
			other, yielded := c.settle(job)
			if !yielded {
				return Holder{}, nil
			}
			named = []Holder{other}
		}
		holder, absent, err = Find(ctx, calls, mine, named)
		if err != nil {
			return Holder{}, err
		}
		if holder != (Holder{}) {
			c.follow(job, holder)
			return holder, nil
		}
	}
}

// Find asks the named holders for a job, and those that they follow, until one has it. If none has
// it, holder is empty and absent lists all that were asked. The error is that of the calls.
func Find(ctx context.Context, calls Calls, mine Holder, named []Holder) (holder Holder, absent []Holder, err error) {
	for i := 0; i < len(named); i++ { // named grows
		if named[i].Incarnation == mine.Incarnation {
			continue // the entry itself, by an earlier claim or since another one follows it
		}
		at, followed, err := calls.Locate(ctx, mine, named[i])
		if err != nil {
			return Holder{}, nil, err
		}
		if at == Here {
			return named[i], nil, nil
		}
		if at == Elsewhere && !slices.Contains(named, followed) {
			named = append(named, followed)
		}
	}
	return Holder{}, named, nil
}
