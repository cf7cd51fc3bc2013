package model

import "time"

// Times of the network and of the health check of connections.
const (
	minDelay       = 300 * time.Microsecond
	delaySpread    = 2 * time.Millisecond
	goroutineDelay = 500 * time.Microsecond
	dialTimeout    = 500 * time.Millisecond
	// silence is how long a connection may be silent before its calls end.
	silence       = 1500 * time.Millisecond
	watchInterval = 500 * time.Millisecond
	// lateSpread bounds the delay of a message that is held up.
	lateSpread = 12 * time.Second
)

// callError is how a call ended without an answer.
type callError int

const (
	errNone callError = iota
	// errNotSent: no connection could be made, or the peer turned the call away
	// unread.
	errNotSent
	// errMaybeSent: the call may have arrived.
	errMaybeSent
	// errReplaced: another incarnation answered.
	errReplaced
	// errTimeout: the caller's own time limit passed.
	errTimeout
)

// server takes a call in the target process. It may send any number of answers
// and returns what to do when the caller hangs up, or nil.
type server func(target endpoint, send func(any)) (hangUp func())

// call is one call between two processes.
type call struct {
	from    *process
	to      int
	meant   endpointID
	timeout time.Duration
	// twice allows the network to deliver the request two times.
	twice  bool
	serve  server
	answer func(any)
	end    func(callError)

	target *process
	ended  bool
	broken bool
	served bool
	// goneFor is how long a replaced incarnation has been gone at least.
	goneFor time.Duration
	// turnedAway is true if the target was too busy to look at the call.
	turnedAway bool
	bad        int
	hangUps    []func()
	arrival    time.Duration
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
	k.watch()
	if c.isCut(k.from.address, k.to) || c.isLost() {
		k.broken = true
		return
	}
	k.send()
	if k.twice && c.isLost() {
		k.send()
	}
}

// send brings the request to the target. One that is held up for longer than a
// connection may be silent arrives after its caller has given the connection up.
func (k *call) send() {
	target := k.target
	delay := k.from.cluster.delay()
	if delay > silence {
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
	if k.meant != "" && endpointID(target.incarnation) != k.meant {
		served := target.now()
		k.respond(func() {
			k.goneFor = served
			k.finish(errReplaced)
		})
		return
	}
	if k.turnedAway {
		return
	}
	if !k.served && c.storm > 0 && c.chance(2) {
		k.turnedAway = true
		k.respond(func() { k.finish(errNotSent) })
		return
	}
	k.served = true
	hangUp := k.serve(e, func(m any) {
		k.respond(func() {
			if !k.ended {
				k.answer(m)
			}
		})
	})
	if hangUp != nil {
		k.hangUps = append(k.hangUps, hangUp)
	}
}

// respond brings an answer back, in the order of sending.
func (k *call) respond(f func()) {
	c := k.from.cluster
	if k.broken || k.ended || c.isCut(k.to, k.from.address) || c.isLost() {
		k.broken = true
		return
	}
	k.arrival = max(k.arrival, c.queue.Now()+c.delay())
	k.from.after(k.arrival-c.queue.Now(), f)
}

// watch ends the call once its connection is silent or reset.
func (k *call) watch() {
	k.from.after(watchInterval, func() {
		if k.ended {
			return
		}
		c := k.from.cluster
		if k.target.dead {
			k.finish(errMaybeSent)
			return
		}
		if k.broken || k.target.paused || c.isCut(k.from.address, k.to) || c.isCut(k.to, k.from.address) {
			k.bad++
		}
		if time.Duration(k.bad)*watchInterval >= silence {
			k.finish(errMaybeSent)
			return
		}
		k.watch()
	})
}

func (k *call) fail(err callError, d time.Duration) {
	k.from.after(d, func() { k.finish(err) })
}

// finish ends the call once; the server learns that the caller hung up.
func (k *call) finish(err callError) {
	if k.ended {
		return
	}
	k.ended = true
	k.hangUp()
	if err != errNone {
		k.end(err)
	}
}

func (k *call) hangUp() {
	c := k.from.cluster
	if k.target == nil || c.isCut(k.from.address, k.to) {
		return
	}
	for _, f := range k.hangUps {
		k.target.after(c.delay(), f)
	}
}

// done ends a call that has all its answers.
func (k *call) done() { k.finish(errNone) }

// chance is true in the given percentage of cases.
func (c *Cluster) chance(percent int) bool { return c.random.IntN(100) < percent }

// isLost decides whether a message is lost.
func (c *Cluster) isLost() bool { return c.storm > 0 && c.chance(c.storm) }

// delay draws the delay of one message.
func (c *Cluster) delay() time.Duration {
	if c.storm > 0 && c.chance(c.storm) {
		return time.Duration(c.random.IntN(int(lateSpread)))
	}
	return minDelay + time.Duration(c.random.IntN(int(delaySpread)))
}

// link is one direction between two addresses.
type link struct{ from, to int }

func (c *Cluster) isCut(from, to int) bool { return c.cuts[link{from, to}] }
