// Package usersite runs a site of real processes on loopback, with stand-ins for the
// users' platform: the metadata store, backend servers that report to the agent on
// their VM, and the settings files of processes. Faults can be set while it runs. It
// implements the users' wire interfaces, so paths and JSON fields have their names.
//
// Packages platformd and backend are the stand-ins for the older path of the system,
// and package sitesim models a site in simulated time, without processes.
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

// MetadataStore is a stand-in for the users' metadata store. It keeps versioned rows in
// tables.
type MetadataStore struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	// droppedUpTo is the version up to which the history was dropped.
	droppedUpTo uint64
	version     uint64
	changed     chan struct{}
	fault       StoreFault
}

// StoreFault is a fault of the store.
type StoreFault int

// Faults of the store.
const (
	// StoreHealthy is no fault.
	StoreHealthy StoreFault = iota
	// StoreBusy answers every call with 503.
	StoreBusy
	// StoreSilent answers no call.
	StoreSilent
	// StoreLosesAnswers executes writes but does not answer them.
	StoreLosesAnswers
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

// NewMetadataStore returns an empty store.
func NewMetadataStore() *MetadataStore {
	return &MetadataStore{rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// SetFault replaces the current fault.
func (s *MetadataStore) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory drops the history of changes, so that clients that follow it must read the
// rows again.
func (s *MetadataStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedUpTo = s.version
	s.history = nil
	s.notifyChanged()
}

func (s *MetadataStore) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as an operator does. A nil value deletes it. The error is that of
// encoding the value as JSON.
func (s *MetadataStore) Put(table, key string, value any) error {
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

func (s *MetadataStore) commit(rows []row) uint64 {
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
	s.notifyChanged()
	return s.version
}

// ServeHTTP serves the calls of the store.
func (s *MetadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		s.serveTx(w, r, fault == StoreLosesAnswers)
	default:
		http.NotFound(w, r)
	}
}

// page is the body of an answer with rows.
type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
}

func (s *MetadataStore) serveGet(w http.ResponseWriter, r *http.Request) {
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

func (s *MetadataStore) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		http.Error(w, "the parameters after and waitMs must be numbers", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		answer, changed, dropped := s.since(q.Get("table"), after)
		if dropped {
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

// since returns the changes after a version and a channel that is closed by the next
// change. dropped says that the history from that version on was dropped.
func (s *MetadataStore) since(table string, after uint64) (answer page, changed chan struct{}, dropped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo {
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

func (s *MetadataStore) serveTx(w http.ResponseWriter, r *http.Request, lose bool) {
	var body struct {
		Puts []row `json:"puts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, p := range body.Puts {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "the tables op and servers are read-only for the system", http.StatusForbidden)
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
