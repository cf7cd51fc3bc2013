package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
)

// boundedQueueLines is the capacity, in lines, of the queue of a BoundedWriter: a few
// seconds of the log of a busy process.
const boundedQueueLines = 8192

// BoundedWriter queues lines and writes them in a goroutine of its own, so that a log
// whose reader is stalled never blocks the process. If the queue is full, lines are
// dropped; their number is logged with the next write.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter starts the goroutine that writes to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, boundedQueueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write queues one line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine. Lines written after it are lost.
// It must be called once.
func (b *BoundedWriter) Close() {
	close(b.quit)
	<-b.done
}

// maxChunk is the size in bytes from which on no further lines are added to one write.
const maxChunk = 32 << 10

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		case <-b.quit:
			for len(b.lines) > 0 {
				b.write(w, nil)
			}
			b.write(w, nil) // the number of dropped lines, if any
			return
		}
	}
}

// write writes a line and the queued ones in one call, to save system calls.
func (b *BoundedWriter) write(w io.Writer, chunk []byte) {
	for len(chunk) < maxChunk {
		line, ok := b.next()
		if !ok {
			break
		}
		chunk = append(chunk, line...)
	}
	if n := b.dropped.Swap(0); n > 0 {
		chunk = append(chunk, fmt.Sprintf("{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"count\":%d}}\n", n)...)
	}
	if len(chunk) == 0 {
		return
	}
	// An error of the log itself can't be logged.
	_, _ = w.Write(chunk)
}

func (b *BoundedWriter) next() (line []byte, ok bool) {
	select {
	case line = <-b.lines:
		return line, true
	default:
		return nil, false
	}
}
