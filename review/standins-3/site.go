package main

import (
	"bytes"
	"context"
	_ "embed"
	"errors"
	"fmt"
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

//go:embed manifest.json
var manifestText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// Ports of each machine. Every machine has a loopback address of its own.
const (
	portFront   = 8161
	portReady   = 8167
	portControl = 8166
	portApp     = 8165
	portStore   = 8169
)

// SiteConfig describes a small deployment.
type SiteConfig struct {
	Entries, Servers int
	CPU              int64 // of each server, in thousandths of a core
	Work             func(spec string) time.Duration
}

// Site is a small deployment: the project's own processes, and the stand-ins of the platform and of
// the backend servers.
type Site struct {
	cfg     SiteConfig
	Log     *Record
	Store   *Store
	Servers []*Server
	Entries []*Process
	Agents  []*Process
	dir     string
	net     int // second number of the addresses
	net3    int
	stop    context.CancelFunc
	https   []*http.Server
}

var zones = []string{"lulea", "umea", "sundsvall"}

// Process is a process of the project.
type Process struct {
	site     *Site
	name     string
	role     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// StartSite starts a deployment and waits until its entries are ready.
func StartSite(cfg SiteConfig, log *Record) (*Site, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Site{cfg: cfg, Log: log, Store: NewStore(), dir: dir, stop: stop}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, s.net3, 1+20*kind+i) }

func (s *Site) address(kind, i, port int) string { return fmt.Sprintf("%s:%d", s.ip(kind, i), port) }

const (
	kindStore = iota
	kindEntry
	kindServer
)

// start starts all parts at addresses that nobody uses.
func (s *Site) start(ctx context.Context) error {
	pid := os.Getpid()
	s.net, s.net3 = 64+(pid>>8)%128, 1+pid%250
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", s.address(kindStore, 0, portStore))
		if err == nil {
			s.serve(l, s.Store)
			break
		}
		if try > 50 {
			return err
		}
		s.net3 = 1 + (s.net3+7)%250
	}
	s.Store.PutJSON("config", manifestText)
	for i := range s.cfg.Servers {
		if err := s.addServer(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.cfg.Entries {
		p, err := s.process(fmt.Sprintf("edge-%d", i), "entry", kindEntry, i)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, p)
	}
	for i := range s.cfg.Servers {
		p, err := s.process(fmt.Sprintf("side-%d", i), "agent", kindServer, i)
		if err != nil {
			return err
		}
		s.Agents = append(s.Agents, p)
	}
	for i := range s.Entries {
		if err := s.AwaitReady(i, 20*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second) // traffic starts when all have found each other
	return nil
}

func (s *Site) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	s.https = append(s.https, server)
	go func() { _ = server.Serve(l) }()
}

func (s *Site) addServer(ctx context.Context, i int) error {
	server := NewServer(fmt.Sprintf("i-%08x", 0x7f3a0000+i), s.address(kindServer, i, portApp), s.address(kindServer, i, portControl),
		zones[i%len(zones)], s.cfg.CPU, s.Log, s.cfg.Work)
	l, err := net.Listen("tcp", s.address(kindServer, i, portApp))
	if err != nil {
		return err
	}
	s.serve(l, server)
	s.Servers = append(s.Servers, server)
	go server.Run(ctx)
	return nil
}

func (s *Site) process(name, role string, kind, i int) (*Process, error) {
	var seeds []string
	for e := range min(3, s.cfg.Entries) {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(kindEntry, e, portControl)))
	}
	data := map[string]any{
		"Name": name, "Role": role, "IP": s.ip(kind, i), "Zone": zones[i%len(zones)], "Seeds": strings.Join(seeds, ", "),
		"Control": s.address(kind, i, portControl), "Store": s.address(kindStore, 0, portStore),
		"Class": "edge", "MemoryMb": 284, "MaxFds": 4100, "App": "", "Front": s.address(kind, i, portFront), "Ready": s.address(kind, i, portReady),
	}
	if kind == kindServer {
		data["Class"], data["MemoryMb"], data["MaxFds"], data["App"], data["Front"] = "side", 152, 4096, s.address(kind, i, portApp), ""
	}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, data); err != nil {
		return nil, err
	}
	p := &Process{site: s, name: name, role: role, settings: filepath.Join(s.dir, name+".toml")}
	if err := os.WriteFile(p.settings, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	return p, p.Start()
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.site.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command("target/foxtaildockd", p.role)
	p.cmd.Env = []string{"FOXTAILDOCK_NODE_FILE=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.site.Log.Note("signal %s gets %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// AwaitReady waits until an entry is ready.
func (s *Site) AwaitReady(entry int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + s.address(kindEntry, entry, portReady) + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("an entry doesn't get ready")
}

// Front returns the address of an entry for clients.
func (s *Site) Front(entry int) string { return s.address(kindEntry, entry, portFront) }

// Close ends all processes that were started.
func (s *Site) Close() {
	for _, p := range append(append([]*Process{}, s.Entries...), s.Agents...) {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		done := p.done
		p.mu.Unlock()
		if done != nil {
			<-done
		}
	}
	s.stop()
	for _, h := range s.https {
		_ = h.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}
