package usersite

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"foxtaildock.example/bench/cluster"
)

// GracePeriod is the time from SIGTERM to SIGKILL at a planned stop of a process.
const GracePeriod = 6 * time.Second

// StopAsPlanned stops a process as the platform does: with SIGTERM, and with SIGKILL
// if it still runs at the end of the grace period. It reports whether SIGKILL was needed,
// and returns an error if the process failed.
func StopAsPlanned(p *cluster.Process) (killed bool, err error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	err = p.Wait(GracePeriod)
	switch {
	case errors.Is(err, cluster.ErrStillRunning):
		return true, p.Kill()
	case endedBySIGTERM(err):
		return false, nil
	default:
		return false, err
	}
}

// endedBySIGTERM reports whether SIGTERM itself ended a process, which had not installed
// its handler yet because it was just starting.
func endedBySIGTERM(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// Unanswered returns the exchanges whose request their entry has read and not answered.
// An entry has read a request if it has logged a line about the job meanwhile. It returns
// an error if the log of an entry can't be read.
func (s *Site) Unanswered(exchanges []Exchange) ([]Exchange, error) {
	logged := make([]map[string][]time.Time, len(s.Entries))
	for i, p := range s.Entries {
		times, err := jobLines(p.LogPath)
		if err != nil {
			return nil, err
		}
		logged[i] = times
	}
	var unanswered []Exchange
	for _, x := range exchanges {
		if x.Outcome != Answered && anyWithin(logged[x.Entry][x.Job], x.Sent, x.Ended) {
			unanswered = append(unanswered, x)
		}
	}
	return unanswered, nil
}

func anyWithin(times []time.Time, from, to time.Time) bool {
	for _, t := range times {
		if !t.Before(from) && !t.After(to) {
			return true
		}
	}
	return false
}

// jobLines returns the times of an entry's log lines about each job.
func jobLines(path string) (map[string][]time.Time, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	times := map[string][]time.Time{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var line struct {
			Timestamp time.Time `json:"timestamp"`
			Fields    struct {
				Job string `json:"job"`
			} `json:"fields"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Fields.Job == "" {
			continue // the output of a crash, or a line about something else
		}
		times[line.Fields.Job] = append(times[line.Fields.Job], line.Timestamp)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	return times, nil
}
