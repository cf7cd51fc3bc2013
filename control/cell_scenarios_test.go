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

// watch samples every 50 ms of simulated time whether any agent of the domain
// may start, and returns the last moment after the start at which one could.
func (c *cell) watch(domain string, during time.Duration) time.Duration {
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
		if last := c.watch("lulea", 10*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of the 4 agents elsewhere may start", got)
		}
		c.mustApply(1, "domain/lulea", done.Version, inService)
		time.Sleep(2 * time.Second)
		if got := c.countStarts(); got != 6 {
			t.Errorf("%d of 6 agents may start after the restore", got)
		}
	})
}

// The entry that serves half of the agents is cut from the platform and from the
// other entry when a domain is withdrawn.
func TestWithdrawWithCutEntry(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		c.entries[1].table.set(func(f *faulty) { f.down = true })
		c.net.setCut("10.0.0.0:1", "10.0.0.1:1", true)
		for _, a := range c.agents[:4] {
			c.net.setCut(a.self.Address, "10.0.0.0:1", true)
		}
		time.Sleep(5 * time.Second)
		_, err := c.apply(0, "domain/lulea", 0, withdrawn)
		if !errors.Is(err, ErrUnannounced) {
			t.Fatalf("two of six agents are not half, but the change ended with %v", err)
		}
		c.net.setCut(c.agents[0].self.Address, "10.0.0.0:1", false)
		c.mustApply(0, "domain/lulea", 0, withdrawn)
		if last := c.watch("lulea", 10*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
	})
}

// The platform goes away for ten minutes, also right after a write.
func TestPlatformOutage(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		c.mustApply(0, "domain/umea", 0, withdrawn)
		for _, e := range c.entries {
			e.table.set(func(f *faulty) { f.down = true })
		}
		time.Sleep(5 * time.Second)
		for range 60 {
			time.Sleep(10 * time.Second)
			if got := c.countStarts(); got != 4 {
				t.Fatalf("%d of 4 agents may start in an outage", got)
			}
		}
		if _, err := c.apply(0, "domain/umea", 0, inService); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("a change in an outage ended with %v", err)
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
		table.set(func(f *faulty) { f.lose = headKey })
		first := change("domain/lulea", 0, withdrawn)
		done, err := c.entries[0].Store().Apply(c.ctx, first, false)
		if err != nil {
			t.Fatalf("a change that took effect was answered with %v", err)
		}
		again, err := c.entries[0].Store().Apply(c.ctx, first, false)
		if err != nil || !again.Repeated || again.Version != done.Version {
			t.Errorf("asking again gave %+v, %v", again, err)
		}
		table.set(func(f *faulty) { f.drop = headKey })
		if _, err := c.apply(0, "domain/lulea", done.Version, inService); err == nil {
			t.Error("a change without effect was accepted")
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
		var clash *document.ConflictError
		if a.err != nil || !errors.As(b.err, &clash) {
			t.Fatalf("one must win and one must be refused: %v, %v", a.err, b.err)
		}
		if clash.Winner.Version != a.done.Version || clash.Winner.By != operator.String() || len(clash.Theirs) == 0 {
			t.Errorf("the refusal does not name the winner: %+v", clash)
		}
		time.Sleep(time.Second)
		rows, err := c.entries[0].Store().Audit(c.ctx, audit.Query{Section: "domain/lulea"})
		if err != nil || len(rows) != 3 {
			t.Fatalf("%d audit rows, %v", len(rows), err)
		}
		// The two newest rows are of one millisecond, in any order.
		refused := rows[0]
		if refused.Outcome == audit.Accepted {
			refused = rows[1]
		}
		if refused.Outcome != audit.Conflict || refused.Version != a.done.Version || refused.Expect != base {
			t.Errorf("the row of the refusal is %+v", refused)
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
			t.Error("a leaving agent must be out of the placement and go on with its work")
		}
		c.kill(c.agents[0])
		time.Sleep(15 * time.Second)
		if p := c.entries[1].Placement(); p.Lists(c.agents[0].self.Incarnation) || len(p.Current()) != 4 {
			t.Errorf("members after a loss: %v", p.Current())
		}
	})
}

// All agents are restarted at their addresses. Their earlier incarnations can
// acknowledge nothing, but are known to be gone.
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

// A committer dies between announcement and commit. Its intent is cancelled, so
// that the outage rule works again.
func TestOrphanedIntentIsCancelled(t *testing.T) {
	run(t, 2, 4, func(t *testing.T, c *cell) {
		d := c.entries[0].Duty
		if err := d.announcer().announce(c.ctx, "orphan", d.Placement().Current()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		for _, e := range c.entries {
			e.table.set(func(f *faulty) { f.down = true })
		}
		time.Sleep(10 * time.Second)
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of 4 agents may start in an outage after an orphaned intent", got)
		}
	})
}

// An entry that starts in an outage learns the state from the other.
func TestEntryStartsInOutage(t *testing.T) {
	run(t, 1, 3, func(t *testing.T, c *cell) {
		c.mustApply(0, "domain/umea", 0, withdrawn)
		time.Sleep(time.Second)
		c.entries[0].table.set(func(f *faulty) { f.down = true })
		c.startEntry(1)
		c.entries[1].table.set(func(f *faulty) { f.down = true })
		time.Sleep(time.Minute)
		if c.entries[1].Ready() {
			t.Fatal("an entry that nobody knows can't have learned a state")
		}
		c.entries[1].box.Put(listed{[]string{"10.0.0.0:1"}})
		time.Sleep(5 * time.Second)
		view := c.entries[1].View()
		if view == nil || view.Version != c.entries[0].View().Version {
			t.Fatal("the new entry has not learned the document")
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
					t.Errorf("%s went from version %d to %d", a.self.Incarnation, a.versions[i-1], a.versions[i])
				}
			}
			a.mu.Unlock()
			if _, v := a.mayStart(); v != version {
				t.Errorf("%s is at version %d, not %d", a.self.Incarnation, v, version)
			}
		}
	})
}

// An agent that is cut from every entry, also across the change, stops within
// one lease and takes up the newest state when it is back.
func TestCutAgentStops(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		lone := c.agents[0]
		for _, entry := range []string{"10.0.0.0:1", "10.0.0.1:1"} {
			c.net.setCut(lone.self.Address, entry, true)
		}
		done := c.mustApply(0, "domain/lulea", 0, withdrawn)
		if last := c.watch("lulea", 6*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
		for _, entry := range []string{"10.0.0.0:1", "10.0.0.1:1"} {
			c.net.setCut(lone.self.Address, entry, false)
		}
		if last := c.watch("lulea", 6*time.Second); last >= 0 {
			t.Error("an agent could start when it was back, although its domain is withdrawn")
		}
		c.mustApply(0, "domain/lulea", done.Version, inService)
		time.Sleep(2 * time.Second)
		if got := c.countStarts(); got != 6 {
			t.Errorf("%d of 6 agents may start after the restore", got)
		}
	})
}

// A state that the entry has committed is learned from it although the platform
// goes away right after the write.
func TestOutageRightAfterWithdrawal(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		c.mustApply(0, "domain/lulea", 0, withdrawn)
		for _, e := range c.entries {
			e.table.set(func(f *faulty) { f.down = true })
		}
		if last := c.watch("lulea", 10*time.Second); last >= permit.Lease {
			t.Errorf("an agent could start %v after the withdrawal", last)
		}
		if got := c.countStarts(); got != 4 {
			t.Errorf("%d of the 4 agents elsewhere may start", got)
		}
		if v := c.entries[1].View(); v.Version != c.entries[0].View().Version {
			t.Errorf("the other entry is at version %d", v.Version)
		}
	})
}

// More than half of the agents are off for good. Changes are refused until an
// operator vouches for that, and the placement follows only then.
func TestOperatorVouchesThatMostAgentsAreOff(t *testing.T) {
	run(t, 2, 6, func(t *testing.T, c *cell) {
		for _, a := range c.agents[:4] {
			c.kill(a)
		}
		time.Sleep(time.Minute)
		if n := len(c.entries[0].Placement().Current()); n != 6 {
			t.Errorf("%d of 6 members although most of the fleet went silent at once", n)
		}
		if _, err := c.apply(0, "domain/lulea", 0, withdrawn); !errors.Is(err, ErrUnannounced) {
			t.Errorf("a change was answered with %v", err)
		}
		if _, err := c.entries[0].Store().Apply(c.ctx, change("domain/lulea", 0, withdrawn), true); err != nil {
			t.Errorf("a forced change was answered with %v", err)
		}
		c.entries[1].ForceEpoch()
		time.Sleep(10 * time.Second)
		for _, e := range c.entries {
			if n := len(e.Placement().Current()); n != 2 {
				t.Errorf("%d of 2 members after the forced epoch", n)
			}
		}
		c.mustApply(0, "domain/umea", 0, inService)
	})
}

// A document that was learned from another entry lacks owners, authors and dates.
// Once the platform answers, changes are decided upon the table's own rows.
func TestStoreDecidesUponTheTable(t *testing.T) {
	run(t, 2, 3, func(t *testing.T, c *cell) {
		time.Sleep(time.Second)
		c.entries[1].table.set(func(f *faulty) { f.down = true })
		done := c.mustApply(0, "domain/lulea", 0, inService)
		time.Sleep(3 * time.Second)
		if v := c.entries[1].View().Version; v != done.Version {
			t.Fatalf("the cut entry is at version %d", v)
		}
		c.entries[1].table.set(func(f *faulty) { f.down = false })
		time.Sleep(3 * time.Second)
		_, err := c.apply(1, "domain/lulea", 0, withdrawn)
		var clash *document.ConflictError
		if !errors.As(err, &clash) || clash.Winner.By != operator.String() || clash.Winner.Owner != document.OperatorsTeam {
			t.Errorf("the refusal is %v, the winner %+v", err, clash)
		}
	})
}

// The time from the answer "accepted" until every agent acts under the change.
// Calls take no time here, so it is what the intervals alone cost.
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
			t.Errorf("one change took %v", took[99])
		}
	})
}

// oldestVersion is the lowest version that any agent acts under.
func (c *cell) oldestVersion() ident.DocVersion {
	oldest := ident.DocVersion(math.MaxUint64)
	for _, a := range c.agents {
		_, v := a.mayStart()
		oldest = min(oldest, v)
	}
	return oldest
}
