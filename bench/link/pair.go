package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// pair is one connection through the link: the accepted (near) and the dialed (far)
// connection.
type pair struct {
	near, far   net.Conn
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

// chunk is a piece of data and the time at which to deliver it to the other side.
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

func (p *pair) silence() { p.silenceOnce.Do(func() { close(p.silent) }) }

func (p *pair) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

// run forwards both directions until the connection ends. A silent connection
// ends only when the link is cut or stops, since neither side may see that the
// other has closed.
func (p *pair) run(delay func() time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(p.far, p.near, delay) })
	wg.Go(func() { p.forward(p.near, p.far, delay) })
	wg.Wait()
	p.close()
}

// forward writes the chunks of one side to the other when they are due.
func (p *pair) forward(to, from net.Conn, delay func() time.Duration) {
	chunks := make(chan chunk, pipeChunks)
	go p.read(from, chunks, delay)
	for c := range chunks {
		if !p.waitUntil(c.due) {
			p.waitClosed()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			p.close()
			return
		}
	}
	if p.isSilent() {
		p.waitClosed()
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// read sends the data of one side to chunks until that side ends. If the connection
// goes silent, it discards the rest.
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

// waitUntil waits until due. It returns false if the connection is silent or closed.
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

// waitClosed keeps the connection open until the link closes it.
func (p *pair) waitClosed() { <-p.closed }
