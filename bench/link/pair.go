package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// pair is one connection through the link: its near and its far side.
type pair struct {
	near, far net.Conn
	silent    chan struct{}
	closed    chan struct{}
	silenced  sync.Once
	ended     sync.Once
}

// chunk is a piece of data and the time at which it is due at the other side.
type chunk struct {
	data []byte
	due  time.Time
}

func newPair(near, far net.Conn) *pair {
	return &pair{
		near:   near,
		far:    far,
		silent: make(chan struct{}),
		closed: make(chan struct{}),
	}
}

func (p *pair) silence() { p.silenced.Do(func() { close(p.silent) }) }

func (p *pair) close() {
	p.ended.Do(func() {
		close(p.closed)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

// run forwards both directions until the connection ends. A silent connection
// ends only when the link is cut or stops, since the end of one side must not
// be seen by the other.
func (p *pair) run(delay func() time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(p.far, p.near, delay) })
	wg.Go(func() { p.forward(p.near, p.far, delay) })
	wg.Wait()
	p.close()
}

// forward copies from one side to the other.
func (p *pair) forward(to, from net.Conn, delay func() time.Duration) {
	chunks := make(chan chunk, pipeChunks)
	go p.read(from, chunks, delay)
	for c := range chunks {
		if !p.waitUntil(c.due) {
			p.hold()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			p.close()
			return
		}
	}
	if p.isSilent() {
		p.hold()
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// read passes data on until its side ends.
func (p *pair) read(from net.Conn, chunks chan<- chunk, delay func() time.Duration) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], due: time.Now().Add(delay())}:
			case <-p.silent:
				_, _ = io.Copy(io.Discard, from)
				return
			case <-p.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntil returns false if the connection is silent or closed.
func (p *pair) waitUntil(due time.Time) bool {
	if p.isSilent() {
		return false
	}
	pause := time.Until(due)
	if pause <= 0 {
		return true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.silent:
		return false
	case <-p.closed:
		return false
	}
}

func (p *pair) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

// hold keeps the connection open until the link closes it.
func (p *pair) hold() { <-p.closed }
