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

// The HTTP interface between the agent and its backend server.
const (
	// PathAnnounce is the path at the agent where the backend server announces
	// itself.
	PathAnnounce = "/v1/announce"
	// pathRun is the path at the backend server that runs a task.
	pathRun     = "/run"
	headerTeam  = "Dock-Team"
	headerJob   = "Dock-Job"
	headerIndex = "Dock-Index"
	// headerNotStarted with the value true on a 503 answer guarantees that the
	// backend server has not started the task and will not.
	headerNotStarted = "Dock-Not-Started"
)

// Limits on announcements and answers of a backend server.
const (
	maxAnnouncement = 64 << 10 // bytes
	maxResult       = 1 << 20  // bytes
	maxServices     = 64
	maxSlots        = 4096
)

// Announcement is the JSON body of a backend server's announcement. A backend
// server repeats it about once a second. Zero slots takes it out of service.
type Announcement struct {
	Services    []ident.Service `json:"services"`
	Address     string          `json:"address"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
}

// backend sends tasks to the backend server, each once, and tracks its
// announcements.
type backend struct {
	gate *gateLoop

	mu          sync.Mutex
	address     string
	announcedAt time.Duration // on the agent's clock
	announced   Announcement
	client      *http.Client
}

func newBackend(g *gateLoop) *backend { return &backend{gate: g} }

// handler returns the handler of announcements on the local listener.
func (b *backend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, b.serveAnnounce)
	return mux
}

// LocalHandler returns the HTTP handler that receives the announcements of the
// backend server.
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

// accept applies an announcement. The gate gets no more slots than there are
// connections, so a started task never waits for a connection: all waiting for
// connections is done in the gate's queue, as waiting for a slot.
func (b *backend) accept(n Announcement) {
	b.mu.Lock()
	if b.client == nil || b.address != n.Address || b.announced.Connections != n.Connections {
		b.client = newBackendClient(n.Connections)
	}
	b.address = n.Address
	b.announcedAt = b.gate.agent.Now()
	b.announced = n
	b.mu.Unlock()
	b.gate.box.Put(gate.SetBackend{Services: n.Services, Slots: min(n.Slots, n.Connections), Connections: n.Connections})
}

// newBackendClient returns a client that opens at most the given number of
// connections. With HTTP/1.1 a connection carries one task at a time.
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

// expire takes the backend server out of service if it has not announced itself
// for longer than announceTimeout.
func (b *backend) expire() {
	b.mu.Lock()
	silent := b.address != "" && b.announced.Slots > 0 && b.gate.agent.Now()-b.announcedAt > announceTimeout
	if silent {
		b.announced.Slots = 0
	}
	b.mu.Unlock()
	if silent {
		b.gate.box.Put(gate.SetBackend{})
	}
}

// markDown takes the backend server out of service until it announces itself
// again.
func (b *backend) markDown() { b.gate.box.Put(gate.SetBackend{}) }

func (b *backend) target() (string, *http.Client) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address, b.client
}

// run sends one task to the backend server and reports the result to the gate.
// The permit is checked again here, since the process may have been paused
// after the gate's decision.
func (b *backend) run(s gate.Send) {
	a := b.gate.agent
	ctx, stop := context.WithTimeout(context.Background(), s.Deadline-a.Now())
	defer stop()
	address, client := b.target()
	req, err := newRunRequest(ctx, address, s)
	if err != nil || client == nil {
		b.gate.box.Put(gate.NotSent{Task: s.Task, Reason: job.ReasonCannotRun})
		return
	}
	if !b.gate.inService() {
		b.gate.box.Put(gate.NotSent{Task: s.Task, Reason: job.ReasonNoPermit})
		return
	}
	resp, err := client.Do(req)
	if isDialError(err) {
		b.markDown()
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

// isNotStarted reports whether the backend server guarantees that it has not
// started the task and never will, so that the task may be sent to another
// agent.
func isNotStarted(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotStarted) == "true"
}

func newRunRequest(ctx context.Context, address string, s gate.Send) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathRun, bytes.NewReader(s.Payload))
	if err != nil {
		return nil, fmt.Errorf("task %s: %w", s.Task, err)
	}
	req.Header.Set(headerTeam, string(s.Task.Job.Team))
	req.Header.Set(headerJob, s.Task.Job.Key)
	req.Header.Set(headerIndex, strconv.Itoa(s.Task.Index))
	return req, nil
}

// isDialError reports whether the error means that no connection was made, so
// that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// namesTask reports whether an answer names the task that was sent. A backend
// server repeats the three headers of the task in its answer, so that an answer
// given to the wrong request is detected.
func namesTask(h http.Header, s gate.Send) bool {
	return h.Get(headerTeam) == string(s.Task.Job.Team) &&
		h.Get(headerJob) == s.Task.Job.Key &&
		h.Get(headerIndex) == strconv.Itoa(s.Task.Index)
}

// outcome reads the answer of the backend server. Anything but a complete
// answer to this task with status 200 counts as a task that ran without a
// usable result.
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
	case !namesTask(resp.Header, s):
		return gate.Finished{Task: s.Task, Detail: "the answer does not name this task"}
	case resp.StatusCode != http.StatusOK:
		return gate.Finished{Task: s.Task, Detail: fmt.Sprintf("the backend server answered %d", resp.StatusCode)}
	}
	return gate.Finished{Task: s.Task, OK: true, Body: body}
}
