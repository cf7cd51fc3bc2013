package usersite

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/dock/daemon"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// Config describes a site of real processes on loopback.
type Config struct {
	Daemon  string // path of foxtaildockd
	Dir     string // for settings and logs
	Entries int
	Agents  int
	Plan    func(work.Run, string) runserver.Plan // what each run does
	// Speed is the factor by which runs take longer, by index of the backend server. The
	// list is repeated as needed; if it is empty, all are equal.
	Speed []float64
	// Priorities adds routes of priority 1 and 2.
	Priorities bool
	// MemoryMB and Descriptors are the limits in the settings of each process; 0 for those
	// of most sites, and for none.
	MemoryMB    int
	Descriptors int
}

// defaultMemoryMB is the memory limit of a process if the configuration has none.
const defaultMemoryMB = 152

// Site is a site whose entries and agents are real processes, and whose store and
// backend servers run in this process. Each VM has its own loopback address, so the
// ports are the same on all of them.
type Site struct {
	cfg      Config
	Store    *MetadataStore
	Backends []*Backend
	Entries  []*cluster.Process
	Agents   []*cluster.Process
	Checks   *Checks
	servers  []*http.Server
	stop     context.CancelFunc
	slot     int
}

// Ports of every VM.
const (
	portCallers   = 21161
	portReadiness = 21167
	portControl   = 21166
	portApp       = 21165
	portInternal  = 21720
	portStore     = 21169
)

// Service, Host and Prefix describe the route of a site with priority 0.
const (
	Service = "service"
	Host    = "site.example"
	Prefix  = "/jobs/"
)

// prefixes are the path prefixes of the routes, by priority.
var prefixes = [3]string{Prefix, "/middle/", "/least/"}

// Domains lists the failure domains of a site.
var Domains = []string{"north", "middle", "south"}

// address returns the loopback address of a VM. The second and third number come from
// the process id and the site's slot, so that sites do not collide.
func (s *Site) address(kind, index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64*(1+s.slot)+(pid>>8)&0x3f, pid&0xff, 1+kind*100+index)
}

// maxSites is how many sites a process can have at the same time.
const maxSites = 3

// slots contains the numbers of the sites that a process may start.
var slots = freeSlots()

func freeSlots() chan int {
	free := make(chan int, maxSites)
	for i := range maxSites {
		free <- i
	}
	return free
}

const (
	kindEntry = 0
	kindAgent = 1
	kindStore = 2
)

// Start starts a site, after another one has been closed if there are maxSites already.
// It returns an error if an address is in use or a process can't be started.
func Start(cfg Config) (*Site, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Site{cfg: cfg, Store: NewMetadataStore(), Checks: NewChecks(), stop: stop, slot: <-slots}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.Store.Put("op", "config", manifest(s.cfg.Priorities)); err != nil {
		return err
	}
	if err := s.serve(fmt.Sprintf("%s:%d", s.address(kindStore, 0), portStore), s.Store); err != nil {
		return err
	}
	for i := range s.cfg.Agents {
		if err := s.startBackend(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.cfg.Entries {
		p, err := s.process("entry", i, kindEntry)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, p)
	}
	for i := range s.cfg.Agents {
		p, err := s.process("agent", i, kindAgent)
		if err != nil {
			return err
		}
		s.Agents = append(s.Agents, p)
	}
	return nil
}

// manifest returns the operators' document of the site in the users' format, with the route
// of priority 0 alone or with all.
func manifest(priorities bool) any {
	var routes []map[string]any
	for priority, name := range []string{"jobs", "middle", "least"} {
		if priority > 0 && !priorities {
			break
		}
		routes = append(routes, map[string]any{
			"name": name, "host": Host, "pathPrefix": prefixes[priority], "kind": "unsafe", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": priority, "service": Service, "attempts": 3, "stretch": 1.6,
		})
	}
	return map[string]any{
		"version":  1,
		"routes":   routes,
		"services": []map[string]any{{"name": Service}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// listenPatience bounds how long an address may still be in use. A process that another site starts
// holds the listeners of this process between its fork and its exec, also those that are closed
// meanwhile.
const listenPatience = time.Second

func listen(address string) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > listenPatience {
			return l, err
		}
	}
}

func (s *Site) serve(address string, h http.Handler) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // returns after Close
	return nil
}

// reportInterval is the interval between the reports of a backend server.
const reportInterval = 500 * time.Millisecond

// Capacity is the capacity of every backend server, unless SetCapacity changes it.
var Capacity = work.Demand{CPUMilli: 8000, MemoryMB: 4096}

func (s *Site) startBackend(ctx context.Context, i int) error {
	vm := s.address(kindAgent, i)
	watcher := &watcher{checks: s.Checks, backend: i}
	b := NewBackend(BackendConfig{
		ID: fmt.Sprintf("server-%d", i), Service: Service, Zone: Domains[i%len(Domains)],
		Address: fmt.Sprintf("%s:%d", vm, portApp), Reports: fmt.Sprintf("%s:%d", vm, portControl),
		Capacity: Capacity, Every: reportInterval, Plan: s.plan(i),
	}, watcher)
	watcher.capacityCheck = b.checkCapacity
	s.Backends = append(s.Backends, b)
	go b.Run(ctx)
	return s.serve(fmt.Sprintf("%s:%d", vm, portApp), b)
}

// plan returns what runs do on a backend server of its speed.
func (s *Site) plan(i int) func(work.Run, string) runserver.Plan {
	if len(s.cfg.Speed) == 0 {
		return s.cfg.Plan
	}
	factor := s.cfg.Speed[i%len(s.cfg.Speed)]
	return func(r work.Run, spec string) runserver.Plan {
		p := s.cfg.Plan(r, spec)
		p.Length = time.Duration(factor * float64(p.Length))
		return p
	}
}

// process writes the settings file of a process and starts it.
func (s *Site) process(role string, i, kind int) (*cluster.Process, error) {
	name := fmt.Sprintf("%s-%d", role, i)
	path := filepath.Join(s.cfg.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(s.settings(name, i, kind)), 0o600); err != nil {
		return nil, err
	}
	p := cluster.NewProcess(name, filepath.Join(s.cfg.Dir, name+".log"), s.cfg.Daemon, role)
	p.Env = []string{"FOXTAILDOCK_NODE_FILE=" + path}
	return p, p.Start()
}

func (s *Site) settings(name string, i, kind int) string {
	ip := s.address(kind, i)
	text := fmt.Sprintf("nodeName = %q\nip = %q\nzone = %q\nportRange = [%d, %d]\nseeds = [%q]\nheartbeatMs = %d\n",
		name, ip, Domains[i%len(Domains)], portInternal, portInternal+15, fmt.Sprintf("%s:%d", s.address(kindEntry, 0), portControl), reportInterval.Milliseconds())
	if kind == kindAgent {
		text += fmt.Sprintf("app = \"%s:%d\"\n[listen]\ncontrol = \"%s:%d\"\n", ip, portApp, ip, portControl)
	} else {
		text += fmt.Sprintf("[listen]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", ip, portCallers, ip, portReadiness)
	}
	return text + s.limits() + fmt.Sprintf("[bounds]\ngraceS = 6\nconfigApplyMs = 2000\nholdMaxMs = 1000\n"+
		"graceStopMs = 50\nretryMs = 1300\nremoteFactor = 1.5\n[platform]\naddress = \"%s:%d\"\n", s.address(kindStore, 0), portStore)
}

// limits returns the limits in the settings of each process.
func (s *Site) limits() string {
	memory := s.cfg.MemoryMB
	if memory == 0 {
		memory = defaultMemoryMB
	}
	text := fmt.Sprintf("[limits]\nmemoryMb = %d\n", memory)
	if s.cfg.Descriptors > 0 {
		text += fmt.Sprintf("maxFds = %d\n", s.cfg.Descriptors)
	}
	return text
}

// Address returns the address of the VM of a process of the site. It is not valid for any other.
func (s *Site) Address(p *cluster.Process) netip.Addr {
	for kind, processes := range [][]*cluster.Process{kindEntry: s.Entries, kindAgent: s.Agents} {
		if i := slices.Index(processes, p); i >= 0 {
			return netip.MustParseAddr(s.address(kind, i))
		}
	}
	return netip.Addr{}
}

// SideAddresses returns the addresses at which the processes of the site serve others than callers.
func (s *Site) SideAddresses() []string {
	var list []string
	for _, kind := range []struct {
		kind, count int
		ports       []int
	}{
		{kindEntry, len(s.Entries), []int{portReadiness, portInternal, daemon.MetricsPort}},
		{kindAgent, len(s.Agents), []int{portControl, portInternal, daemon.MetricsPort}},
	} {
		for i := range kind.count {
			for _, port := range kind.ports {
				list = append(list, fmt.Sprintf("%s:%d", s.address(kind.kind, i), port))
			}
		}
	}
	return list
}

// CallerAddress returns the address at which an entry accepts jobs.
func (s *Site) CallerAddress(entry int) string {
	return fmt.Sprintf("%s:%d", s.address(kindEntry, entry), portCallers)
}

// readyTimeout is how long the platform waits for the answer of a readiness check.
const readyTimeout = time.Second

// Ready reports whether an entry is ready, so that the platform may send callers to it.
func (s *Site) Ready(entry int) bool {
	client := http.Client{Timeout: readyTimeout}
	defer client.CloseIdleConnections()
	res, err := client.Get(fmt.Sprintf("http://%s:%d/ready", s.address(kindEntry, entry), portReadiness))
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// Close kills the processes of the site and closes its servers.
func (s *Site) Close() {
	var wait sync.WaitGroup
	for _, p := range append(append([]*cluster.Process{}, s.Entries...), s.Agents...) {
		wait.Go(func() {
			_ = p.Resume() // it may be paused or have ended
			_ = p.Kill()
		})
	}
	wait.Wait()
	s.stop()
	for _, server := range s.servers {
		_ = server.Close()
	}
	slots <- s.slot
}

// Checks compares what the backend servers see with the guarantees of the system.
type Checks struct {
	mu         sync.Mutex
	live       map[work.Task]int
	violations []string
	starts     int
	done       map[work.Task]bool
	began      map[work.JobID]bool
}

// NewChecks returns checks without any records.
func NewChecks() *Checks {
	return &Checks{live: map[work.Task]int{}, done: map[work.Task]bool{}, began: map[work.JobID]bool{}}
}

// Fail records the violation of a guarantee.
func (c *Checks) Fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Violations returns the violations that were recorded, with their times.
func (c *Checks) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns how many runs have started.
func (c *Checks) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Done returns how many of the first n tasks of a job's only step have ended
// successfully.
func (c *Checks) Done(job work.JobID, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := 0
	for i := range n {
		if c.done[work.Task{Job: job, Index: i}] {
			done++
		}
	}
	return done
}

// Began reports whether any task of the job has started.
func (c *Checks) Began(job work.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.began[job]
}

// watcher records the runs of one backend server in the checks.
type watcher struct {
	checks  *Checks
	backend int
	// capacityCheck returns an error if the runs on the backend server exceed its capacity.
	capacityCheck func() error
}

// Began implements runserver.Watcher.
func (w *watcher) Began(_ time.Duration, r work.Run) {
	c := w.checks
	c.mu.Lock()
	c.live[r.Task]++
	c.starts++
	c.began[r.Task.Job] = true
	twice := c.live[r.Task] > 1
	c.mu.Unlock()
	if twice {
		c.Fail("task %v runs twice at once; the newest run is on backend server %d", r, w.backend)
	}
	if err := w.capacityCheck(); err != nil {
		c.Fail("%v starts on backend server %d: %v", r, w.backend, err)
	}
}

// Ended implements runserver.Watcher.
func (w *watcher) Ended(_ time.Duration, r work.Run, how run.End) {
	c := w.checks
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live[r.Task]--
	if how == run.EndDone {
		c.done[r.Task] = true
	}
}
