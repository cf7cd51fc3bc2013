package settings

import (
	"fmt"
	"net/netip"
	"time"

	"foxtaildock.example/dock/ident"
)

// Bounds and defaults of the sections that both roles have.
const (
	defaultPlatformTimeout = time.Second
	defaultLogLevel        = "info"
	// defaultGrace is above job.MaxDeadline, so that no job is aborted.
	defaultGrace = 5*time.Minute + 10*time.Second
	largestGrace = time.Hour
)

func (f *file) process(p *Process) {
	p.FailureDomain = ident.FailureDomain(f.name("process", "failure_domain", "lulea"))
	p.Cell = f.name("process", "cell", "north-1")
}

func (f *file) platform(p *Platform) {
	p.Address = f.address("platform", "address", mustBeOneIP)
	p.Timeout = f.duration("platform", "timeout",
		durationRule{def: defaultPlatformTimeout, min: 10 * time.Millisecond, max: time.Minute})
}

func (f *file) log(l *Log) {
	l.Level = f.choice("log", "level", defaultLogLevel, []string{"debug", "info", "warn", "error"})
}

func (f *file) shutdown(s *Shutdown) {
	s.Grace = f.duration("shutdown", "grace",
		durationRule{def: defaultGrace, min: time.Second, max: largestGrace})
}

// listener reads one address of [listen] and reports it as a problem if it conflicts
// with an address that was read before.
func (f *file) listener(key string, rule ipRule, to *netip.AddrPort) {
	*to = f.address("listen", key, rule)
	if !to.IsValid() {
		return
	}
	line := f.lineOf("listen", key)
	for _, other := range f.listeners {
		if conflict(other.address, *to) {
			f.report(line, "listen."+key, fmt.Sprintf("%s conflicts with listen.%s on line %d; give each listener its own port",
				*to, other.key, other.line))
		}
	}
	f.listeners = append(f.listeners, listener{key: key, address: *to, line: line})
}

// listener is an address of [listen] that has been read.
type listener struct {
	key     string
	address netip.AddrPort
	line    int
}

// conflict reports whether two listeners conflict: they have the same port and the same
// or an unspecified IP address, so that they can't both be opened.
func conflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
