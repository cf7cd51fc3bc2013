package main

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

// Faults of the store towards one machine.
const (
	storeHealthy = iota
	storeBusy    // 503
	storeSilent  // no response
)

// row is a row of the platform's metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"-"`
	Deleted bool   `json:"deleted,omitempty"`
}

// message returns the row as the store sends it.
func (r row) message() map[string]any {
	m := map[string]any{"table": r.Table, "key": r.Key, wire.Version: r.Version}
	if r.Deleted {
		m["deleted"] = true
	} else {
		m["value"] = r.Value
	}
	return m
}

type page struct {
	rows    []row
	hasMore bool
	version uint64
	nowMs   int64
}

// message returns the page as the store sends it.
func (p page) message() map[string]any {
	rows := make([]map[string]any, len(p.rows))
	for i, r := range p.rows {
		rows[i] = r.message()
	}
	return map[string]any{"rows": rows, "hasMore": p.hasMore, wire.Version: p.version, "nowMs": p.nowMs}
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[[2]string]row
	history []row
	version uint64
	changed chan struct{}
	began   time.Time
	faults  map[string]int // by the address that a machine uses
}

func newStore() *store {
	return &store{rows: map[[2]string]row{}, changed: make(chan struct{}), began: time.Now(), faults: map[string]int{}}
}

func (s *store) setFault(address string, fault int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[address] = fault
}

// put writes a row as the operator does; nil removes it. The return is the confirmation.
func (s *store) put(table, key string, value any) {
	r := row{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		text, _ := json.Marshal(value)
		r.Value = base64.StdEncoding.EncodeToString(text)
	}
	s.commit([]row{r})
}

func (s *store) commit(rows []row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if r.Deleted {
			delete(s.rows, [2]string{r.Table, r.Key})
		} else {
			s.rows[[2]string{r.Table, r.Key}] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// handler serves the store at one address.
func (s *store) handler(address string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.faults[address]
		s.mu.Unlock()
		switch fault {
		case storeBusy:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case storeSilent:
			<-r.Context().Done()
			return
		}
		time.Sleep(4 * time.Millisecond)
		switch r.URL.Path {
		case wire.Get:
			s.get(w, r)
		case wire.Feed:
			s.feed(w, r)
		case wire.Tx:
			s.tx(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	answer := page{version: s.version, nowMs: time.Since(s.began).Milliseconds()}
	for k, v := range s.rows {
		if k[0] == q.Get("table") && k[1] >= q.Get("from") {
			answer.rows = append(answer.rows, v)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.rows) > 500 {
		answer.rows, answer.hasMore = answer.rows[:500], true
	}
	reply(w, http.StatusOK, answer.message())
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		answer := page{version: s.version, nowMs: time.Since(s.began).Milliseconds()}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after {
				answer.rows = append(answer.rows, h)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.rows) > 0 {
			reply(w, http.StatusOK, answer.message())
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, answer.message())
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Puts []row `json:"puts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	for _, p := range body.Puts {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "read-only", http.StatusForbidden)
			return
		}
	}
	reply(w, http.StatusOK, map[string]any{wire.Version: s.commit(body.Puts)})
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
