// Package cluster starts and stops a whole foxtaildock system as separate
// processes on loopback: entries and agents, and the stand-ins: foxbench processes
// that simulate the backend servers, the platform, and the network links to them.
package cluster

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/httpjson"
	"foxtaildock.example/bench/link"
	"foxtaildock.example/bench/platformd"
	"foxtaildock.example/dock/document"
)

const (
	// pollInterval is the time between two checks of a process that starts.
	pollInterval = 20 * time.Millisecond
	// controlTimeout bounds one call to a stand-in's admin interface.
	controlTimeout = 10 * time.Second
)

// Entry is one entry process. Its listeners are given as host:port.
type Entry struct {
	*Process
	Domain    string
	Callers   string
	Operators string
	Internal  string
	Metrics   string
	// PlatformLink is the name of the link to the platform.
	PlatformLink string
	// CallerLink is the name of the link from the callers, if there is one.
	CallerLink string
	// callerAddress is where callers reach the entry: CallerLink's listener or
	// Callers.
	callerAddress string
}

// Agent is one agent process and the backend server beside it. Its listeners are given
// as host:port.
type Agent struct {
	*Process
	Domain   string
	Internal string
	Local    string
	Metrics  string
	Backend  *Backend
	// PlatformLink and BackendLink are the names of the links to the platform
	// and to the backend server.
	PlatformLink string
	BackendLink  string
}

// Backend is one stand-in for a backend server. Ledger is the path of the file in which
// it records every start.
type Backend struct {
	*Process
	Domain  string
	Address string
	Ledger  string
}

// Cluster is a running system.
type Cluster struct {
	Spec Spec
	// BootstrapToken is accepted for writing the first section of the operators'
	// document.
	BootstrapToken string
	Platform       *Process
	Links          *Process
	Entries        []*Entry
	Agents         []*Agent

	platformAddress string
	linkAdmin       string
	linkSpecs       []link.Spec
	client          *http.Client
}

// New allocates the addresses of a system and writes its settings files. It starts no
// process.
func New(spec Spec) (*Cluster, error) {
	c := &Cluster{
		Spec:           spec.withDefaults(),
		client:         &http.Client{Timeout: controlTimeout},
		BootstrapToken: rand.Text(),
	}
	var err error
	if c.platformAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	if c.linkAdmin, err = freeAddress(); err != nil {
		return nil, err
	}
	c.Platform = c.benchProcess("platform", "platform", "--listen", c.platformAddress)
	for i := range c.Spec.Entries {
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range c.Spec.Agents {
		if err := c.addAgent(i); err != nil {
			return nil, err
		}
	}
	c.prepareLinks()
	return c, nil
}

// path returns the path of a file of this run.
func (c *Cluster) path(name string) string { return filepath.Join(c.Spec.Dir, name) }

// benchProcess returns a process of a foxbench subcommand.
func (c *Cluster) benchProcess(name string, args ...string) *Process {
	return NewProcess(name, c.path(name+".log"), c.Spec.Bench, args...)
}

// daemonProcess returns a process of foxtaildockd.
func (c *Cluster) daemonProcess(role, name, settings string) *Process {
	return NewProcess(name, c.path(name+".log"), c.Spec.Daemon, role, "--settings", settings)
}

// addLink adds a link to the target and returns the address that the link listens on.
func (c *Cluster) addLink(name, target string) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	c.linkSpecs = append(c.linkSpecs, link.Spec{Name: name, Listen: address, Target: target})
	return address, nil
}

// prepareLinks prepares the process that runs all links.
func (c *Cluster) prepareLinks() {
	args := []string{"link", "--admin", c.linkAdmin}
	for _, spec := range c.linkSpecs {
		args = append(args, spec.String())
	}
	c.Links = c.benchProcess("links", args...)
}

// freeAddresses fills in a free address for each.
func freeAddresses(to ...*string) error {
	for _, address := range to {
		var err error
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addEntry(i int) error {
	name := "entry-" + strconv.Itoa(i+1)
	e := &Entry{Domain: c.Spec.domain(i), PlatformLink: "platform-" + name}
	if err := freeAddresses(&e.Callers, &e.Operators, &e.Internal, &e.Metrics); err != nil {
		return err
	}
	platform, err := c.addLink(e.PlatformLink, c.platformAddress)
	if err != nil {
		return err
	}
	e.callerAddress = e.Callers
	if c.Spec.CallerLinks {
		e.CallerLink = "callers-" + name
		if e.callerAddress, err = c.addLink(e.CallerLink, e.Callers); err != nil {
			return err
		}
	}
	settings := c.path(name + ".toml")
	e.Process = c.daemonProcess("entry", name, settings)
	c.Entries = append(c.Entries, e)
	return writeSettings(settings, entryTemplate, entrySettings{
		Domain:          e.Domain,
		Cell:            c.Spec.Cell,
		Callers:         e.Callers,
		Operators:       e.Operators,
		Internal:        e.Internal,
		Metrics:         e.Metrics,
		Platform:        platform,
		PlatformTimeout: c.Spec.PlatformTimeout.String(),
		Bootstrap:       document.HashBootstrap(c.BootstrapToken),
		Grace:           c.Spec.Grace.String(),
		Level:           c.Spec.LogLevel,
	})
}

func (c *Cluster) addAgent(i int) error {
	name := "agent-" + strconv.Itoa(i+1)
	a := &Agent{
		Domain:       c.Spec.domain(i),
		PlatformLink: "platform-" + name,
		BackendLink:  "backend-" + name,
	}
	if err := freeAddresses(&a.Internal, &a.Local, &a.Metrics); err != nil {
		return err
	}
	platform, err := c.addLink(a.PlatformLink, c.platformAddress)
	if err != nil {
		return err
	}
	if err := c.addBackend(i, a); err != nil {
		return err
	}
	settings := c.path(name + ".toml")
	a.Process = c.daemonProcess("agent", name, settings)
	c.Agents = append(c.Agents, a)
	return writeSettings(settings, agentTemplate, agentSettings{
		Domain:          a.Domain,
		Cell:            c.Spec.Cell,
		Internal:        a.Internal,
		Local:           a.Local,
		Metrics:         a.Metrics,
		Platform:        platform,
		PlatformTimeout: c.Spec.PlatformTimeout.String(),
		Grace:           c.Spec.Grace.String(),
		Level:           c.Spec.LogLevel,
	})
}

// addBackend adds the backend server of an agent, behind a link unless DirectBackends is
// set.
func (c *Cluster) addBackend(i int, a *Agent) error {
	name := "backend-" + strconv.Itoa(i+1)
	address, err := freeAddress()
	if err != nil {
		return err
	}
	announced := address
	if !c.Spec.DirectBackends {
		if announced, err = c.addLink(a.BackendLink, address); err != nil {
			return err
		}
	}
	ledger := c.path(name + ".ledger")
	args := []string{"backend",
		"--listen", address,
		"--announce", announced,
		"--agent", a.Local,
		"--name", name,
		"--domain", a.Domain,
		"--slots", strconv.Itoa(c.Spec.Slots),
		"--connections", strconv.Itoa(c.Spec.Connections),
		"--ledger", ledger,
		"--services",
	}
	args = append(args, c.Spec.Services...)
	a.Backend = &Backend{
		Process: c.benchProcess(name, args...),
		Domain:  a.Domain,
		Address: address,
		Ledger:  ledger,
	}
	return nil
}

// standIns returns the stand-ins in the order in which they start.
func (c *Cluster) standIns() []*Process {
	all := []*Process{c.Platform, c.Links}
	for _, a := range c.Agents {
		all = append(all, a.Backend.Process)
	}
	return all
}

// initialDaemons returns the daemons that Start starts: all but the late agents.
func (c *Cluster) initialDaemons() []*Process {
	all := c.daemons()
	return all[:len(all)-c.Spec.LateAgents]
}

// daemons returns the processes of the system itself, entries first.
func (c *Cluster) daemons() []*Process {
	var all []*Process
	for _, e := range c.Entries {
		all = append(all, e.Process)
	}
	for _, a := range c.Agents {
		all = append(all, a.Process)
	}
	return all
}

// Start starts the stand-ins and the daemons, and waits until every daemon is
// ready. The error names the process that failed and its log.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.StartStandIns(ctx); err != nil {
		return err
	}
	if err := startAll(c.initialDaemons()); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// StartStandIns starts the stand-ins only, and waits until the platform and the
// links accept requests.
func (c *Cluster) StartStandIns(ctx context.Context) error {
	if err := startAll(c.standIns()); err != nil {
		return err
	}
	if err := c.waitServing(ctx, c.Platform); err != nil {
		return err
	}
	return c.waitServing(ctx, c.Links)
}

func startAll(processes []*Process) error {
	for _, p := range processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// waitServing waits until a stand-in answers on its admin interface.
func (c *Cluster) waitServing(ctx context.Context, p *Process) error {
	url := "http://" + c.platformAddress + platformd.PathStats
	if p == c.Links {
		url = "http://" + c.linkAdmin + link.PathLink + "none"
	}
	return poll(ctx, p, func() error {
		err := httpjson.Call(ctx, c.client, http.MethodGet, url, nil, nil)
		var status *httpjson.StatusError
		if errors.As(err, &status) {
			return nil
		}
		return err
	})
}

// WaitReady waits until every daemon that was ever started reports that it is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, e := range c.Entries {
		if err := c.WaitProcessReady(ctx, e.Process, e.Metrics); err != nil {
			return err
		}
	}
	for _, a := range c.Agents {
		if err := c.WaitProcessReady(ctx, a.Process, a.Metrics); err != nil {
			return err
		}
	}
	return nil
}

// WaitProcessReady waits until one daemon reports on its metrics address that it is
// ready. It returns at once if the daemon was never started.
func (c *Cluster) WaitProcessReady(ctx context.Context, p *Process, metrics string) error {
	if p.PID() == 0 {
		return nil
	}
	url := "http://" + metrics + "/readyz"
	return poll(ctx, p, func() error {
		return httpjson.Call(ctx, c.client, http.MethodGet, url, nil, nil)
	})
}

// poll repeats the check until it succeeds. It returns an error if the process or the
// context ends first.
func poll(ctx context.Context, p *Process, check func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		if !p.Running() {
			return fmt.Errorf("%s exited before it was ready; see %s", p.Name, p.LogPath)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w; see %s", p.Name, err, p.LogPath)
		}
	}
}

// Close kills every process, including paused ones.
func (c *Cluster) Close() {
	for _, p := range append(c.daemons(), c.standIns()...) {
		_ = p.Kill()
	}
	c.client.CloseIdleConnections()
}

// SetPlatformFaults replaces the faults of the platform.
func (c *Cluster) SetPlatformFaults(ctx context.Context, f platformd.Faults) error {
	url := "http://" + c.platformAddress + platformd.PathFaults
	return httpjson.Call(ctx, c.client, http.MethodPut, url, f, nil)
}

// SetBackendFaults replaces the faults of one backend server.
func (c *Cluster) SetBackendFaults(ctx context.Context, b *Backend, f backend.Faults) error {
	url := "http://" + b.Address + backend.PathFaults
	return httpjson.Call(ctx, c.client, http.MethodPut, url, f, nil)
}

// SetLink replaces the state of a link.
func (c *Cluster) SetLink(ctx context.Context, name string, state link.State) error {
	url := "http://" + c.linkAdmin + link.PathLink + name
	return httpjson.Call(ctx, c.client, http.MethodPut, url, state, nil)
}

// SilenceLink silences the open connections of a link and returns their number. A silent
// connection stays open and delivers no more data.
func (c *Cluster) SilenceLink(ctx context.Context, name string) (int, error) {
	var out link.Silenced
	url := "http://" + c.linkAdmin + link.PathSilence + name
	err := httpjson.Call(ctx, c.client, http.MethodPost, url, nil, &out)
	return out.Connections, err
}

// Starts returns the starts in the ledgers of all backend servers, in the order of
// agents.
func (c *Cluster) Starts() ([]backend.Start, error) {
	var all []backend.Start
	for _, a := range c.Agents {
		starts, err := backend.ReadLedger(a.Backend.Ledger)
		if err != nil {
			return nil, err
		}
		all = append(all, starts...)
	}
	return all, nil
}

// OperatorAddresses returns the addresses of the operators' interface of the entries.
func (c *Cluster) OperatorAddresses() []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.Operators)
	}
	return out
}

// CallerAddresses returns the addresses at which callers reach the entries, through a
// link if there is one.
func (c *Cluster) CallerAddresses() []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.callerAddress)
	}
	return out
}
