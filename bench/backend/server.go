// Package backend is a stand-in for a backend server of the older path of the
// system. It runs tasks by waiting for the run time in their payload, records
// every start in a ledger, announces itself to its agent, and has faults that can
// be set while it runs. Packages runserver and usersite are the stand-in for the
// users' backend servers, whose runs are covered by a lease.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"foxtaildock.example/bench/httpjson"
	"foxtaildock.example/dock/pause"
)

// Paths of the admin interface.
const (
	// PathStarts takes GET of Starts; "?all=1" adds the list of all starts.
	PathStarts = "/starts"
	// PathFaults takes GET and PUT of Faults.
	PathFaults = "/admin/faults"
)

// maxPayloadBytes bounds the payload of one task.
const maxPayloadBytes = 1 << 20

// Options describes one backend server.
type Options struct {
	Name        string
	Domain      string
	Services    []string
	Slots       int
	Connections int
	// LedgerFile receives every start; it may be nil.
	LedgerFile io.Writer
}

// Starts is the answer to PathStarts. Duplicates lists the tasks that were started
// more than once.
type Starts struct {
	Server         string   `json:"server"`
	Domain         string   `json:"domain"`
	Total          int      `json:"total"`
	Duplicates     []TaskID `json:"doubles,omitempty"`
	Running        int      `json:"running"`
	MaxRunning     int      `json:"max_running"`
	MaxConnections int      `json:"max_connections"`
	All            []Start  `json:"all,omitempty"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	opts    Options
	ledger  *Ledger
	faults  *faultState
	running gauge
	conns   gauge
	slots   chan struct{}
	mux     *http.ServeMux

	mu       sync.Mutex
	previous *Answer
}

// New returns a stand-in.
func New(opts Options) *Server {
	s := &Server{
		opts:   opts,
		ledger: NewLedger(opts.LedgerFile),
		faults: newFaultState(),
		slots:  make(chan struct{}, opts.Slots),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("POST "+PathRun, s.run)
	s.mux.HandleFunc("GET "+PathStarts, s.getStarts)
	s.mux.HandleFunc("GET "+PathFaults, s.getFaults)
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	return s
}

// ServeHTTP serves tasks and the admin interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// ConnState counts open connections. Set it as the ConnState hook of the http.Server.
func (s *Server) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.add(-1)
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Starts returns the current counts, and the list of all starts if all is set.
func (s *Server) Starts(all bool) Starts {
	starts := s.ledger.Since(time.Time{})
	running, maxRunning := s.running.read()
	_, maxConns := s.conns.read()
	out := Starts{
		Server:         s.opts.Name,
		Domain:         s.opts.Domain,
		Total:          len(starts),
		Duplicates:     Duplicates(starts),
		Running:        running,
		MaxRunning:     maxRunning,
		MaxConnections: maxConns,
	}
	if all {
		out.All = starts
	}
	return out
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id, payload, err := parse(r)
	if err != nil {
		notStarted(w, http.StatusBadRequest, err.Error())
		return
	}
	faults, _ := s.faults.get()
	if faults.Refuse {
		notStarted(w, http.StatusServiceUnavailable, "refused")
		return
	}
	start := Start{TaskID: id, AtUnixMS: time.Now().UnixMilli(), Server: s.opts.Name, Domain: s.opts.Domain}
	if err := s.ledger.Add(start); err != nil {
		notStarted(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	ok := s.execute(r.Context(), payload)
	faults, _ = s.faults.get()
	if !ok || payload.Fail || faults.Fail {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	pause.For(r.Context(), time.Duration(faults.LateMS)*time.Millisecond)
	s.answer(w, id, payload, faults)
}

// parse reads the task from the headers and the body.
func parse(r *http.Request) (TaskID, Payload, error) {
	var payload Payload
	index, err := strconv.Atoi(r.Header.Get(HeaderIndex))
	if err != nil {
		return TaskID{}, payload, fmt.Errorf("header %s: %w", HeaderIndex, err)
	}
	id := TaskID{Team: r.Header.Get(HeaderTeam), Job: r.Header.Get(HeaderJob), Index: index}
	if id.Team == "" || id.Job == "" {
		return id, payload, fmt.Errorf("headers %s and %s must be set", HeaderTeam, HeaderJob)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPayloadBytes))
	if err != nil {
		return id, payload, err
	}
	if len(body) > 0 {
		err = json.Unmarshal(body, &payload)
	}
	return id, payload, err
}

func notStarted(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotStarted, "true")
	http.Error(w, reason, status)
}

// execute occupies a slot for the run time of the task, even if the caller disconnects
// meanwhile. It returns false if the task failed or got no slot.
func (s *Server) execute(ctx context.Context, payload Payload) bool {
	s.running.add(1)
	defer s.running.add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.slots }()
	faults, _ := s.faults.get()
	if faults.Fail {
		return false
	}
	pause.For(context.WithoutCancel(ctx), faults.runTime(payload))
	return s.awaitUnfrozen(ctx)
}

// awaitUnfrozen waits until the server is not frozen. It returns false if the context
// ends first.
func (s *Server) awaitUnfrozen(ctx context.Context) bool {
	for {
		faults, changed := s.faults.get()
		if !faults.Freeze {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Server) answer(w http.ResponseWriter, id TaskID, payload Payload, faults Faults) {
	own := Answer{Team: id.Team, Job: id.Job, Index: id.Index, Echo: payload.Echo, Server: s.opts.Name}
	sent := own
	if previous := s.swapPrevious(own); faults.PreviousAnswer && previous != nil {
		sent = *previous
	}
	if faults.DuplicateAnswers && answerTwice(w, sent) {
		return
	}
	setHeaders(w.Header(), sent)
	httpjson.Write(w, http.StatusOK, sent)
}

func setHeaders(h http.Header, a Answer) {
	h.Set(HeaderTeam, a.Team)
	h.Set(HeaderJob, a.Job)
	h.Set(HeaderIndex, strconv.Itoa(a.Index))
}

// swapPrevious stores this answer as the previous one, and returns the one before it.
func (s *Server) swapPrevious(a Answer) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previous
	s.previous = &a
	return previous
}

// answerTwice writes the same answer two times to the raw connection. It returns false
// if nothing was written.
func answerTwice(w http.ResponseWriter, a Answer) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	head := make(http.Header)
	setHeaders(head, a)
	for range 2 {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", len(body))
		_ = head.Write(conn)
		_, _ = fmt.Fprintf(conn, "\r\n%s", body)
	}
	return true
}

func (s *Server) getStarts(w http.ResponseWriter, r *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Starts(r.URL.Query().Get("all") == "1"))
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	faults, _ := s.faults.get()
	httpjson.Write(w, http.StatusOK, faults)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpjson.Read(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	httpjson.Write(w, http.StatusOK, faults)
}
