package report

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// Shortest intervals between two progress lines, on a terminal and elsewhere.
const (
	terminalInterval = 100 * time.Millisecond
	logInterval      = 5 * time.Second
)

// Progress writes the progress of long work. On a terminal it overwrites one
// line; elsewhere it adds a line every few seconds. Its methods may be called
// from any goroutine.
type Progress struct {
	mu           sync.Mutex
	w            io.Writer
	terminal     bool
	unit         string
	total        int
	done         int
	unsuccessful int
	lastWrite    time.Time
}

// NewProgress returns the progress of work of total units. unit is their name
// in the plural, such as "jobs". terminal says whether w is a terminal.
func NewProgress(w io.Writer, terminal bool, unit string, total int) *Progress {
	return &Progress{w: w, terminal: terminal, unit: unit, total: total, lastWrite: time.Now()}
}

// Done counts one more finished unit, and whether it was successful.
func (p *Progress) Done(success bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done++
	if !success {
		p.unsuccessful++
	}
	interval := logInterval
	if p.terminal {
		interval = terminalInterval
	}
	if now := time.Now(); now.Sub(p.lastWrite) >= interval {
		p.lastWrite = now
		p.write()
	}
}

// End clears the line on a terminal, so that a report can follow.
func (p *Progress) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		_, _ = fmt.Fprint(p.w, "\r"+strings.Repeat(" ", DefaultWidth)+"\r")
	}
}

func (p *Progress) write() {
	line := fmt.Sprintf("%d/%d %s", p.done, p.total, p.unit)
	if p.unsuccessful > 0 {
		line += fmt.Sprintf(", %d unsuccessful", p.unsuccessful)
	}
	if p.terminal {
		_, _ = fmt.Fprint(p.w, "\r"+pad(truncate(line, DefaultWidth), DefaultWidth))
		return
	}
	_, _ = fmt.Fprintln(p.w, line)
}
