package model

import "time"

// seedTries is the number of seeds with which a shorter trace is tried, since
// leaving a command out changes every later draw.
const seedTries = 12

// shrinkTime bounds the search; a longer trace is worth less than the wait.
const shrinkTime = 15 * time.Second

// shrink looks for a short trace that breaks the same promise.
func shrink(trace Trace, rule Rule) Trace {
	end := time.Now().Add(shrinkTime)
	for size := len(trace.Commands) / 2; size > 0 && time.Now().Before(end); {
		shorter, ok := shrinkOnce(trace, rule, size)
		if ok {
			trace = shorter
			size = min(size, len(trace.Commands)/2)
			continue
		}
		size /= 2
	}
	return trace
}

// shrinkOnce leaves out size commands at any place.
func shrinkOnce(trace Trace, rule Rule, size int) (Trace, bool) {
	for from := 0; from+size <= len(trace.Commands); from += size {
		shorter := trace
		shorter.Commands = append(append([]Command(nil), trace.Commands[:from]...), trace.Commands[from+size:]...)
		for try := range uint64(seedTries) {
			shorter.Seed = trace.Seed + try
			if r := Run(shorter); r.Broken != nil && r.Broken.Rule == rule {
				return shorter, true
			}
		}
	}
	return trace, false
}
