package main

import (
	_ "embed"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

//go:embed names.json
var namesText []byte

// names are the platform's names on the wire, which may stand in a data file only.
var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}()

// row is one row of the store.
type row struct {
	table, part, key, value string
	version                 uint64
	deleted                 bool
}

// Store is the stand-in of the platform's metadata store: rows, transactions and changes.
type Store struct {
	mu      sync.Mutex
	rows    map[[3]string]row
	history []row
	version uint64
	changed chan struct{}
	origin  time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[[3]string]row{}, changed: make(chan struct{}), origin: time.Now()}
}

// Write writes rows in one transaction, as the operator does, and returns its version.
func (s *Store) Write(rows ...row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(rows)
}

func (s *Store) write(rows []row) uint64 {
	s.version++
	for _, r := range rows {
		r.version = s.version
		k := [3]string{r.table, r.part, r.key}
		if r.deleted {
			delete(s.rows, k)
		} else {
			s.rows[k] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// PutJSON writes a row of the operator with a JSON text as its value.
func (s *Store) PutJSON(key, text string) uint64 {
	return s.Write(row{table: "op", key: key, value: base64.StdEncoding.EncodeToString([]byte(text))})
}

// Remove removes a row of the operator.
func (s *Store) Remove(key string) uint64 { return s.Write(row{table: "op", key: key, deleted: true}) }

func (r row) wire() map[string]any {
	m := map[string]any{"table": r.table, "part": r.part, "key": r.key, names["version"]: r.version}
	if r.deleted {
		m["deleted"] = true
	} else {
		m["value"] = r.value
	}
	return m
}

func (s *Store) page(rows []row, more bool) map[string]any {
	list := []any{}
	for _, r := range rows {
		list = append(list, r.wire())
	}
	return map[string]any{"rows": list, "hasMore": more, names["version"]: s.version, "nowMs": time.Since(s.origin).Milliseconds()}
}

// ServeHTTP serves the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names["rowsGet"]:
		s.get(w, r)
	case names["rowsFeed"]:
		s.feed(w, r)
	case names["rowsTx"]:
		s.tx(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var found []row
	for k, row := range s.rows {
		if k[0] == q.Get("table") && k[1] == q.Get("part") && k[2] >= q.Get("from") && (q.Get("target") == "" || k[2] < q.Get("target")) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].key < found[b].key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	page := s.page(found, more)
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, h := range s.history {
			if h.table == q.Get("table") && h.version > after {
				found = append(found, h)
			}
		}
		page, changed := s.page(found, false), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-over:
			answer(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

type wireRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value string `json:"value"`
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var raw struct {
		Expected []map[string]any `json:"expectedRev"`
		Puts     []wireRow        `json:"puts"`
		Remove   []wireRow        `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var rows []row
	for _, p := range raw.Puts {
		rows = append(rows, row{table: p.Table, part: p.Part, key: p.Key, value: p.Value})
	}
	for _, p := range raw.Remove {
		rows = append(rows, row{table: p.Table, part: p.Part, key: p.Key, deleted: true})
	}
	for _, p := range rows {
		if p.table == "op" || p.table == "servers" {
			http.Error(w, "forbidden", http.StatusForbidden)
			return
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	for _, e := range raw.Expected {
		table, _ := e["table"].(string)
		part, _ := e["part"].(string)
		key, _ := e["key"].(string)
		want, _ := e[names["version"]].(float64)
		if s.rows[[3]string{table, part, key}].version != uint64(want) {
			page := s.page([]row{s.rows[[3]string{table, part, key}]}, false)
			s.mu.Unlock()
			answer(w, http.StatusPreconditionFailed, page)
			return
		}
	}
	version := s.write(rows)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{names["version"]: version, "nowMs": time.Since(s.origin).Milliseconds()})
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
