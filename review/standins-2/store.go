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

// store is a stand-in for the platform's metadata store: versioned rows in tables, with
// transactions under conditions and a feed of changes.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []storedRow
	version uint64
	changed chan struct{}
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	rowKey
	value   string
	version uint64
	deleted bool
}

func newStore() *store {
	return &store{rows: map[rowKey]storedRow{}, changed: make(chan struct{})}
}

func (r *storedRow) wire() map[string]any {
	m := map[string]any{"table": r.table, "part": r.part, "key": r.key, names["version"]: r.version}
	if r.deleted {
		m["deleted"] = true
	} else {
		m["value"] = r.value
	}
	return m
}

// put writes a row as the operator does; a nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := storedRow{rowKey: rowKey{table, "", key}, deleted: value == nil}
	if value != nil {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.value = base64.StdEncoding.EncodeToString(text)
	}
	s.commit([]storedRow{r})
}

// commit applies rows as one transaction. The caller holds the lock.
func (s *store) commit(rows []storedRow) {
	s.version++
	for _, r := range rows {
		r.version = s.version
		if r.deleted {
			delete(s.rows, r.rowKey)
		} else {
			s.rows[r.rowKey] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

const storeDelay = 4 * time.Millisecond

// ServeHTTP serves the calls of the store that the system uses.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case names["get"]:
		s.get(w, r)
	case names["feed"]:
		s.feed(w, r)
	case names["tx"]:
		s.tx(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) page(rows []map[string]any, more bool) map[string]any {
	return map[string]any{"rows": rows, "hasMore": more, names["version"]: s.version, "nowMs": now().Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storedRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b storedRow) int { return strings.Compare(a.key, b.key) })
	more := len(found) > limit
	rows := []map[string]any{}
	for i := range found[:min(limit, len(found))] {
		rows = append(rows, found[i].wire())
	}
	writeJSON(w, http.StatusOK, s.page(rows, more))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		rows := []map[string]any{}
		for i := range s.history {
			if h := &s.history[i]; h.table == q.Get("table") && h.version > after {
				rows = append(rows, h.wire())
			}
		}
		page, changed := s.page(rows, false), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || last {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
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

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []map[string]any `json:"expectedRev"`
		Puts     []wireRow        `json:"puts"`
		Remove   []wireRow        `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		key := rowKey{text(e["table"]), text(e["part"]), text(e["key"])}
		version, _ := e[names["version"]].(float64)
		if s.rows[key].version != uint64(version) {
			writeJSON(w, http.StatusPreconditionFailed, s.page(nil, false))
			return
		}
	}
	var rows []storedRow
	for _, p := range body.Puts {
		rows = append(rows, storedRow{rowKey: rowKey{p.Table, p.Part, p.Key}, value: p.Value})
	}
	for _, p := range body.Remove {
		rows = append(rows, storedRow{rowKey: rowKey{p.Table, p.Part, p.Key}, deleted: true})
	}
	for _, row := range rows {
		if row.table == "op" || row.table == "servers" {
			http.Error(w, "not for the system", http.StatusForbidden)
			return
		}
	}
	s.commit(rows)
	writeJSON(w, http.StatusOK, map[string]any{names["version"]: s.version, "nowMs": now().Milliseconds()})
}

func text(v any) string { t, _ := v.(string); return t }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
