package main

import (
	"bytes"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// The names of the site.
const (
	service = "atelier-desk"
	host    = "site.example"
	prefix  = "/quotes/"
)

var zones = []string{"thies", "dakar", "mbour"}

// site is a small deployment: entries and agents as separate processes, each on a loopback
// address of its own, and the stand-ins in this process.
type site struct {
	rec       *recorder
	dir       string
	net       string // first three numbers of the addresses
	ports     map[string]int
	store     *store
	entries   []*process
	agents    []*process
	executors []*executor
	stop      context.CancelFunc
	closers   []io.Closer
}

// process is one process of the system.
type process struct {
	name, role, ip, settings, log string
	program                       []string
	cmd                           *exec.Cmd
	ended                         chan struct{}
	rec                           *recorder
}

// running are the processes of the system that this program has started.
type running struct {
	mu   sync.Mutex
	list map[*os.Process]bool
	dir  string // the temporary folder
}

var started = &running{list: map[*os.Process]bool{}}

func (r *running) add(p *os.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list[p] = true
}

func (r *running) remove(p *os.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.list, p)
}

// endAll kills all processes. No other is started after that.
func (r *running) endAll() {
	r.mu.Lock()
	for p := range r.list {
		_ = p.Kill()
	}
	_ = os.RemoveAll(r.dir)
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.program[0], p.program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settingsVariable"] + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	started.add(cmd.Process)
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); started.remove(cmd.Process); close(ended) }()
	p.cmd, p.ended = cmd, ended
	p.rec.add("process %s started", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rec.add("process %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace
// period.
func (p *process) terminate(grace time.Duration) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	p.rec.add("process %s ended", p.name)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// roleCommand returns the command of a role, from the deploy file.
func roleCommand(role string) ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	_, section, found := strings.Cut(string(text), "[roles."+role+"]")
	if !found {
		return nil, fmt.Errorf("no role %s", role)
	}
	for _, line := range strings.Split(section, "\n") {
		if run, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(run, `"`)), nil
		}
	}
	return nil, fmt.Errorf("role %s has no command", role)
}

func (s *site) address(kind, index int) string { return fmt.Sprintf("%s.%d", s.net, 1+kind*100+index) }

func (s *site) at(ip, port string) string { return fmt.Sprintf("%s:%d", ip, s.ports[port]) }

// chooseAddresses chooses a loopback network and ports that are free.
func (s *site) chooseAddresses(count int) error {
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		base := 20000 + 20*rand.IntN(500)
		s.ports = map[string]int{"callers": base, "readiness": base + 1, "control": base + 2, "app": base + 3, "store": base + 4, "internal": base + 5, "last": base + 12, "metrics": 9464}
		if s.free(count) {
			return nil
		}
	}
	return errors.New("no free addresses")
}

func (s *site) free(count int) bool {
	for kind := range 3 {
		for i := range count {
			for _, port := range s.ports {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.address(kind, i), port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// newSite starts a site with so many entries, one zone after the other, and an agent with its
// executor in each of the zones of the list.
func newSite(rec *recorder, entries int, agentZones []string) (*site, error) {
	agents := len(agentZones)
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	started.dir = dir
	ctx, stop := context.WithCancel(context.Background())
	s := &site{rec: rec, dir: dir, store: newStore(), stop: stop}
	if err := s.chooseAddresses(max(entries, agents)); err != nil {
		return s, err
	}
	s.store.put("op", "config", manifest(1))
	storeAddress := s.at(s.address(2, 0), "store")
	if err := s.serve(storeAddress, s.store); err != nil {
		return s, err
	}
	var seeds []string
	for i := range min(3, entries) {
		seeds = append(seeds, fmt.Sprintf("%q", s.at(s.address(0, i), "control")))
	}
	for i := range agents {
		ip := s.address(1, i)
		x := newExecutor(fmt.Sprintf("i-%08x", rand.Uint32()), agentZones[i], fmt.Sprintf("r%d", i/3), s.at(ip, "app"), s.at(ip, "control"), rec)
		s.executors = append(s.executors, x)
		if err := x.listen(); err != nil {
			return s, err
		}
		go x.run(ctx)
	}
	add := func(role, class string, kind, i int, zone string) (*process, error) {
		command, err := roleCommand(role)
		if err != nil {
			return nil, err
		}
		p := &process{name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: s.address(kind, i), program: command, rec: rec}
		p.settings, p.log = filepath.Join(dir, p.name+".toml"), filepath.Join(dir, p.name+".log")
		fields := map[string]any{
			"Name": p.name, "Role": role, "Class": class, "Serves": `["edge","control"]`, "IP": p.ip, "Zone": zone, "Seeds": strings.Join(seeds, ","),
			"Internal": s.ports["internal"], "InternalLast": s.ports["last"], "Control": s.ports["control"], "Callers": s.ports["callers"], "Readiness": s.ports["readiness"],
			"Store": storeAddress, "App": "",
		}
		if role == "agent" {
			fields["Serves"], fields["App"] = `["side"]`, s.at(p.ip, "app")
		}
		var text bytes.Buffer
		if err := settingsTemplate.Execute(&text, fields); err != nil {
			return nil, err
		}
		if err := os.WriteFile(p.settings, text.Bytes(), 0o600); err != nil {
			return nil, err
		}
		return p, p.start()
	}
	for i := range entries {
		p, err := add("entry", "edge", 0, i, zones[i%3])
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, p)
	}
	for i := range agents {
		p, err := add("agent", "side", 1, i, agentZones[i])
		if err != nil {
			return s, err
		}
		s.agents = append(s.agents, p)
	}
	return s, nil
}

func (s *site) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	s.closers = append(s.closers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// close ends all processes and removes the temporary folder. keep leaves the logs there.
func (s *site) close(keep bool) {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	s.stop()
	for _, c := range s.closers {
		_ = c.Close()
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// manifest returns the operator's manifest: one queue for jobs of short and of long tasks.
func manifest(version int) map[string]any {
	route := func(name, p string, priority, timeout int) map[string]any {
		return map[string]any{"name": name, "host": host, names["prefix"]: p, "kind": "unsafe", "timeoutMs": timeout, "targetLatencyMs": 60, "priority": priority, "service": service, "attempts": 4, "stretch": 1.6}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-quotes", prefix, 0, 20000), route("r-checks", "/checks/", 1, 1500)},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "preconditions": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// ready reports whether the balancer's check of an entry succeeds.
func (s *site) ready(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.at(p.ip, "readiness")+"/ready", nil)
	if err != nil {
		return false
	}
	res, err := freshClient().Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (s *site) awaitReady(p *process, limit time.Duration) error {
	for began := now(); now()-began < limit; time.Sleep(50 * time.Millisecond) {
		if s.ready(p) {
			s.rec.add("process %s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready within %v", p.name, limit)
}

func freshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// spread returns n zones in turn.
func spread(n int) []string {
	var list []string
	for i := range n {
		list = append(list, zones[i%len(zones)])
	}
	return list
}

// allRuns returns the runs of all executors.
func (s *site) allRuns() []runState {
	var list []runState
	for _, x := range s.executors {
		list = append(list, x.runs()...)
	}
	return list
}
