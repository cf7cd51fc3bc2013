// Package usersite has stand-ins for what the users' platform puts around the
// system, on loopback: the metadata store, backend servers that report to the agent
// on their VM, and the settings files of processes. Its faults can be set while it
// runs. It speaks the wire of the users' pages, so its names are theirs.
package usersite

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Rows is the metadata store.
type Rows struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	// forgotten is the version up to which the history is gone.
	forgotten uint64
	version   uint64
	changed   chan struct{}
	fault     StoreFault
}

// StoreFault is what is wrong with the store.
type StoreFault int

// The faults of the store.
const (
	StoreSound StoreFault = iota
	// StoreBusy answers 503 to everything.
	StoreBusy
	// StoreSilent answers nothing.
	StoreSilent
	// StoreLosing carries out writes and loses their answers.
	StoreLosing
)

type rowKey struct{ table, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// SetFault sets what is wrong from now on.
func (s *Rows) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Forget drops the history, so that those who follow it have to read again.
func (s *Rows) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.history = nil
	s.wake()
}

func (s *Rows) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as an operator does. A nil value removes it.
func (s *Rows) Put(table, key string, value any) error {
	if value == nil {
		s.commit([]row{{Table: table, Key: key, Deleted: true}})
		return nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.commit([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text)}})
	return nil
}

func (s *Rows) commit(rows []row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, r := range rows {
		r.Version = s.version
		key := rowKey{r.Table, r.Key}
		if r.Deleted {
			delete(s.rows, key)
		} else {
			s.rows[key] = r
		}
		s.history = append(s.history, r)
	}
	s.wake()
	return s.version
}

// ServeHTTP serves the calls of the store.
func (s *Rows) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch {
	case fault == StoreBusy:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case fault == StoreSilent:
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/rows-get":
		s.serveGet(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	case "/rows-tx":
		s.serveTx(w, r, fault == StoreLosing)
	default:
		http.NotFound(w, r)
	}
}

// page is an answer with rows.
type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
}

func (s *Rows) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	s.mu.Lock()
	answer := page{Version: s.version}
	for key, row := range s.rows {
		if key.table == q.Get("table") && key.key >= q.Get("from") {
			answer.Rows = append(answer.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Rows) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and waitMs are numbers", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		answer, changed, gone := s.since(q.Get("table"), after)
		if gone {
			http.Error(w, "history dropped", http.StatusGone)
			return
		}
		if len(answer.Rows) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns what changed after a version, and a channel that is closed by the
// next change.
func (s *Rows) since(table string, after uint64) (answer page, changed chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return page{}, nil, true
	}
	answer.Version = s.version
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			answer.Rows = append(answer.Rows, r)
		}
	}
	return answer, s.changed, false
}

func (s *Rows) serveTx(w http.ResponseWriter, r *http.Request, lose bool) {
	var body struct {
		Puts []row `json:"puts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, p := range body.Puts {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "the system may not write here", http.StatusForbidden)
			return
		}
	}
	version := s.commit(body.Puts)
	if lose {
		<-r.Context().Done()
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"rowVersion": version})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
