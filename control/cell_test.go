package control

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/control/agentlink"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/store/memory"
	"foxtaildock.example/dock/telemetry"
)

// network carries calls between processes without sockets, so that a test runs
// in simulated time. Calls between the two addresses of a cut pair get no answer.
type network struct {
	mu      sync.Mutex
	servers map[string]http.Handler
	cut     map[[2]string]bool
}

func (n *network) serve(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = h
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

func (n *network) client(from string) *http.Client {
	return &http.Client{Transport: &transport{n, from}}
}

type transport struct {
	n    *network
	from string
}

var errRefused = errors.New("connection refused")

// RoundTrip implements http.RoundTripper.
func (w *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w.n.mu.Lock()
	h := w.n.servers[r.URL.Host]
	cut := w.n.cut[[2]string{w.from, r.URL.Host}]
	w.n.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if h == nil {
		return nil, errRefused
	}
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(rec, r.Clone(r.Context()))
	}()
	select {
	case <-done:
		return rec.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// faultyTable is a store.Table with outages and lost answers.
type faultyTable struct {
	store.Table
	mu sync.Mutex
	// down makes every call fail without effect.
	down bool
	// loseAnswer makes the next commit of a row with this key prefix take
	// effect and return ErrUnknown; dropCommit makes it return ErrUnknown
	// without effect.
	loseAnswer, dropCommit string
}

func (f *faultyTable) set(change func(*faultyTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faultyTable) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *faultyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if f.isDown() {
		return nil, store.ErrUnavailable
	}
	return f.Table.Get(ctx, keys...)
}

func (f *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if f.isDown() {
		return nil, store.ErrUnavailable
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

func (f *faultyTable) Commit(ctx context.Context, writes ...store.Write) error {
	if f.isDown() {
		return store.ErrUnavailable
	}
	f.mu.Lock()
	lose, drop := writesPrefix(writes, f.loseAnswer), writesPrefix(writes, f.dropCommit)
	if lose {
		f.loseAnswer = ""
	}
	if drop {
		f.dropCommit = ""
	}
	f.mu.Unlock()
	if drop {
		return store.ErrUnknown
	}
	err := f.Table.Commit(ctx, writes...)
	if lose {
		return store.ErrUnknown
	}
	return err
}

func writesPrefix(writes []store.Write, prefix string) bool {
	for _, w := range writes {
		if prefix != "" && strings.HasPrefix(w.Key, prefix) {
			return true
		}
	}
	return false
}

// cell runs entries and agents around one in-memory platform.
type cell struct {
	t       *testing.T
	ctx     context.Context
	net     *network
	store   *memory.Store
	entries []*entryProc
	agents  []*agentProc
	wait    sync.WaitGroup
}

type entryProc struct {
	*Controller
	table *faultyTable
}

// noopListener is a Listener that ignores everything.
type noopListener struct{}

func (noopListener) SetView(*document.View)                {}
func (noopListener) SetPlacement(*placement.Placement)     {}
func (noopListener) SetAgents([]membership.Agent)          {}
func (noopListener) SetDemand(ident.Incarnation, []Demand) {}
func (noopListener) Demand() []Demand                      { return nil }

// agentProc is an agent that consists of its agentlink.Link only.
type agentProc struct {
	dockpbconnect.UnimplementedAgentServiceHandler
	origin time.Time
	self   membership.Announcement
	link   *agentlink.Link
	stop   context.CancelFunc

	mu        sync.Mutex
	permit    permit.Permit
	placement *placement.Placement
	versions  []ident.DocVersion
	removed   bool
	leaving   bool
}

func (a *agentProc) Now() time.Duration { return time.Since(a.origin) }

func (a *agentProc) Announcement() membership.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.self
	n.Leaving = a.leaving
	return n
}

func (a *agentProc) SetPermit(p permit.Permit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.permit = p
	a.versions = append(a.versions, p.Version)
}

func (a *agentProc) SetPlacement(p *placement.Placement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.placement = p
}

func (a *agentProc) SetPeers([]membership.Agent) {}

func (a *agentProc) Removed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removed = true
}

func (a *agentProc) Intent(ctx context.Context, r *connect.Request[dockpb.IntentRequest]) (*connect.Response[dockpb.IntentResponse], error) {
	if r.Msg.GetTo() != string(a.self.Incarnation) {
		return nil, rpc.NewReplacedError()
	}
	return connect.NewResponse(&dockpb.IntentResponse{Accepted: a.link.Intent(ctx, r.Msg)}), nil
}

// mayStart reports whether the agent's permit allows it to start a task now, and
// the document version of the permit.
func (a *agentProc) mayStart() (bool, ident.DocVersion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.permit.Live(a.Now()) && a.permit.InService, a.permit.Version
}

func newCell(t *testing.T, entries, agents int) *cell {
	ctx, stop := context.WithCancel(context.Background())
	c := &cell{
		t: t, ctx: ctx, store: memory.New(),
		net: &network{servers: make(map[string]http.Handler), cut: make(map[[2]string]bool)},
	}
	t.Cleanup(func() {
		stop()
		c.wait.Wait()
		// Calls that are no longer waited for end by their timeouts.
		time.Sleep(10 * time.Second)
	})
	for i := range entries {
		c.startEntry(i)
	}
	for i := range agents {
		c.startAgent(fmt.Sprintf("agent%02d", i), fmt.Sprintf("10.0.1.%d:1", i), domainOf(i))
	}
	return c
}

func domainOf(i int) ident.FailureDomain {
	return []ident.FailureDomain{"lulea", "umea", "sundsvall"}[i%3]
}

func (c *cell) startEntry(i int) {
	cfg := DefaultConfig()
	cfg.Self = ident.Incarnation(fmt.Sprintf("entry%d", i))
	cfg.Cell = "north"
	cfg.Address = fmt.Sprintf("10.0.0.%d:1", i)
	table := &faultyTable{Table: c.store.Table()}
	cfg.Table = table
	cfg.Objects = c.store.Objects()
	cfg.Client = c.net.client(cfg.Address)
	cfg.Log = telemetry.Discard()
	controller, err := New(cfg, noopListener{})
	if err != nil {
		c.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(dockpbconnect.NewEntryServiceHandler(controller.Service()))
	c.net.serve(cfg.Address, mux)
	c.entries = append(c.entries, &entryProc{controller, table})
	c.wait.Go(func() { controller.Run(c.ctx) })
}

func (c *cell) startAgent(id, address string, domain ident.FailureDomain) *agentProc {
	a := &agentProc{
		origin: time.Now(),
		self:   membership.Announcement{Incarnation: ident.Incarnation(id), Address: address, Domain: domain, Slots: 8, Free: 8},
	}
	cfg := agentlink.DefaultConfig()
	cfg.Self = a.self.Incarnation
	cfg.Cell = "north"
	cfg.Table = c.store.Table()
	cfg.NewClient = func() *http.Client { return c.net.client(address) }
	cfg.Log = telemetry.Discard()
	link, err := agentlink.New(cfg, a)
	if err != nil {
		c.t.Fatal(err)
	}
	a.link = link
	mux := http.NewServeMux()
	mux.Handle(dockpbconnect.NewAgentServiceHandler(a))
	c.net.serve(address, mux)
	ctx, stop := context.WithCancel(c.ctx)
	a.stop = stop
	c.agents = append(c.agents, a)
	c.wait.Go(func() { link.Run(ctx) })
	return a
}

// kill ends an agent without a planned leave.
func (c *cell) kill(a *agentProc) {
	a.stop()
	c.net.serve(a.self.Address, nil)
}

// countStarts returns the number of agents that may start tasks.
func (c *cell) countStarts() int {
	n := 0
	for _, a := range c.agents {
		if ok, _ := a.mayStart(); ok {
			n++
		}
	}
	return n
}

// operator is the identity of the first operators' token.
var operator = document.Identity{Team: document.OperatorsTeam, TokenID: "first", Role: document.RoleOperator}

// bootstrap writes the operators' section.
func (c *cell) bootstrap() {
	c.t.Helper()
	_, entry, err := document.NewToken(rand.Reader, document.OperatorsTeam, "first", document.RoleOperator)
	if err != nil {
		c.t.Fatal(err)
	}
	text := fmt.Sprintf("owner = \"operators\"\n[[tokens]]\nid = %q\nrole = %q\nsalt = %q\nsha256 = %q\n",
		entry.ID, entry.Role, entry.Salt, entry.SHA256)
	c.mustApply(0, "team/operators", 0, text)
}

func (c *cell) apply(entry int, n document.Name, expect ident.DocVersion, text string) (Applied, error) {
	return c.entries[entry].Store().Apply(c.ctx, change(n, expect, text), false)
}

func change(n document.Name, expect ident.DocVersion, text string) document.Change {
	return document.Change{ID: NewID(), Section: n, Expect: expect, Text: text, By: operator}
}

func (c *cell) mustApply(entry int, n document.Name, expect ident.DocVersion, text string) Applied {
	c.t.Helper()
	done, err := c.apply(entry, n, expect, text)
	if err != nil {
		c.t.Fatal(err)
	}
	return done
}

const (
	withdrawn = "owner = \"operators\"\nstate = \"withdrawn\"\nreason = \"power work\"\n"
	inService = "owner = \"operators\"\nstate = \"in-service\"\n"
)

// run runs a test in simulated time with a cell in which every agent has a permit
// and the operators' section exists.
func run(t *testing.T, entries, agents int, body func(*testing.T, *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, entries, agents)
		time.Sleep(15 * time.Second)
		if got := c.countStarts(); got != agents {
			t.Fatalf("%d of %d agents have a permit after startup", got, agents)
		}
		c.bootstrap()
		body(t, c)
	})
}
