package telemetry

import (
	"fmt"
	"net/http"
	"net/http/pprof"
)

// Paths of the metrics listener.
const (
	PathMetrics = "/metrics"
	// PathLive answers 200 as long as the process can answer requests. The
	// platform may restart a process that doesn't.
	PathLive = "/livez"
	// PathReady answers 200 if the process accepts work, else 503 and the reason.
	// The balancer sends callers only to entries that are ready.
	PathReady = "/readyz"
)

// Readiness returns nil if the process accepts work, else the reason why not. It
// must not block.
type Readiness func() error

// NewHandler returns the handler of the metrics listener: metrics, liveness, readiness
// and profiles of the process.
func NewHandler(m *Metrics, ready Readiness) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, m.scrapeHandler())
	mux.HandleFunc("GET "+PathLive, serveLive)
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		serveReady(w, ready())
	})
	handleProfiles(mux)
	return mux
}

// handleProfiles adds the pprof endpoints, by which the CPU and memory use of a
// running process can be examined.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

func serveLive(w http.ResponseWriter, _ *http.Request) {
	writeLine(w, http.StatusOK, "live")
}

func serveReady(w http.ResponseWriter, reason error) {
	if reason != nil {
		writeLine(w, http.StatusServiceUnavailable, "not ready: "+reason.Error())
		return
	}
	writeLine(w, http.StatusOK, "ready")
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, line)
}
