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
	// defaultGrace is above job.MaxDeadline, so that no job is cut.
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

// listener reads one address of [listen] and remembers it for the check that no
// two listeners clash.
func (f *file) listener(key string, rule ipRule, to *netip.AddrPort) {
	*to = f.address("listen", key, rule)
	if !to.IsValid() {
		return
	}
	line := f.lineOf("listen", key)
	for _, other := range f.listeners {
		if clash(other.address, *to) {
			f.report(line, "listen."+key, fmt.Sprintf("%s clashes with listen.%s on line %d; give each listener a port of its own",
				*to, other.key, other.line))
		}
	}
	f.listeners = append(f.listeners, listener{key: key, address: *to, line: line})
}

// listener is an address of [listen] that was read before.
type listener struct {
	key     string
	address netip.AddrPort
	line    int
}

// clash reports whether two listeners can't both be opened.
func clash(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
