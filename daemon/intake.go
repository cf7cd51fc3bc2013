package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"foxtaildock.example/dock/intake"
)

// This file has the reads and writes of a callerConn, whose deadlines and limits package intake
// decides, and implements platform.Intake.

// Read reads from the connection. It fails if package intake refuses the request.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if c.lingers.Load() {
			return 0, net.ErrClosed
		}
		if refused := c.beforeRead(); refused != nil {
			return 0, refused
		}
		n, err := c.TCPConn.Read(p)
		refused, again := c.afterRead(p[:n], err)
		switch {
		case refused != nil:
			return 0, refused
		case !again:
			return n, err
		}
	}
}

// beforeRead sets the deadline of the next read. It returns an error if the request was refused
// meanwhile.
func (c *callerConn) beforeRead() error {
	cs := c.connections
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.interrupted || c.expired {
		return nil // the read times out at once
	}
	cs.core.SetRules(cs.rules())
	deadline, ok := cs.core.Deadline(c.id)
	if !ok {
		return nil
	}
	if reason := cs.core.Refused(c.id); reason != intake.NoReason {
		return &intake.Refusal{Reason: reason}
	}
	_ = c.TCPConn.SetReadDeadline(cs.origin.Add(deadline)) // it fails only on a closed connection
	return nil
}

// afterRead records what was read, and that the connection is busy if that is anything. It returns
// an error if the request is refused, and whether to read again since the read timed out too early.
func (c *callerConn) afterRead(read []byte, err error) (refused error, again bool) {
	cs := c.connections
	cs.mu.Lock()
	now := cs.now()
	if len(read) > 0 {
		cs.received(c)
		c.linesRead = 0
		if len(read) <= intake.ReadAhead { // more is read of a body only, and not kept
			c.linesRead = bytes.Count(read, []byte("\n"))
		}
		reason, actions := cs.core.Received(now, c.id, len(read), c.linesRead)
		victims := cs.victims(actions)
		cs.mu.Unlock()
		cs.carryOut(victims)
		return c.refuseHeader(reason), false
	}
	defer cs.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.interrupted || c.expired {
		return nil, false
	}
	if _, ok := cs.core.Deadline(c.id); !ok {
		return nil, false
	}
	before := cs.core.Refused(c.id)
	reason := cs.core.Overdue(now, c.id)
	switch {
	case reason == intake.NoReason:
		return nil, true
	case before == intake.NoReason:
		cs.report.shed(reason)
	}
	return nil, false
}

// refuseHeader answers a request whose header can't be accepted. The server closes the connection
// then, which lets go of what it has of the header, and the connection lingers on its own.
func (c *callerConn) refuseHeader(reason intake.Reason) error {
	if reason == intake.NoReason {
		return nil
	}
	c.connections.report.shed(reason)
	status, retry := http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	if reason == intake.HeaderTooLarge {
		status, retry = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	text := fmt.Sprintf("%s; nothing has run\n", reason)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), retry, text)
	if err == nil {
		c.beginLinger()
	}
	return &intake.Refusal{Reason: reason}
}

// Close closes the connection, at once or after it has lingered.
func (c *callerConn) Close() error {
	if !c.lingers.Load() {
		return c.TCPConn.Close()
	}
	go func() {
		c.drain()
		_ = c.TCPConn.Close() // the caller has left, or it has had its time
		c.connections.forget(c)
	}()
	return nil
}

// writeTimeout is how long a caller may take to read an answer, as far as it doesn't fit the
// buffers on its way.
const writeTimeout = 10 * time.Second

// Write writes a part of an answer. What the server writes after a refusal is dropped.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.lingers.Load() {
		return len(p), nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // it fails only on a closed connection
	return c.TCPConn.Write(p)
}

// SetReadDeadline is how the server interrupts a read: with a time in the past, and then without
// one. It sets no other deadlines, since its timeouts are off.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	c.interrupted = !t.IsZero()
	return c.TCPConn.SetReadDeadline(t)
}

// Charge implements platform.Intake.
func (c *callerConn) Charge(bytes int64) error { return c.ask(bytes, (*intake.Core).Charge) }

// Hold implements platform.Intake.
func (c *callerConn) Hold(bytes int64) error { return c.ask(bytes, (*intake.Core).Hold) }

// ask asks the core for memory, and carries out what follows for other connections.
func (c *callerConn) ask(bytes int64, call func(*intake.Core, time.Duration, intake.ID, int64) (intake.Reason, []intake.Action)) error {
	cs := c.connections
	cs.mu.Lock()
	before := cs.core.Refused(c.id)
	reason, actions := call(cs.core, cs.now(), c.id, bytes)
	victims := cs.victims(actions)
	cs.mu.Unlock()
	cs.carryOut(victims)
	if reason == intake.NoReason {
		return nil
	}
	if before == intake.NoReason {
		cs.report.shed(reason)
	}
	return &intake.Refusal{Reason: reason}
}

// BodyWhole implements platform.Intake.
func (c *callerConn) BodyWhole() error {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	if reason := c.connections.core.BodyWhole(c.connections.now(), c.id); reason != intake.NoReason {
		return &intake.Refusal{Reason: reason}
	}
	if !c.interrupted {
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // it fails only on a closed connection
	}
	return nil
}

// Refused implements platform.Intake.
func (c *callerConn) Refused() error {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	if reason := c.connections.core.Refused(c.id); reason != intake.NoReason {
		return &intake.Refusal{Reason: reason}
	}
	return nil
}

// lingerBuffer is the size of the buffer into which Linger reads, in bytes.
const lingerBuffer = 4 << 10

// Linger implements platform.Intake. A connection that is closed while its caller sends is reset,
// and the answer may be lost then; so Linger says that no more answers come and reads what does,
// until the caller closes the connection or the time for it is over.
func (c *callerConn) Linger() {
	if c.beginLinger() {
		c.drain()
	}
}

// beginLinger tells the caller that no more answers come. It returns false if the connection has
// ended.
func (c *callerConn) beginLinger() bool {
	cs := c.connections
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.core.Linger(cs.now(), c.id)
	deadline, ok := cs.core.Deadline(c.id)
	if !ok || c.TCPConn.SetReadDeadline(cs.origin.Add(deadline)) != nil || c.CloseWrite() != nil {
		return false
	}
	c.lingers.Store(true)
	return true
}

// drain reads until the caller closes the connection, or the time for it is over.
func (c *callerConn) drain() {
	buffer := make([]byte, lingerBuffer)
	for {
		if _, err := c.TCPConn.Read(buffer); err != nil {
			return
		}
	}
}
