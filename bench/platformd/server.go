// Package platformd is a stand-in for the platform's table service and object
// store, for the older path of the system. It serves the HTTP interface that
// package store calls, keeps all data in memory, and has rate limits, and faults
// that can be set while it runs. Package usersite has the stand-ins of the users'
// platform.
package platformd

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"foxtaildock.example/bench/httpjson"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/store/memory"
)

// Paths of the admin interface.
const (
	// PathFaults takes GET and PUT of Faults.
	PathFaults = "/admin/faults"
	// PathStats takes GET of Stats.
	PathStats = "/admin/stats"
)

const (
	// DefaultReadsPerSecond is the rate of reads that the platform states.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond is the rate of writes that the platform states.
	DefaultWritesPerSecond = 500
	// maxBodyBytes bounds the body of one call.
	maxBodyBytes = 64 << 20
)

// Options sets the rate limits. Zero values mean the defaults.
type Options struct {
	ReadsPerSecond  int
	WritesPerSecond int
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	table   store.Table
	objects store.Objects
	reads   *bucket
	writes  *bucket
	mux     *http.ServeMux

	mu            sync.Mutex
	faults        Faults
	stats         Stats
	appliedWrites int64
}

// New returns a stand-in with an empty store.
func New(opts Options) *Server {
	if opts.ReadsPerSecond <= 0 {
		opts.ReadsPerSecond = DefaultReadsPerSecond
	}
	if opts.WritesPerSecond <= 0 {
		opts.WritesPerSecond = DefaultWritesPerSecond
	}
	now := time.Now()
	store := memory.New()
	s := &Server{
		table:   store.Table(),
		objects: store.Objects(),
		reads:   newBucket(opts.ReadsPerSecond, now),
		writes:  newBucket(opts.WritesPerSecond, now),
		mux:     http.NewServeMux(),
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST "+store.PathGet, s.get)
	s.mux.HandleFunc("POST "+store.PathScan, s.scan)
	s.mux.HandleFunc("POST "+store.PathCommit, s.commit)
	s.mux.HandleFunc("PUT "+store.PathObject, s.putObject)
	s.mux.HandleFunc("GET "+store.PathObject, s.getObject)
	s.mux.HandleFunc("POST "+store.PathObjectList, s.listObjects)
	s.mux.HandleFunc("GET "+PathFaults, s.getFaults)
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("GET "+PathStats, s.getStats)
}

// ServeHTTP serves the interface of the platform and the admin interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// count changes the counters under the lock.
func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// admit applies the faults and the rate limit that come before the effect of a
// call. It returns false if the call was answered, or must stay without an answer.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *bucket, cost int) bool {
	faults := s.currentFaults()
	if faults.Silent {
		<-r.Context().Done()
		return false
	}
	if !pause.For(r.Context(), faults.halfLatency()) {
		return false
	}
	if faults.Down || !limit.take(max(cost, 1), time.Now()) {
		s.count(func(st *Stats) { st.Unavailable++ })
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// finishWrite applies the faults that come after the effect of a write. It
// returns false if the answer is to be lost.
func (s *Server) finishWrite(r *http.Request) bool {
	faults := s.currentFaults()
	pause.For(r.Context(), faults.halfLatency())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedWrites++
	if faults.LoseEvery <= 0 || s.appliedWrites%int64(faults.LoseEvery) != 0 {
		return true
	}
	s.stats.LostAnswers++
	return false
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var req store.GetRequest
	if !httpjson.Read(w, r, &req) || !s.admit(w, r, s.reads, len(req.Keys)) {
		return
	}
	rows, err := s.table.Get(r.Context(), req.Keys...)
	s.answerRows(w, r, rows, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var req store.ScanRequest
	if !httpjson.Read(w, r, &req) || !s.admit(w, r, s.reads, 1) {
		return
	}
	rows, err := s.table.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	s.answerRows(w, r, rows, err)
}

func (s *Server) answerRows(w http.ResponseWriter, r *http.Request, rows []store.Row, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.count(func(st *Stats) { st.Reads += int64(max(len(rows), 1)) })
	pause.For(r.Context(), s.currentFaults().halfLatency())
	httpjson.Write(w, http.StatusOK, store.RowsAnswer{Rows: rows})
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var req store.CommitRequest
	if !httpjson.Read(w, r, &req) || !s.admit(w, r, s.writes, len(req.Writes)) {
		return
	}
	err := s.table.Commit(r.Context(), req.Writes...)
	s.count(func(st *Stats) { st.Writes += int64(len(req.Writes)) })
	if !s.finishWrite(r) {
		panic(http.ErrAbortHandler)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		s.count(func(st *Stats) { st.Conflicts++ })
		httpjson.Write(w, http.StatusConflict, store.ConflictAnswer(*conflict))
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, s.writes, 1) {
		return
	}
	_ = s.objects.Put(r.Context(), r.URL.Query().Get(store.ObjectNameParam), body)
	s.count(func(st *Stats) { st.Writes++ })
	if !s.finishWrite(r) {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, s.reads, 1) {
		return
	}
	body, found, _ := s.objects.Get(r.Context(), r.URL.Query().Get(store.ObjectNameParam))
	s.count(func(st *Stats) { st.Reads++ })
	pause.For(r.Context(), s.currentFaults().halfLatency())
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	var req store.ScanRequest
	if !httpjson.Read(w, r, &req) || !s.admit(w, r, s.reads, 1) {
		return
	}
	names, _ := s.objects.List(r.Context(), req.Prefix, req.After, req.Limit)
	s.count(func(st *Stats) { st.Reads++ })
	pause.For(r.Context(), s.currentFaults().halfLatency())
	httpjson.Write(w, http.StatusOK, store.NamesAnswer{Names: names})
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.currentFaults())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpjson.Read(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	httpjson.Write(w, http.StatusOK, faults)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Stats())
}
