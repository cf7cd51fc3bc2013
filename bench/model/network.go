package model

import "time"

// Times of the network and of the health checks of connections.
const (
	minDelay       = 300 * time.Microsecond
	delaySpread    = 2 * time.Millisecond
	goroutineDelay = 500 * time.Microsecond
	dialTimeout    = 500 * time.Millisecond
	// maxConnectionSilence is the time without traffic after which the calls of
	// a connection end.
	maxConnectionSilence    = 1500 * time.Millisecond
	connectionCheckInterval = 500 * time.Millisecond
	// lateDelaySpread is the maximum delay of a message that is held up.
	lateDelaySpread = 12 * time.Second
)

// callError is the way in which a call ended without an answer.
type callError int

const (
	errNone callError = iota
	// errNotSent: no connection could be made, or the peer rejected the call
	// without reading it.
	errNotSent
	// errMaybeSent: the call may have arrived.
	errMaybeSent
	// errReplaced: another incarnation than the expected one answered.
	errReplaced
	// errTimeout: the time-out of the caller passed.
	errTimeout
)

// handler serves a call in the target process. It may send any number of
// answers. It returns the function to call when the caller disconnects, or nil.
type handler func(target endpoint, send func(any)) (onDisconnect func())

// call is one call between two processes. Each answer is passed to onAnswer. If
// the call ends otherwise than by done, onEnd is called once with the reason.
type call struct {
	from     *process
	to       int
	expected endpointID
	timeout  time.Duration
	// mayDuplicate allows the network to deliver the request twice.
	mayDuplicate bool
	handle       handler
	onAnswer     func(any)
	onEnd        func(callError)

	target *process
	ended  bool
	// broken means that messages of the call are lost without an error.
	broken bool
	served bool
	// goneFor is the minimum time for which a replaced incarnation has been
	// gone.
	goneFor time.Duration
	// rejected is true if the target was too busy to read the call.
	rejected     bool
	failedChecks int
	onDisconnect []func()
	arrival      time.Duration
}

// start makes the call.
func (k *call) start() {
	c := k.from.cluster
	k.target = c.processAt(k.to)
	if k.timeout > 0 {
		k.from.after(k.timeout, func() { k.finish(errTimeout) })
	}
	switch {
	case k.target == nil || k.target.dead:
		k.fail(errNotSent, minDelay)
		return
	case c.isCut(k.from.address, k.to) || c.isCut(k.to, k.from.address):
		if c.chance(50) {
			k.fail(errNotSent, dialTimeout)
			return
		}
		k.broken = true
	}
	k.checkConnection()
	if c.isCut(k.from.address, k.to) || c.messageLost() {
		k.broken = true
		return
	}
	k.send()
	if k.mayDuplicate && c.messageLost() {
		k.send()
	}
}

// send delivers the request to the target. A request that is delayed by more
// than maxConnectionSilence arrives after its caller has closed the connection.
func (k *call) send() {
	target := k.target
	delay := k.from.cluster.delay()
	if delay > maxConnectionSilence {
		k.broken = true
	}
	target.after(delay, func() { k.arrive(target) })
}

func (k *call) arrive(target *process) {
	c := k.from.cluster
	e := c.endpointOf(target)
	if e == nil {
		return
	}
	if k.expected != "" && endpointID(target.incarnation) != k.expected {
		uptime := target.now()
		k.respond(func() {
			k.goneFor = uptime
			k.finish(errReplaced)
		})
		return
	}
	if k.rejected {
		return
	}
	if !k.served && c.messageFaultPercent > 0 && c.chance(2) {
		k.rejected = true
		k.respond(func() { k.finish(errNotSent) })
		return
	}
	k.served = true
	onDisconnect := k.handle(e, func(m any) {
		k.respond(func() {
			if !k.ended {
				k.onAnswer(m)
			}
		})
	})
	if onDisconnect != nil {
		k.onDisconnect = append(k.onDisconnect, onDisconnect)
	}
}

// respond runs f in the calling process when the answer arrives there. Answers
// arrive in the order in which they were sent.
func (k *call) respond(f func()) {
	c := k.from.cluster
	if k.broken || k.ended || c.isCut(k.to, k.from.address) || c.messageLost() {
		k.broken = true
		return
	}
	k.arrival = max(k.arrival, c.queue.Now()+c.delay())
	k.from.after(k.arrival-c.queue.Now(), f)
}

// checkConnection checks the connection periodically and ends the call once the
// connection has been silent for maxConnectionSilence or the target is dead.
func (k *call) checkConnection() {
	k.from.after(connectionCheckInterval, func() {
		if k.ended {
			return
		}
		c := k.from.cluster
		if k.target.dead {
			k.finish(errMaybeSent)
			return
		}
		if k.broken || k.target.paused || c.isCut(k.from.address, k.to) || c.isCut(k.to, k.from.address) {
			k.failedChecks++
		}
		if time.Duration(k.failedChecks)*connectionCheckInterval >= maxConnectionSilence {
			k.finish(errMaybeSent)
			return
		}
		k.checkConnection()
	})
}

func (k *call) fail(err callError, d time.Duration) {
	k.from.after(d, func() { k.finish(err) })
}

// finish ends the call, unless it has ended already, and notifies the target
// that the caller disconnected.
func (k *call) finish(err callError) {
	if k.ended {
		return
	}
	k.ended = true
	k.disconnect()
	if err != errNone {
		k.onEnd(err)
	}
}

func (k *call) disconnect() {
	c := k.from.cluster
	if k.target == nil || c.isCut(k.from.address, k.to) {
		return
	}
	for _, f := range k.onDisconnect {
		k.target.after(c.delay(), f)
	}
}

// done ends a call that needs no more answers.
func (k *call) done() { k.finish(errNone) }

// chance returns true with the given probability in percent.
func (c *Cluster) chance(percent int) bool { return c.random.IntN(100) < percent }

// messageLost draws whether a message is lost.
func (c *Cluster) messageLost() bool {
	return c.messageFaultPercent > 0 && c.chance(c.messageFaultPercent)
}

// delay draws the delay of one message. While messages are lost, as many are
// delayed by up to lateDelaySpread.
func (c *Cluster) delay() time.Duration {
	if c.messageFaultPercent > 0 && c.chance(c.messageFaultPercent) {
		return time.Duration(c.random.IntN(int(lateDelaySpread)))
	}
	return minDelay + time.Duration(c.random.IntN(int(delaySpread)))
}

// link is the path of messages from one address to another.
type link struct{ from, to int }

func (c *Cluster) isCut(from, to int) bool { return c.cuts[link{from, to}] }
