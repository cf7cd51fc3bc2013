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

// TaskID identifies one task of one job.
type TaskID struct {
	Team  string `json:"team"`
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String formats the task as team/job#index.
func (t TaskID) String() string { return fmt.Sprintf("%s/%s#%d", t.Team, t.Job, t.Index) }

// Start records one start of one task. AtUnixMS is in milliseconds of Unix time.
type Start struct {
	TaskID
	AtUnixMS int64  `json:"at_unix_ms"`
	Server   string `json:"server"`
	Domain   string `json:"domain"`
}

// Ledger records every start of a task on the backend server. If it has a file, each
// start is written there before the task runs, so that the record survives when the
// process is killed.
type Ledger struct {
	mu     sync.Mutex
	file   io.Writer
	starts []Start
}

// NewLedger returns an empty ledger. The file may be nil.
func NewLedger(file io.Writer) *Ledger { return &Ledger{file: file} }

// Add records a start. It returns an error if the start can't be written to the file.
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

// Since returns the starts from the given time on.
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

// Duplicates returns the tasks that were started more than once, in the order of their
// second starts.
func Duplicates(starts []Start) []TaskID {
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

// ReadLedger reads the file of a ledger. An incomplete last line, left by a killed
// process, is ignored: its task had not run yet. ReadLedger returns an error if the
// file can't be read or another line is not valid JSON.
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
