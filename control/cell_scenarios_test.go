package control

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/store"
)

// lastStart samples every 50 ms of simulated time whether any agent of the domain
// may start tasks. It returns the time from its call to the last sample in which
// one could, or -1 if there was none.
func (c *cell) lastStart(domain string, during time.Duration) time.Duration {
	start := time.Now()
	last := time.Duration(-1)
	for time.Since(start) < during {
		for _, a := range c.agents {
			if ok, _ := a.mayStart(); ok && string(a.self.Domain) == domain {
				last = time.Since(start)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

func TestWithdrawAndRestore(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		done := c.mustApply(0, "domain/lulea", 0, withdrawn)
		if last := c.lastStart("lulea", 10*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of the 4 agents of the other domains may start", got)
		}
		c.mustApply(1, "domain/lulea", done.Version, inService)
		time.Sleep(2 * time.Second)
		if got := c.countStarts(); got != 6 {
			t.Errorf("%d of 6 agents may start after the restore", got)
		}
	})
}

// A domain is withdrawn while one entry is partitioned from the platform and from
// the other entry, and that other entry reaches only two of the six agents. The
// change is refused until half of the agents are reachable.
func TestWithdrawWithCutEntry(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		c.entries[1].table.set(func(f *faultyTable) { f.down = true })
		c.net.setCut("10.0.0.0:1", "10.0.0.1:1", true)
		for _, a := range c.agents[:4] {
			c.net.setCut(a.self.Address, "10.0.0.0:1", true)
		}
		time.Sleep(5 * time.Second)
		_, err := c.apply(0, "domain/lulea", 0, withdrawn)
		if !errors.Is(err, ErrUnannounced) {
			t.Fatalf("a change that only 2 of 6 agents can acknowledge returned %v, want ErrUnannounced", err)
		}
		c.net.setCut(c.agents[0].self.Address, "10.0.0.0:1", false)
		c.mustApply(0, "domain/lulea", 0, withdrawn)
		if last := c.lastStart("lulea", 10*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
	})
}

// The platform is unavailable for ten minutes, from right after a write. Agents in
// service keep their permits; changes are refused and change nothing.
func TestPlatformOutage(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		c.mustApply(0, "domain/umea", 0, withdrawn)
		for _, e := range c.entries {
			e.table.set(func(f *faultyTable) { f.down = true })
		}
		time.Sleep(5 * time.Second)
		for range 60 {
			time.Sleep(10 * time.Second)
			if got := c.countStarts(); got != 4 {
				t.Fatalf("%d of 4 agents may start in an outage", got)
			}
		}
		if _, err := c.apply(0, "domain/umea", 0, inService); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("a change in an outage returned %v, want ErrUnavailable", err)
		}
		time.Sleep(5 * time.Second)
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of 4 agents may start after a change was refused", got)
		}
	})
}

func TestLostAnswers(t *testing.T) {
	run(t, 1, 3, func(t *testing.T, c *cell) {
		table := c.entries[0].table
		table.set(func(f *faultyTable) { f.loseAnswer = headKey })
		first := change("domain/lulea", 0, withdrawn)
		done, err := c.entries[0].Store().Apply(c.ctx, first, false)
		if err != nil {
			t.Fatalf("a change that took effect returned %v", err)
		}
		again, err := c.entries[0].Store().Apply(c.ctx, first, false)
		if err != nil || !again.Repeated || again.Version != done.Version {
			t.Errorf("the repeated change returned %+v, %v", again, err)
		}
		table.set(func(f *faultyTable) { f.dropCommit = headKey })
		if _, err := c.apply(0, "domain/lulea", done.Version, inService); err == nil {
			t.Error("a change whose commit had no effect was accepted")
		}
		c.mustApply(0, "domain/lulea", done.Version, inService)
	})
}

func TestRacingOperators(t *testing.T) {
	run(t, 2, 3, func(t *testing.T, c *cell) {
		base := c.mustApply(0, "domain/lulea", 0, inService).Version
		time.Sleep(time.Second)
		type result struct {
			done Applied
			err  error
		}
		results := make(chan result, 2)
		for i, text := range []string{withdrawn, inService + "reason = \"back\"\n"} {
			go func() {
				done, err := c.apply(i, "domain/lulea", base, text)
				results <- result{done, err}
			}()
		}
		a, b := <-results, <-results
		if a.err != nil {
			a, b = b, a
		}
		var conflict *document.ConflictError
		if a.err != nil || !errors.As(b.err, &conflict) {
			t.Fatalf("want one change accepted and one refused with a conflict, got %v, %v", a.err, b.err)
		}
		if conflict.Winner.Version != a.done.Version || conflict.Winner.By != operator.String() || len(conflict.Theirs) == 0 {
			t.Errorf("the conflict error does not describe the accepted change: %+v", conflict)
		}
		time.Sleep(time.Second)
		rows, err := c.entries[0].Store().Audit(c.ctx, audit.Query{Section: "domain/lulea"})
		if err != nil || len(rows) != 3 {
			t.Fatalf("%d audit rows, %v", len(rows), err)
		}
		// The two newest rows have the same millisecond, so their order is undefined.
		refused := rows[0]
		if refused.Outcome == audit.Accepted {
			refused = rows[1]
		}
		if refused.Outcome != audit.Conflict || refused.Version != a.done.Version || refused.Expect != base {
			t.Errorf("the audit row of the refused change is %+v", refused)
		}
	})
}

func TestJoinLeaveAndLoss(t *testing.T) {
	run(t, 2, 5, func(t *testing.T, c *cell) {
		late := c.startAgent("late", "10.0.1.77:1", "lulea")
		time.Sleep(15 * time.Second)
		p := c.entries[0].Placement()
		if len(p.Current()) != 6 || !p.Lists("late") {
			t.Fatalf("members after a join: %v", p.Current())
		}
		late.mu.Lock()
		late.leaving = true
		late.mu.Unlock()
		time.Sleep(5 * time.Second)
		if ok, _ := late.mayStart(); !ok || c.entries[0].Placement().Lists("late") {
			t.Error("a leaving agent must be out of the placement and still hold a permit")
		}
		c.kill(c.agents[0])
		time.Sleep(15 * time.Second)
		if p := c.entries[1].Placement(); p.Lists(c.agents[0].self.Incarnation) || len(p.Current()) != 4 {
			t.Errorf("members after a loss: %v", p.Current())
		}
	})
}

// All agents are restarted at their addresses. Their earlier incarnations can't
// acknowledge a change, but count as having done so, since they are known to be
// gone.
func TestWholeCellRestarts(t *testing.T) {
	run(t, 2, 4, func(t *testing.T, c *cell) {
		old := c.agents
		c.agents = nil
		for _, a := range old {
			c.kill(a)
			c.startAgent(string(a.self.Incarnation)+"b", a.self.Address, a.self.Domain)
		}
		time.Sleep(30 * time.Second)
		p := c.entries[0].Placement()
		if len(p.Current()) != 4 || !p.Lists("agent00b") {
			t.Errorf("members after the restart: %v", p.Current())
		}
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of 4 agents may start", got)
		}
	})
}

// An entry dies between the announcement of a change and its commit. The intent
// must be cancelled: agents with a pending intent don't count towards the majority
// that permits are based on during an outage.
func TestOrphanedIntentIsCancelled(t *testing.T) {
	run(t, 2, 4, func(t *testing.T, c *cell) {
		controller := c.entries[0].Controller
		if err := controller.announcer().announce(c.ctx, "orphan", controller.Placement().Current()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		for _, e := range c.entries {
			e.table.set(func(f *faultyTable) { f.down = true })
		}
		time.Sleep(10 * time.Second)
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of 4 agents may start in an outage after an orphaned intent", got)
		}
	})
}

// An entry that starts in an outage learns the state from another entry.
func TestEntryStartsInOutage(t *testing.T) {
	run(t, 1, 3, func(t *testing.T, c *cell) {
		c.mustApply(0, "domain/umea", 0, withdrawn)
		time.Sleep(time.Second)
		c.entries[0].table.set(func(f *faultyTable) { f.down = true })
		c.startEntry(1)
		c.entries[1].table.set(func(f *faultyTable) { f.down = true })
		time.Sleep(time.Minute)
		if c.entries[1].Ready() {
			t.Fatal("an entry that knows no other entry has learned a state in an outage")
		}
		c.entries[1].inbox.Put(entriesListed{[]string{"10.0.0.0:1"}})
		time.Sleep(5 * time.Second)
		view := c.entries[1].View()
		if view == nil || view.Version != c.entries[0].View().Version {
			t.Fatal("the new entry does not have the document version of the other entry")
		}
		if got := c.countStarts(); got != 2 {
			t.Errorf("%d of 2 agents may start", got)
		}
	})
}

func TestVersionsNeverGoDownAtAgents(t *testing.T) {
	run(t, 3, 4, func(t *testing.T, c *cell) {
		version := c.mustApply(0, "domain/lulea", 0, inService).Version
		for i := range 10 {
			text := inService
			if i%2 == 0 {
				text = withdrawn
			}
			version = c.mustApply(i%3, "domain/lulea", version, text).Version
			c.net.setCut(c.agents[i%4].self.Address, "10.0.0.1:1", i%2 == 0)
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, a := range c.agents {
			a.mu.Lock()
			for i := 1; i < len(a.versions); i++ {
				if a.versions[i] < a.versions[i-1] {
					t.Errorf("%s went back from version %d to %d", a.self.Incarnation, a.versions[i-1], a.versions[i])
				}
			}
			a.mu.Unlock()
			if _, v := a.mayStart(); v != version {
				t.Errorf("%s is at version %d, want %d", a.self.Incarnation, v, version)
			}
		}
	})
}

// An agent is partitioned from every entry while its domain is withdrawn. It
// stops within one lease and gets the newest state when it is connected again.
func TestCutAgentStops(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		lone := c.agents[0]
		for _, entry := range []string{"10.0.0.0:1", "10.0.0.1:1"} {
			c.net.setCut(lone.self.Address, entry, true)
		}
		done := c.mustApply(0, "domain/lulea", 0, withdrawn)
		if last := c.lastStart("lulea", 6*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
		for _, entry := range []string{"10.0.0.0:1", "10.0.0.1:1"} {
			c.net.setCut(lone.self.Address, entry, false)
		}
		if last := c.lastStart("lulea", 6*time.Second); last >= 0 {
			t.Error("an agent of a withdrawn domain could start after it was connected again")
		}
		c.mustApply(0, "domain/lulea", done.Version, inService)
		time.Sleep(2 * time.Second)
		if got := c.countStarts(); got != 6 {
			t.Errorf("%d of 6 agents may start after the restore", got)
		}
	})
}

// The platform becomes unavailable right after a withdrawal is committed. Agents
// and the other entry learn the new state from the entry that committed it.
func TestOutageRightAfterWithdrawal(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		c.mustApply(0, "domain/lulea", 0, withdrawn)
		for _, e := range c.entries {
			e.table.set(func(f *faultyTable) { f.down = true })
		}
		if last := c.lastStart("lulea", 10*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of the 4 agents of the other domains may start", got)
		}
		if v := c.entries[1].View(); v.Version != c.entries[0].View().Version {
			t.Errorf("the other entry is at version %d", v.Version)
		}
	})
}

// More than half of the agents are off for good. Changes are refused, and the
// placement keeps the agents, until an operator forces both, which confirms that
// the agents are off.
func TestOperatorConfirmsThatMostAgentsAreOff(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		for _, a := range c.agents[:4] {
			c.kill(a)
		}
		time.Sleep(time.Minute)
		if n := len(c.entries[0].Placement().Current()); n != 6 {
			t.Errorf("%d of 6 members remain after most of the agents went silent at once", n)
		}
		if _, err := c.apply(0, "domain/lulea", 0, withdrawn); !errors.Is(err, ErrUnannounced) {
			t.Errorf("a change returned %v, want ErrUnannounced", err)
		}
		if _, err := c.entries[0].Store().Apply(c.ctx, change("domain/lulea", 0, withdrawn), true); err != nil {
			t.Errorf("a forced change returned %v", err)
		}
		c.entries[1].ForceEpoch()
		time.Sleep(10 * time.Second)
		for _, e := range c.entries {
			if n := len(e.Placement().Current()); n != 2 {
				t.Errorf("%d members after the forced epoch, want 2", n)
			}
		}
		c.mustApply(0, "domain/umea", 0, inService)
	})
}

// A document that was learned from another entry lacks owners, authors and dates.
// Once the platform answers again, changes must be checked against the rows of
// the table.
func TestStoreChecksChangesAgainstTable(t *testing.T) {
	run(t, 2, 3, func(t *testing.T, c *cell) {
		time.Sleep(time.Second)
		c.entries[1].table.set(func(f *faultyTable) { f.down = true })
		done := c.mustApply(0, "domain/lulea", 0, inService)
		time.Sleep(3 * time.Second)
		if v := c.entries[1].View().Version; v != done.Version {
			t.Fatalf("the entry without the platform is at version %d, want that of the change", v)
		}
		c.entries[1].table.set(func(f *faultyTable) { f.down = false })
		time.Sleep(3 * time.Second)
		_, err := c.apply(1, "domain/lulea", 0, withdrawn)
		var conflict *document.ConflictError
		if !errors.As(err, &conflict) || conflict.Winner.By != operator.String() || conflict.Winner.Owner != document.OperatorsTeam {
			t.Errorf("the change returned %v, the conflict is %+v", err, conflict)
		}
	})
}

// Measures the time from the answer "accepted" until every agent applies the
// change. Calls take no simulated time, so the result is the delay that the
// intervals alone cause. It must stay below one lease.
func TestChangeIsInForceEverywhere(t *testing.T) {
	run(t, 2, 11, func(t *testing.T, c *cell) {
		version := c.mustApply(0, "domain/lulea", 0, inService).Version
		var took []time.Duration
		for i := range 100 {
			time.Sleep(time.Duration(1000+37*i) * time.Millisecond)
			version = c.mustApply(i%2, "domain/lulea", version, inService).Version
			accepted := time.Now()
			for c.oldestVersion() < version {
				time.Sleep(10 * time.Millisecond)
			}
			took = append(took, time.Since(accepted))
		}
		slices.Sort(took)
		t.Logf("in force everywhere after: median %v, p99 %v, max %v", took[50], took[98], took[99])
		if took[99] >= permit.Lease {
			t.Errorf("one change took %v, want less than one lease", took[99])
		}
	})
}

// oldestVersion is the lowest document version that any agent's permit has.
func (c *cell) oldestVersion() ident.DocVersion {
	oldest := ident.DocVersion(math.MaxUint64)
	for _, a := range c.agents {
		_, v := a.mayStart()
		oldest = min(oldest, v)
	}
	return oldest
}
