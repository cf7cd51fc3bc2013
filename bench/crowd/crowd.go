// Package crowd has callers that don't behave: many at once that open connections, send parts
// of requests, stop short of their end and stay connected. It also reads what a process under
// such a crowd uses. It is a stand-in for callers that the users don't control.
package crowd

import (
	"context"
	"net"
	"sync"
	"time"
)

// sendPatience bounds how long one caller of a crowd tries to send, since a process may refuse
// to read what it sends.
const sendPatience = 20 * time.Second

// Crowd is a number of connections to one address that stay open until Close.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Open opens n connections to the address at the same time. On each of them it calls send with
// the number of the caller, which may fail: a process may refuse the caller. Open returns when
// all calls have ended.
func Open(address string, n int, send func(caller int, conn net.Conn) error) *Crowd {
	c := &Crowd{}
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendPatience)
			if err != nil {
				return // refused
			}
			c.keep(conn)
			_ = conn.SetDeadline(time.Now().Add(sendPatience)) // it fails only on a closed connection
			_ = send(i, conn)                                  // an error means that the caller was refused
		})
	}
	wait.Wait()
	return c
}

func (c *Crowd) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // the process may have closed it already
	}
}

// patience is how long a caller that comes back waits for the end of its connection before it opens
// the next one.
const patience = 100 * time.Millisecond

// Storm runs n callers until the context ends, each of which opens one connection after the other
// and calls send on it: as soon as the process has closed it or answered, or after patience.
func Storm(ctx context.Context, address string, n int, send func(caller int, conn net.Conn) error) {
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			for ctx.Err() == nil {
				comeOnce(address, i, send)
			}
		})
	}
	wait.Wait()
}

func comeOnce(address string, caller int, send func(caller int, conn net.Conn) error) {
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		time.Sleep(patience) // refused
		return
	}
	defer func() { _ = conn.Close() }()                // the process may have closed it already
	_ = conn.SetDeadline(time.Now().Add(sendPatience)) // it fails only on a closed connection
	if send(caller, conn) != nil {
		return // refused
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	_, _ = conn.Read(make([]byte, 1)) // an answer, an end, or the time is over
}
