package telemetry

import (
	"fmt"
	"net/http"
	"net/http/pprof"
)

// Paths of the metrics listener.
const (
	PathMetrics = "/metrics"
	// PathLive answers 200 for as long as the process can answer at all. The
	// platform may restart a process that fails it.
	PathLive = "/livez"
	// PathReady answers 200 if the process takes work, else 503 and the reason.
	// The balancer sends callers to ready entries only.
	PathReady = "/readyz"
)

// Readiness returns nil if the process takes work, else the reason why not. It
// must not block.
type Readiness func() error

// NewHandler serves the metrics, liveness and readiness of one process.
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

// handleProfiles serves the runtime's profiles, so that the processor time and
// memory of a running process can be looked into.
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
