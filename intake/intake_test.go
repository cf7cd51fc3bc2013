package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testLimits leave room for three large bodies of 256 KiB and some small ones.
var testLimits = Limits{Connections: 8, Bytes: 1 << 20}

// received opens a connection whose request has a body of which so many bytes have arrived and
// are charged.
func received(t *testing.T, c *Core, now time.Duration, bytes int) ID {
	t.Helper()
	id, _ := c.Open(now)
	if id == 0 {
		t.Fatalf("connection refused with %d open", c.Stats().Connections)
	}
	c.Received(now, id, 200, 6)
	c.HeaderWhole(now, id)
	c.HeaderReleased(id, 0)
	arrives(t, c, now, id, bytes)
	return id
}

func arrives(t *testing.T, c *Core, now time.Duration, id ID, bytes int) []Action {
	t.Helper()
	reason, actions := c.Charge(now, id, int64(bytes))
	if reason != NoReason {
		t.Fatalf("%d bytes of connection %d are refused: %s", bytes, id, reason)
	}
	c.Received(now, id, bytes, 0)
	return actions
}

const fullBody = 256 * kib

// Large bodies that had stopped short of their end kept the room of those that made progress.
func TestABodyWithoutProgressGivesWay(t *testing.T) {
	c := New(testLimits)
	stopped := received(t, c, 0, fullBody)
	received(t, c, 100*time.Millisecond, fullBody)
	received(t, c, 100*time.Millisecond, fullBody)
	asking := received(t, c, 200*time.Millisecond, 0)
	if reason, actions := c.Charge(200*time.Millisecond, asking, fullBody); reason != NoRoom || len(actions) > 0 {
		t.Fatalf("while all make progress: %q, %v; want the asking one refused", reason, actions)
	}
	c.Close(asking)
	asking = received(t, c, 300*time.Millisecond, 0)
	actions := arrives(t, c, 300*time.Millisecond, asking, fullBody)
	if len(actions) != 1 || actions[0] != (Action{ID: stopped, Reason: GaveWay}) {
		t.Fatalf("gave way: %v, want connection %d", actions, stopped)
	}
	if got := c.BodyWhole(300*time.Millisecond, stopped); got != GaveWay {
		t.Errorf("the whole body of the one that gave way: %q, want it refused", got)
	}
	if got := c.BodyWhole(300*time.Millisecond, asking); got != NoReason {
		t.Errorf("the whole body of the other one: %q, want it accepted", got)
	}
}

// A crowd of large requests took the room of ordinary ones, also once their jobs waited.
func TestLargeRequestsLeaveRoomToSmallOnes(t *testing.T) {
	c := New(testLimits)
	for range 3 {
		id := received(t, c, 0, fullBody)
		if reason := c.BodyWhole(0, id); reason != NoReason {
			t.Fatal(reason)
		}
	}
	large := received(t, c, 0, 0)
	if reason, _ := c.Charge(time.Second, large, fullBody); reason != NoRoom {
		t.Errorf("a fourth large body: %q, want %q", reason, NoRoom)
	}
	small := received(t, c, time.Second, 2*kib)
	if reason := c.BodyWhole(time.Second, small); reason != NoReason {
		t.Errorf("a small body: %q, want it accepted", reason)
	}
}

// A job that takes more than the whole room has it if nothing else is large.
func TestALargeRequestAloneHasRoom(t *testing.T) {
	c := New(Limits{Connections: 8, Bytes: 64 * kib})
	small := received(t, c, 0, 2*kib)
	c.BodyWhole(0, small)
	id := received(t, c, 0, fullBody)
	c.BodyWhole(0, id)
	if reason, _ := c.Hold(0, id, 12*mib); reason != NoReason {
		t.Errorf("the job: %q, want it accepted", reason)
	}
	received(t, c, 0, 2*kib) // refused beside it, it would fail
}

// Connections that only wait, or whose requests make no progress, locked others out.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	c := New(Limits{Connections: 4, Bytes: mib})
	idle, _ := c.Open(0)
	working := received(t, c, 0, 100)
	c.BodyWhole(0, working)
	stopped := received(t, c, 0, 100)
	refused := received(t, c, 0, 100)
	c.Linger(0, refused)
	now := time.Second
	for _, want := range []ID{refused, stopped, idle} {
		id, actions := c.Open(now)
		if id == 0 || len(actions) != 1 || actions[0] != (Action{ID: want, Reason: TooManyConns, Close: true}) {
			t.Fatalf("connection %d, closed: %v; want %d closed", id, actions, want)
		}
		c.Received(now, id, 200, 6)
		c.HeaderWhole(now, id)
		c.BodyWhole(now, id)
	}
	if id, actions := c.Open(now); id != 0 || len(actions) > 0 {
		t.Errorf("connection %d, closed: %v; want it refused while all others work", id, actions)
	}
}

// A header was bounded only by its time, and its fields took many times its bytes.
func TestHeadersAreBounded(t *testing.T) {
	c := New(testLimits)
	c.SetRules(Rules{MaxHeaderBytes: 16 * kib, HeaderTimeout: 3 * time.Second})
	id, _ := c.Open(0)
	for range 5 {
		if reason, _ := c.Received(0, id, 4*kib, 800); reason != NoReason {
			t.Fatalf("20 KiB together with a body: %q, want them accepted", reason)
		}
	}
	if got := c.Stats().Bytes; got < 600*kib {
		t.Errorf("charged are %d bytes, want at least 150 for each of 4,000 fields", got)
	}
	if reason, _ := c.Received(0, id, 4*kib, 800); reason != HeaderTooLarge {
		t.Errorf("24 KiB: %q, want %q", reason, HeaderTooLarge)
	}
	slow, _ := c.Open(0)
	c.Received(time.Second, slow, 10, 1)
	if reason := c.Overdue(3*time.Second, slow); reason != NoReason {
		t.Errorf("2 s after its first byte: %q, want it accepted", reason)
	}
	if reason := c.Overdue(4*time.Second, slow); reason != HeaderTooSlow {
		t.Errorf("3 s after its first byte: %q, want %q", reason, HeaderTooSlow)
	}
}

// A header that begins in the packet of the request before it isn't seen when it is read.
func TestLinesReadAheadAreCharged(t *testing.T) {
	c := New(testLimits)
	id := received(t, c, 0, 0)
	c.BodyWhole(0, id)
	c.Answered(0, id, 600)
	if got := c.Stats().Bytes; got < 90*kib {
		t.Errorf("charged are %d bytes, want at least 150 for each of 600 lines", got)
	}
	c.Received(time.Second, id, 200, 6)
	c.HeaderWhole(time.Second, id)
	c.HeaderReleased(id, 0)
	if got := c.Stats().Bytes; got != 0 {
		t.Errorf("charged are %d bytes once the header is dropped, want 0", got)
	}
}

// What is kept of a header, such as a long path, takes memory until the request is answered.
func TestWhatIsKeptOfAHeaderStaysCharged(t *testing.T) {
	c := New(testLimits)
	id, _ := c.Open(0)
	c.Received(0, id, 16*kib, 6)
	c.HeaderWhole(0, id)
	c.HeaderReleased(id, 20*kib)
	arrives(t, c, 0, id, 4*kib)
	c.BodyWhole(0, id)
	for _, job := range []int64{100, 0} { // while the job waits, and once its answer is ready
		if c.Hold(0, id, job); c.Stats().Bytes != 20*kib+job {
			t.Errorf("charged are %d bytes with a job of %d, want 20 KiB more than that", c.Stats().Bytes, job)
		}
	}
	if c.Answered(0, id, 6); c.Stats().Bytes != 0 {
		t.Errorf("charged are %d bytes after the answer, want 0", c.Stats().Bytes)
	}
}

// A body that comes slowly and steadily is served; one that stops, or comes byte by byte for ever,
// isn't.
func TestBodiesNeedProgress(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int // at a time
		every time.Duration
		until time.Duration
		want  Reason
	}{
		{"256 KiB at the least rate", 4 * kib, time.Second, 64 * time.Second, NoReason},
		{"a small body, 10 bytes at a time", 10, 200 * time.Millisecond, 8 * time.Second, NoReason},
		{"a byte at a time", 1, time.Second, 15 * time.Second, BodyTooSlow},
		{"nothing after a fast beginning", 200 * kib, 20 * time.Second, 19 * time.Second, BodyTooSlow},
	} {
		core := New(testLimits)
		id := received(t, core, 0, 0)
		got := NoReason
		for now := time.Duration(0); now < c.until && got == NoReason; now += 100 * time.Millisecond {
			if got = core.Overdue(now, id); got == NoReason && now%c.every == 0 {
				core.Received(now, id, c.bytes, 0)
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// The budgets of the VMs of the users' sites, and of one that is too small for anything.
func TestLimitsFollowFromTheSettings(t *testing.T) {
	for _, c := range []struct {
		memoryMB    int64
		descriptors int
		connections int
		bytes       int64
	}{
		{284, 4100, 2150, 42 * mib},
		{144, 3075, 955, 18*mib + 2*mib/3},
		{536, 10250, 4300, 84 * mib},
		{96, 700, 375, 10*mib + 2*mib/3},
		{16, 210, minConnections, minBytes},
	} {
		got := LimitsFor(c.memoryMB*mib, c.descriptors)
		if got.Connections != c.connections || got.Bytes != c.bytes {
			t.Errorf("%d MB, %d descriptors: %+v, want %d connections and %d bytes", c.memoryMB, c.descriptors, got, c.connections, c.bytes)
		}
	}
}

// Whatever callers do, the limits hold, and what is charged is what the connections are charged.
func TestLimitsHoldUnderAnyCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(testLimits)
		var open []ID
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				if id, _ := c.Open(now); id != 0 {
					open = append(open, id)
				}
			} else {
				id := open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
				act(t, c, now, id)
			}
			checkLimits(t, c)
		}
	})
}

// act lets a caller do something.
func act(t *rapid.T, c *Core, now time.Duration, id ID) {
	amount := rapid.IntRange(1, 64*kib).Draw(t, "bytes")
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		c.Received(now, id, min(amount, 4*kib), amount%800)
	case 1:
		c.HeaderWhole(now, id)
	case 2:
		c.HeaderReleased(id, int64(amount))
	case 3:
		c.Charge(now, id, int64(amount))
	case 4:
		c.BodyWhole(now, id)
	case 5:
		c.Hold(now, id, int64(amount))
	case 6:
		c.Answered(now, id, amount%100)
	case 7:
		c.Overdue(now, id)
	case 8:
		c.Close(id)
	}
}

func checkLimits(t *rapid.T, c *Core) {
	if len(c.conns) > testLimits.Connections {
		t.Fatalf("%d connections, want at most %d", len(c.conns), testLimits.Connections)
	}
	var total, large int64
	count := 0
	for _, k := range c.conns {
		total += k.charged
		if k.large() {
			large += k.charged
			count++
		}
		if k.charged < 0 || k.shed != NoReason && k.charged > 0 {
			t.Fatalf("connection %d is charged %d, refused %q", k.id, k.charged, k.shed)
		}
	}
	if total != c.total || large != c.large || count != c.largeCount {
		t.Fatalf("charged %d, large %d in %d; the sums are %d, %d in %d", c.total, c.large, c.largeCount, total, large, count)
	}
	if count > 1 && (total > testLimits.Bytes || float64(large) > largeShare*float64(testLimits.Bytes)) {
		t.Fatalf("charged %d, of it %d by %d large requests; want at most %d and three quarters of it", total, large, count, testLimits.Bytes)
	}
	if lists := c.idle.Len() + c.small.Len() + c.largeOnes.Len() + c.lingering.Len(); lists > len(c.conns) {
		t.Fatalf("%d connections in the lists of %d", lists, len(c.conns))
	}
}
