package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
)

// boundedLines is how many lines wait to be written before further ones are
// dropped and counted: a few seconds of a busy process.
const boundedLines = 8192

// BoundedWriter writes lines in a goroutine of its own, so that a log that isn't
// read never holds up the work. Lines that find no room are dropped, and the next
// one that is written is preceded by their number.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter starts the goroutine that writes to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, boundedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write takes one line. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Lines that come later are lost.
func (b *BoundedWriter) Close() {
	close(b.quit)
	<-b.done
}

// maxChunk bounds what is written by one system call.
const maxChunk = 32 << 10

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		case <-b.quit:
			b.write(w, nil)
			return
		}
	}
}

// write writes a line and those that wait already, so that they take one call.
func (b *BoundedWriter) write(w io.Writer, chunk []byte) {
	for len(chunk) < maxChunk {
		line, waits := b.next()
		if !waits {
			break
		}
		chunk = append(chunk, line...)
	}
	if n := b.dropped.Swap(0); n > 0 {
		chunk = append(chunk, fmt.Sprintf("{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"count\":%d}}\n", n)...)
	}
	// A log that can't be written has nowhere to say so.
	_, _ = w.Write(chunk)
}

func (b *BoundedWriter) next() (line []byte, waits bool) {
	select {
	case line = <-b.lines:
		return line, true
	default:
		return nil, false
	}
}
