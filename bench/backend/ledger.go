package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// TaskID names one task of one job.
type TaskID struct {
	Team  string `json:"team"`
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String formats the task for reports.
func (t TaskID) String() string { return fmt.Sprintf("%s/%s#%d", t.Team, t.Job, t.Index) }

// Start is one start of one task.
type Start struct {
	TaskID
	AtUnixMS int64  `json:"at_unix_ms"`
	Server   string `json:"server"`
	Domain   string `json:"domain"`
}

// Ledger keeps every start that the backend server saw. If it has a file, each
// start is written there before the task runs, so that the record outlives a
// killed process.
type Ledger struct {
	mu     sync.Mutex
	file   io.Writer
	starts []Start
}

// NewLedger returns an empty ledger. The file may be nil.
func NewLedger(file io.Writer) *Ledger { return &Ledger{file: file} }

// Add records a start.
func (l *Ledger) Add(s Start) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, s)
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	_, err = l.file.Write(append(line, '\n'))
	return err
}

// Since returns a copy of the starts from the given time on.
func (l *Ledger) Since(t time.Time) []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Start
	for _, s := range l.starts {
		if s.AtUnixMS >= t.UnixMilli() {
			out = append(out, s)
		}
	}
	return out
}

// Total returns the number of starts.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.starts)
}

// Doubles returns the tasks that occur more than once, in the order in which
// their second start occurs.
func Doubles(starts []Start) []TaskID {
	counts := make(map[TaskID]int, len(starts))
	var out []TaskID
	for _, s := range starts {
		counts[s.TaskID]++
		if counts[s.TaskID] == 2 {
			out = append(out, s.TaskID)
		}
	}
	return out
}

// ReadLedger reads the file of a ledger. A last line that was cut by a kill is
// ignored: its task had not run.
func ReadLedger(path string) ([]Start, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []Start
	reader := bufio.NewReader(f)
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		var s Start
		if err := json.Unmarshal(line, &s); err != nil {
			return nil, fmt.Errorf("ledger %s: %w", path, err)
		}
		out = append(out, s)
	}
}
