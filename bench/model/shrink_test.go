package model

import "time"

// seedAttempts is the number of seeds with which a shorter trace is tried,
// since omitting a command changes all later random draws.
const seedAttempts = 12

// shrinkTime limits the search: a slightly longer trace is better than a longer
// wait.
const shrinkTime = 15 * time.Second

// shrink searches for a shorter trace that violates the same guarantee.
func shrink(trace Trace, guarantee Guarantee) Trace {
	end := time.Now().Add(shrinkTime)
	for size := len(trace.Commands) / 2; size > 0 && time.Now().Before(end); {
		shorter, ok := shrinkOnce(trace, guarantee, size)
		if ok {
			trace = shorter
			size = min(size, len(trace.Commands)/2)
			continue
		}
		size /= 2
	}
	return trace
}

// shrinkOnce tries to omit size consecutive commands and returns the first
// shorter trace that still violates the guarantee.
func shrinkOnce(trace Trace, guarantee Guarantee, size int) (Trace, bool) {
	for from := 0; from+size <= len(trace.Commands); from += size {
		shorter := trace
		shorter.Commands = append(append([]Command(nil), trace.Commands[:from]...), trace.Commands[from+size:]...)
		for attempt := range uint64(seedAttempts) {
			shorter.Seed = trace.Seed + attempt
			if r := Run(shorter); r.Violation != nil && r.Violation.Guarantee == guarantee {
				return shorter, true
			}
		}
	}
	return trace, false
}
