package load

import (
	"encoding/json"
	"errors"
	"os"
	"time"
)

// resultLine is one line of a results file.
type resultLine struct {
	Key        string    `json:"key"`
	FirstSent  time.Time `json:"first_sent"`
	TookMS     int64     `json:"took_ms"`
	Tasks      int       `json:"tasks"`
	Outcome    Outcome   `json:"outcome"`
	Reason     string    `json:"reason,omitempty"`
	Detail     string    `json:"detail,omitempty"`
	Wrong      string    `json:"wrong,omitempty"`
	Attempts   int       `json:"attempts"`
	Cut        int       `json:"cut,omitempty"`
	Duplicated bool      `json:"duplicated,omitempty"`
}

// WriteResults writes a file with one JSON line for each result, for the analysis of
// failures.
func WriteResults(path string, results []Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	lines := json.NewEncoder(f)
	for _, r := range results {
		err = errors.Join(err, lines.Encode(resultLine{
			Key:        r.Job.Key,
			FirstSent:  r.FirstSent,
			TookMS:     r.Took.Milliseconds(),
			Tasks:      len(r.Job.Tasks),
			Outcome:    r.Outcome,
			Reason:     r.Reason,
			Detail:     r.Detail,
			Wrong:      r.Defect,
			Attempts:   r.Attempts,
			Cut:        r.Disconnects,
			Duplicated: r.Duplicated,
		}))
	}
	return errors.Join(err, f.Close())
}
