package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host    = "queue.example"
	queue   = "/q1/"
	service = "service-a"
)

// Ports of every machine.
const (
	portCallers   = 24161
	portReadiness = 24167
	portControl   = 24166
	portApp       = 24165
	portInternal  = 24720
	portStore     = 24169
)

var zones = []string{"lulea", "umea", "sundsvall"}

// process is one process of the system.
type process struct {
	site      *site
	role      string
	name      string
	command   []string
	settings  string
	log       *os.File
	callers   string
	readiness string
	control   string
	store     string // the address at which it reaches the store

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

// site is a small deployment: entries, agents, one executor beside each agent, the store.
type site struct {
	dir       string
	block     string // first three numbers of its loopback addresses
	rec       *recorder
	store     *store
	entries   []*process
	agents    []*process
	executors []*executor
	stop      context.CancelFunc

	servers []*http.Server

	mu   sync.Mutex
	jobs map[string]*jobSpec
}

// address returns the loopback address of a machine.
func (s *site) address(n int) string { return s.block + strconv.Itoa(n) }

// freeBlock returns a block of loopback addresses whose ports are free.
func freeBlock() (string, error) {
	pid := os.Getpid()
	for i := range 50 {
		block := fmt.Sprintf("127.%d.%d.", 20+(pid/250+i)%200, 1+pid%250)
		l, err := net.Listen("tcp", net.JoinHostPort(block+"200", strconv.Itoa(portStore)))
		if err == nil {
			_ = l.Close()
			return block, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// newSite starts a deployment. Executor i is of kind kinds[i].
func newSite(dir string, rec *recorder, entries int, kinds []kind) (*site, error) {
	block, err := freeBlock()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &site{dir: dir, block: block, rec: rec, store: newStore(), stop: stop, jobs: map[string]*jobSpec{}}
	s.store.put("op", "config", manifest(1, service))
	for i := range entries {
		s.entries = append(s.entries, s.newProcess("entry", i, 10+i))
	}
	for i := range kinds {
		s.agents = append(s.agents, s.newProcess("agent", i, 100+i))
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := s.serve(p.store, s.store.handler(p.store)); err != nil {
			return s, err
		}
	}
	for i, k := range kinds {
		app := net.JoinHostPort(s.address(100+i), strconv.Itoa(portApp))
		e := newExecutor(s, i, zones[i%len(zones)], app, s.agents[i].control, k)
		s.executors = append(s.executors, e)
		if err := e.listen(); err != nil {
			return s, err
		}
		go e.run(ctx)
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := p.start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// manifest is the operator's manifest with the queues /q1/ (priority 0), /q2/ and /q3/.
func manifest(version int, service string) any {
	routes := []map[string]any{}
	for priority, prefix := range []string{"/q1/", "/q2/", "/q3/"} {
		routes = append(routes, map[string]any{
			"name": "route" + strconv.Itoa(priority), "host": host, wire.Prefix: prefix, "kind": "unsafe", "timeoutMs": 30000,
			"targetLatencyMs": 60, "priority": priority, "service": service, "attempts": 3, "stretch": 1.6,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": service}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func (s *site) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // returns after Close
	return nil
}

// command returns the words of a role in the deploy file.
func command(role string) ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	section := ""
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = line
		}
		if value, found := strings.CutPrefix(line, "run = "); found && section == "[roles."+role+"]" {
			words := strings.Fields(strings.Trim(value, `"`))
			return words, nil
		}
	}
	return nil, fmt.Errorf("deploy file: no role %s", role)
}

func (s *site) newProcess(role string, i, n int) *process {
	ip := s.address(n)
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	p := &process{
		site: s, role: role, name: fmt.Sprintf("%s-%d", role, i), settings: filepath.Join(s.dir, fmt.Sprintf("%s-%d.toml", role, i)),
		callers: at(portCallers), readiness: at(portReadiness), control: at(portControl), store: at(portStore),
	}
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, settingsFields{
		Name: p.name, Role: role, IP: ip, Zone: zones[i%len(zones)], Internal: portInternal, LastInternal: portInternal + 15,
		Seeds: []string{net.JoinHostPort(s.address(10), strconv.Itoa(portControl)), net.JoinHostPort(s.address(11), strconv.Itoa(portControl))},
		App:   at(portApp), Control: p.control, Callers: p.callers, Readiness: p.readiness, Store: p.store,
	})
	if err != nil {
		panic(err) // the template is a part of this program
	}
	if err := os.WriteFile(p.settings, text.Bytes(), 0o600); err != nil {
		panic(err)
	}
	return p
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	words, err := command(p.role)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.site.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILDOCK_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.end = cmd, make(chan struct{})
	started.Store(cmd.Process.Pid, cmd.Process)
	end := p.end
	go func() {
		err := cmd.Wait()
		started.Delete(cmd.Process.Pid)
		_ = log.Close()
		p.site.rec.logf("process %s has ended: %v", p.name, err)
		close(end)
	}()
	p.site.rec.logf("process %s started", p.name)
	return nil
}

// started holds the processes that run, by their ids.
var started sync.Map

// killAll kills all processes that were started and still run.
func killAll() {
	started.Range(func(_, process any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.site.rec.logf("signal %v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) wait(d time.Duration) bool {
	select {
	case <-p.end:
		return true
	case <-time.After(d):
		return false
	}
}

// close ends all processes of the site and its servers.
func (s *site) close() {
	s.stop()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.executors {
		e.crash()
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
		if p.end != nil {
			p.wait(2 * time.Second)
		}
	}
}

func (s *site) register(j *jobSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
}

func (s *site) jobOf(task string) (*jobSpec, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	step, _ := strconv.Atoi(parts[2])
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[parts[0]]
	if j == nil || step >= len(j.steps) {
		return nil, 0
	}
	return j, step
}

func (s *site) taskOf(task string) taskInfo {
	j, step := s.jobOf(task)
	if j == nil {
		return taskInfo{length: time.Second}
	}
	st := j.steps[step]
	return taskInfo{cpu: st.cpu, length: st.length, fails: st.fails}
}

// awaitReady waits until all entries are ready and a small job has run at each.
func (s *site) awaitReady(ctx context.Context) error {
	until := time.Now().Add(20 * time.Second)
	for i := range s.entries {
		for n := 0; ; n++ {
			if time.Now().After(until) {
				return fmt.Errorf("entry %d doesn't serve jobs", i)
			}
			if s.ready(i) {
				j := &jobSpec{id: fmt.Sprintf("%016x", 0xaa0000+i*1000+n), queue: queue, spec: "probe", steps: []step{{count: 4, cpu: 1000, estimate: 50 * time.Millisecond, length: 50 * time.Millisecond}}}
				if a := s.submit(ctx, i, j, 1500*time.Millisecond); a.status == 200 && a.state == "completed" {
					break
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	return nil
}
