package report

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// Intervals between two lines of progress.
const (
	terminalInterval = 100 * time.Millisecond
	logInterval      = 5 * time.Second
)

// Progress tells how far long work has come. On a terminal one line is written
// over and over; elsewhere a line is added every few seconds. Its methods may be
// called from any goroutine.
type Progress struct {
	mu       sync.Mutex
	w        io.Writer
	terminal bool
	unit     string
	total    int
	done     int
	bad      int
	last     time.Time
}

// NewProgress starts the progress of total units of work, such as "jobs".
func NewProgress(w io.Writer, terminal bool, unit string, total int) *Progress {
	return &Progress{w: w, terminal: terminal, unit: unit, total: total, last: time.Now()}
}

// Done counts one more unit and whether it ended well.
func (p *Progress) Done(well bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done++
	if !well {
		p.bad++
	}
	interval := logInterval
	if p.terminal {
		interval = terminalInterval
	}
	if now := time.Now(); now.Sub(p.last) >= interval {
		p.last = now
		p.write()
	}
}

// End removes the line from a terminal, so that a report may follow.
func (p *Progress) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		_, _ = fmt.Fprint(p.w, "\r"+strings.Repeat(" ", DefaultWidth)+"\r")
	}
}

func (p *Progress) write() {
	line := fmt.Sprintf("%d/%d %s", p.done, p.total, p.unit)
	if p.bad > 0 {
		line += fmt.Sprintf(", %d not done", p.bad)
	}
	if p.terminal {
		_, _ = fmt.Fprint(p.w, "\r"+pad(cut(line, DefaultWidth), DefaultWidth))
		return
	}
	_, _ = fmt.Fprintln(p.w, line)
}
