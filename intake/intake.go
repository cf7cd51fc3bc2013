package intake

import (
	"container/list"
	"time"
)

// ID names a connection.
type ID uint64

// Reason says why a connection or a request gives way, in the words of logs and metrics.
type Reason string

// The reasons.
const (
	NoReason       Reason = ""
	TooManyConns   Reason = "too many connections"
	NoRoom         Reason = "no room for the request"
	GaveWay        Reason = "gave way to a request that makes progress"
	HeaderTooLarge Reason = "header too large"
	HeaderTooSlow  Reason = "header too slow"
	BodyTooSlow    Reason = "body too slow"
	ConnectionIdle Reason = "connection idle"
)

// Action is a decision about another connection than the one that the call is about.
type Action struct {
	ID     ID
	Reason Reason
	// Close is true if the connection has to be closed at once, and false if its request is to be
	// answered as refused.
	Close bool
}

// phase is what a connection is doing.
type phase int

const (
	idle phase = iota
	receivingHeader
	receivingBody
	// running: the request is whole. It is never shed.
	running
	// lingering: the request is refused, and its caller may still send.
	lingering
)

// conn is the state of a connection.
type conn struct {
	id    ID
	phase phase
	since time.Duration // begin of the phase
	// charged is the memory for the request, in bytes.
	charged int64
	// kept is the part of it for what is kept of the header until the answer.
	kept int64
	// headerBytes and headerLines are what was read of the header.
	headerBytes, headerLines int64
	// received is what was read of the body, at lastByte for the last time. progress is the part
	// that counted as progress, which the request made last at progressAt.
	received, progress   int64
	lastByte, progressAt time.Duration
	shed                 Reason
	in                   *list.List // the list that the connection is in; nil if none
	at                   *list.Element
}

func (k *conn) large() bool { return k.charged > smallRequest }

// Core holds the connections of a process. It is not safe for concurrent use.
//
// now is the monotonic time of an event. Each list is in the order in which its connections made
// progress last, so that the first has waited for longest.
type Core struct {
	limits Limits
	rules  Rules
	conns  map[ID]*conn
	last   ID
	// total and large are the charges of all requests and of the large ones, and largeCount the
	// number of those.
	total, large int64
	largeCount   int
	// idle, small, largeOnes and lingering are the connections without a request, with a small and
	// a large one of which a part has arrived or may have arrived, and with a refused one.
	idle, small, largeOnes, lingering *list.List
}

// New returns a core without connections.
func New(limits Limits) *Core {
	return &Core{
		limits: limits, rules: DefaultRules, conns: map[ID]*conn{},
		idle: list.New(), small: list.New(), largeOnes: list.New(), lingering: list.New(),
	}
}

// SetLimits changes the limits. Connections beyond them give way as others need room.
func (c *Core) SetLimits(l Limits) { c.limits = l }

// SetRules changes the limits of a single request.
func (c *Core) SetRules(r Rules) { c.rules = r.withDefaults() }

// Stats are figures for the metrics. Bytes is the memory that is charged.
type Stats struct {
	Connections int
	Bytes       int64
}

// Stats returns the present figures.
func (c *Core) Stats() Stats { return Stats{Connections: len(c.conns), Bytes: c.total} }

// Open records a new connection. It is refused if its ID is 0. Other connections may have to be
// closed for it.
func (c *Core) Open(now time.Duration) (ID, []Action) {
	var actions []Action
	for len(c.conns) >= c.limits.Connections {
		victim := c.leastUseful(now)
		if victim == nil {
			return 0, actions
		}
		actions = append(actions, Action{ID: victim.id, Reason: TooManyConns, Close: true})
		c.Close(victim.id)
	}
	c.last++
	k := &conn{id: c.last, since: now, progressAt: now}
	c.conns[k.id] = k
	c.place(k)
	return k.id, actions
}

// leastUseful returns the connection that goes first when there are too many: one whose request
// was refused, one whose request makes no progress, or one without a request. It returns nil if all
// have requests that make progress.
func (c *Core) leastUseful(now time.Duration) *conn {
	if e := c.lingering.Front(); e != nil {
		return e.Value.(*conn)
	}
	for _, l := range []*list.List{c.largeOnes, c.small} {
		if k := stalled(now, l, nil); k != nil {
			return k
		}
	}
	if e := c.idle.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// stalled returns the request of the list that has made no progress for longest, unless that is
// less than stalledAfter ago. It passes over except.
func stalled(now time.Duration, l *list.List, except *conn) *conn {
	e := l.Front()
	if e != nil && e.Value.(*conn) == except {
		e = e.Next()
	}
	if e == nil {
		return nil
	}
	if k := e.Value.(*conn); now-k.progressAt >= stalledAfter {
		return k
	}
	return nil
}

// Received records that bytes were read, with a number of ends of lines. Of a header, it returns
// why the request has to be refused, if so, and requests of others that give way.
func (c *Core) Received(now time.Duration, id ID, bytes, lines int) (Reason, []Action) {
	k := c.conns[id]
	switch {
	case k == nil:
		return NoReason, nil
	case k.phase == receivingBody:
		c.bodyRead(now, k, bytes)
		return NoReason, nil
	case k.phase == running || k.phase == lingering:
		return NoReason, nil
	case k.phase == idle:
		c.enter(k, receivingHeader, now)
	}
	k.headerBytes += int64(bytes)
	k.headerLines += int64(lines)
	if k.headerBytes > c.rules.MaxHeaderBytes+ReadAhead {
		return c.refuse(k, HeaderTooLarge), nil
	}
	return c.charge(now, k, k.headerMemory()-k.charged)
}

// headerMemory returns what the header takes beyond the allowance.
func (k *conn) headerMemory() int64 {
	return max(headerByteFactor*k.headerBytes+headerLineMemory*k.headerLines-headerAllowance, 0)
}

// HeaderWhole records that the header of a request is whole. Its memory is charged until
// HeaderReleased.
func (c *Core) HeaderWhole(now time.Duration, id ID) {
	if k := c.conns[id]; k != nil && (k.phase == idle || k.phase == receivingHeader) {
		c.enter(k, receivingBody, now)
		k.received, k.progress, k.lastByte = 0, 0, now
	}
}

// HeaderReleased records that the header isn't kept any more but for so much memory, in bytes, which
// stays charged until the answer.
func (c *Core) HeaderReleased(id ID, kept int64) {
	if k := c.conns[id]; k != nil {
		k.kept = min(kept, k.charged)
		c.setCharge(k, k.kept)
		k.headerBytes, k.headerLines = 0, 0
	}
}

// bodyRead records that bytes of a body were read.
func (c *Core) bodyRead(now time.Duration, k *conn, bytes int) {
	k.received += int64(bytes)
	k.lastByte = now
	if k.received-k.progress >= progressBytes {
		k.progress, k.progressAt = k.received, now
		if k.in != nil {
			k.in.MoveToBack(k.at)
		}
	}
}

// Charge asks for memory for the request of a connection. It returns why the request has to be
// refused, if so, and requests of others that give way.
func (c *Core) Charge(now time.Duration, id ID, bytes int64) (Reason, []Action) {
	k := c.conns[id]
	if k == nil {
		return TooManyConns, nil // it was closed
	}
	return c.charge(now, k, bytes)
}

func (c *Core) charge(now time.Duration, k *conn, bytes int64) (Reason, []Action) {
	if k.shed != NoReason {
		return k.shed, nil
	}
	var actions []Action
	for bytes > 0 && !c.fits(k, bytes) {
		victim := c.firstToGive(now, k, bytes)
		if victim == nil {
			return c.refuse(k, NoRoom), actions
		}
		hasBody := victim.phase == receivingBody
		actions = append(actions, Action{ID: victim.id, Reason: GaveWay, Close: !hasBody})
		if hasBody {
			c.refuse(victim, GaveWay)
		} else {
			c.Close(victim.id)
		}
	}
	c.setCharge(k, k.charged+bytes)
	return NoReason, actions
}

// fits reports whether there is room for more of a request. A large one that is alone always has
// room, since each has a size for which the process has memory; small ones have theirs beside it.
func (c *Core) fits(k *conn, bytes int64) bool {
	if k.charged+bytes <= smallRequest {
		kept := (1 - largeShare) * float64(c.limits.Bytes)
		return c.total+bytes <= c.limits.Bytes || float64(c.total-c.large+bytes) <= kept
	}
	others, count := c.large, c.largeCount
	if k.large() {
		others, count = others-k.charged, count-1
	}
	if count == 0 {
		return true
	}
	return c.total+bytes <= c.limits.Bytes && float64(others+k.charged+bytes) <= largeShare*float64(c.limits.Bytes)
}

// firstToGive returns the request that gives way to another one: a large one that makes no
// progress, or for a small one also a small one. It returns nil if there is none.
func (c *Core) firstToGive(now time.Duration, asking *conn, bytes int64) *conn {
	if k := stalled(now, c.largeOnes, asking); k != nil {
		return k
	}
	if asking.charged+bytes > smallRequest {
		return nil
	}
	return stalled(now, c.small, asking)
}

// refuse takes the charge of a request back and records why it is refused.
func (c *Core) refuse(k *conn, r Reason) Reason {
	k.shed, k.kept = r, 0
	c.setCharge(k, 0)
	c.remove(k)
	return r
}

// BodyWhole records that the body of a request is whole. It returns why the request is refused if
// it gave way before.
func (c *Core) BodyWhole(now time.Duration, id ID) Reason {
	k := c.conns[id]
	if k == nil {
		return TooManyConns // it was closed
	}
	if k.shed == NoReason && k.phase == receivingBody {
		c.enter(k, running, now)
	}
	return k.shed
}

// Hold changes the charge of a request whose body is whole to that of its job. It returns why the
// job has to be refused, if so, and requests of others that give way.
func (c *Core) Hold(now time.Duration, id ID, bytes int64) (Reason, []Action) {
	k := c.conns[id]
	if k == nil {
		return NoReason, nil
	}
	return c.charge(now, k, k.kept+bytes-k.charged)
}

// Refused returns why the request of a connection is refused; NoReason if it isn't.
func (c *Core) Refused(id ID) Reason {
	if k := c.conns[id]; k != nil {
		return k.shed
	}
	return NoReason
}

// Overdue returns why the request of a connection is refused whose deadline has passed, or which
// gave way; NoReason if neither is so.
func (c *Core) Overdue(now time.Duration, id ID) Reason {
	k := c.conns[id]
	if k == nil {
		return NoReason
	}
	if k.shed != NoReason {
		return k.shed
	}
	deadline, ok := c.deadline(k)
	if !ok || now < deadline {
		return NoReason
	}
	switch k.phase {
	case receivingHeader:
		return c.refuse(k, HeaderTooSlow)
	case receivingBody:
		return c.refuse(k, BodyTooSlow)
	default:
		return ConnectionIdle
	}
}

// Deadline returns the time until which the next byte of a connection has to arrive. It returns
// false if there is no such time.
func (c *Core) Deadline(id ID) (time.Duration, bool) {
	k := c.conns[id]
	if k == nil {
		return 0, false
	}
	return c.deadline(k)
}

func (c *Core) deadline(k *conn) (time.Duration, bool) {
	switch k.phase {
	case idle:
		return k.since + c.rules.IdleTimeout, true
	case receivingHeader:
		return k.since + c.rules.HeaderTimeout, true
	case receivingBody:
		due := k.since + bodyGrace + time.Duration(k.received)*time.Second/leastRate
		return min(due, k.lastByte+maxSilence), true
	case lingering:
		return k.since + lingerTime, true
	default:
		return 0, false
	}
}

// Linger records that the request of a connection was answered as refused, and that its caller may
// go on sending for a while.
func (c *Core) Linger(now time.Duration, id ID) {
	if k := c.conns[id]; k != nil {
		k.shed = NoReason
		c.setCharge(k, 0)
		c.enter(k, lingering, now)
	}
}

// Answered records that the request of a connection was answered, and that what was read last
// ended that many lines: some of them may be of the next header.
func (c *Core) Answered(now time.Duration, id ID, linesAhead int) {
	k := c.conns[id]
	if k == nil {
		return
	}
	k.headerBytes, k.headerLines, k.kept, k.shed = 0, int64(linesAhead), 0, NoReason
	k.since, k.progressAt, k.phase = now, now, idle
	c.setCharge(k, k.headerMemory())
	c.place(k)
}

// Close forgets a connection.
func (c *Core) Close(id ID) {
	k := c.conns[id]
	if k == nil {
		return
	}
	c.setCharge(k, 0)
	c.remove(k)
	delete(c.conns, id)
}

// setCharge changes the charge of a request, and moves it between the small and the large ones.
func (c *Core) setCharge(k *conn, bytes int64) {
	was := k.large()
	if was {
		c.large -= k.charged
		c.largeCount--
	}
	c.total += bytes - k.charged
	k.charged = bytes
	if k.large() {
		c.large += bytes
		c.largeCount++
	}
	if k.large() != was {
		c.place(k)
	}
}

// enter begins a phase.
func (c *Core) enter(k *conn, p phase, now time.Duration) {
	k.phase, k.since, k.progressAt = p, now, now
	c.place(k)
}

// place puts a connection at the end of the list in which it belongs.
func (c *Core) place(k *conn) {
	c.remove(k)
	switch {
	case k.phase == running || k.shed != NoReason:
		return
	case k.phase == lingering:
		k.in = c.lingering
	case k.large():
		k.in = c.largeOnes
	case k.phase == idle && k.charged == 0:
		k.in = c.idle
	default:
		k.in = c.small
	}
	k.at = k.in.PushBack(k)
}

func (c *Core) remove(k *conn) {
	if k.in != nil {
		k.in.Remove(k.at)
		k.in, k.at = nil, nil
	}
}

// Refusal is the error of a request that is refused before any of it has run.
type Refusal struct{ Reason Reason }

// Error returns the reason.
func (r *Refusal) Error() string { return string(r.Reason) }
