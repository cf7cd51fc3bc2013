package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// The backend server's interface.
const (
	// PathAnnounce is where a backend server announces itself to its agent.
	PathAnnounce = "/v1/announce"
	// pathRun is where a backend server takes a task.
	pathRun     = "/run"
	headerTeam  = "Dock-Team"
	headerJob   = "Dock-Job"
	headerIndex = "Dock-Index"
	// headerNotStarted with the value true on a 503 is the backend server's
	// promise that it has not started the task.
	headerNotStarted = "Dock-Not-Started"
)

// Bounds on what a backend server may say.
const (
	maxAnnouncement = 64 << 10
	maxResult       = 1 << 20
	maxServices     = 64
	maxSlots        = 4096
)

// Announcement is the body of an announcement. A backend server repeats it about
// once a second; one that says zero slots takes itself out of service.
type Announcement struct {
	Services    []ident.Service `json:"services"`
	Address     string          `json:"address"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
}

// backend sends tasks to the backend server, each once.
type backend struct {
	gate *gateDuty

	mu      sync.Mutex
	address string
	heard   time.Duration
	last    Announcement
	client  *http.Client
}

func newBackend(g *gateDuty) *backend { return &backend{gate: g} }

// handler takes announcements on the local listener.
func (b *backend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, b.serveAnnounce)
	return mux
}

// LocalHandler takes the announcements of the backend server.
func (a *Agent) LocalHandler() http.Handler { return a.gate.backend.handler() }

func (b *backend) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var n Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		http.Error(w, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := n.check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.accept(n)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Announcement) check() error {
	switch {
	case n.Slots < 0 || n.Slots > maxSlots:
		return fmt.Errorf("slots must be from 0 to %d, not %d", maxSlots, n.Slots)
	case n.Connections < 1 || n.Connections > maxSlots:
		return fmt.Errorf("connections must be from 1 to %d, not %d", maxSlots, n.Connections)
	case len(n.Services) > maxServices:
		return fmt.Errorf("at most %d services, not %d", maxServices, len(n.Services))
	}
	if _, _, err := net.SplitHostPort(n.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	return nil
}

// accept applies an announcement. Slots never exceed connections, so waiting for
// a connection is waiting for a slot.
func (b *backend) accept(n Announcement) {
	b.mu.Lock()
	if b.client == nil || b.address != n.Address || b.last.Connections != n.Connections {
		b.client = newBackendClient(n.Connections)
	}
	b.address = n.Address
	b.heard = b.gate.agent.Now()
	b.last = n
	b.mu.Unlock()
	b.gate.box.Put(gate.SetBackend{Services: n.Services, Slots: min(n.Slots, n.Connections), Connections: n.Connections})
}

// newBackendClient returns a client that opens at most the given number of
// connections. HTTP/1.1 has one task on a connection at a time.
func newBackendClient(connections int) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// expire takes a silent backend server out of service.
func (b *backend) expire() {
	b.mu.Lock()
	silent := b.address != "" && b.last.Slots > 0 && b.gate.agent.Now()-b.heard > announceTimeout
	if silent {
		b.last.Slots = 0
	}
	b.mu.Unlock()
	if silent {
		b.gate.box.Put(gate.SetBackend{})
	}
}

// down takes the backend server out of service until it announces itself again.
func (b *backend) down() { b.gate.box.Put(gate.SetBackend{}) }

func (b *backend) target() (string, *http.Client) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address, b.client
}

// run sends one task and reports what became of it. The permit is checked once
// more here, since the process may have been paused since the gate decided.
func (b *backend) run(s gate.Send) {
	a := b.gate.agent
	ctx, stop := context.WithTimeout(context.Background(), s.Deadline-a.Now())
	defer stop()
	address, client := b.target()
	req, err := newRun(ctx, address, s)
	if err != nil || client == nil {
		b.gate.box.Put(gate.NotSent{Task: s.Task, Reason: job.ReasonCannotRun})
		return
	}
	if !b.gate.inService() {
		b.gate.box.Put(gate.NotSent{Task: s.Task, Reason: job.ReasonNoPermit})
		return
	}
	resp, err := client.Do(req)
	if isDial(err) {
		b.down()
		b.gate.box.Put(gate.NotSent{Task: s.Task, Reason: job.ReasonWorkerFailing})
		return
	}
	if err == nil && isNotStarted(resp) {
		_ = resp.Body.Close()
		b.gate.box.Put(gate.NotSent{Task: s.Task, Reason: job.ReasonWorkerFailing})
		return
	}
	b.gate.box.Put(outcome(s, resp, err))
}

// isNotStarted reports whether the backend server promises that it has not
// started the task and never will, so that it may go elsewhere.
func isNotStarted(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotStarted) == "true"
}

func newRun(ctx context.Context, address string, s gate.Send) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathRun, bytes.NewReader(s.Payload))
	if err != nil {
		return nil, fmt.Errorf("task %s: %w", s.Task, err)
	}
	req.Header.Set(headerTeam, string(s.Task.Job.Team))
	req.Header.Set(headerJob, s.Task.Job.Key)
	req.Header.Set(headerIndex, strconv.Itoa(s.Task.Index))
	return req, nil
}

// isDial reports whether no connection could be made, so that nothing was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isOwn reports whether an answer names the task it was given for. A backend
// server repeats the three headers of the task, so that an answer which it gives
// to the wrong request is noticed.
func isOwn(h http.Header, s gate.Send) bool {
	return h.Get(headerTeam) == string(s.Task.Job.Team) &&
		h.Get(headerJob) == s.Task.Job.Key &&
		h.Get(headerIndex) == strconv.Itoa(s.Task.Index)
}

// outcome reads the answer of the backend server. Anything but a whole answer
// with status 200 means that the task ran without a usable result.
func outcome(s gate.Send, resp *http.Response, err error) gate.Finished {
	if err != nil {
		return gate.Finished{Task: s.Task, Detail: "no answer from the backend server: " + err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResult+1))
	switch {
	case err != nil:
		return gate.Finished{Task: s.Task, Detail: "the answer broke off: " + err.Error()}
	case len(body) > maxResult:
		return gate.Finished{Task: s.Task, Detail: "the answer is too long"}
	case !isOwn(resp.Header, s):
		return gate.Finished{Task: s.Task, Detail: "the answer does not name this task"}
	case resp.StatusCode != http.StatusOK:
		return gate.Finished{Task: s.Task, Detail: fmt.Sprintf("the backend server answered %d", resp.StatusCode)}
	}
	return gate.Finished{Task: s.Task, OK: true, Body: body}
}
