package runner

import (
	"time"

	"foxtaildock.example/dock/run"
)

const (
	// witnessPeriod is how long the agent remembers which runs went down with its backend
	// server, for entries that attach later: longer than any caller submits a job again
	// after a lost answer.
	witnessPeriod = time.Minute
	// maxWitnessed is the largest number of such runs; the oldest is forgotten first.
	maxWitnessed = 1024
)

// witnessed is a run that went down with the backend server.
type witnessed struct {
	report run.Report
	at     time.Duration
}

// forgetWitnessed drops the runs that are too old, and the oldest if there are too many.
func (r *Runner) forgetWitnessed(now time.Duration) {
	for len(r.witnessed) > 0 && (len(r.witnessed) >= maxWitnessed || now-r.witnessed[0].at > witnessPeriod) {
		r.witnessed = r.witnessed[1:]
	}
}

// tellOtherEntries reports a run that went down with the backend server to the entries
// that didn't start it, since its job may be submitted to them next.
func (r *Runner) tellOtherEntries(a run.Report, now time.Duration) {
	r.forgetWitnessed(now)
	a.ForOtherEntry = true
	r.witnessed = append(r.witnessed, witnessed{report: a, at: now})
	for entry, s := range r.sessions {
		if entry != a.Entry {
			s.addResult(a)
		}
	}
}

// tellNewEntry adds to the results for a new entry the runs that went down before.
func (r *Runner) tellNewEntry(s *entrySession, now time.Duration) {
	r.forgetWitnessed(now)
	for _, w := range r.witnessed {
		s.results.Add(w.report)
	}
}
