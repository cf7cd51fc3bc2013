package settings

import (
	"net/netip"
	"time"
)

// Entry is the settings of `foxtaildockd entry`.
type Entry struct {
	Process   Process
	Listen    EntryListen
	Platform  Platform
	Operators EntryOperators
	Limits    EntryLimits
	Log       Log
	Shutdown  Shutdown
}

// EntryListen is where an entry listens: section [listen].
type EntryListen struct {
	// Callers serves the callers' interface. The platform's balancer sends
	// callers here.
	Callers netip.AddrPort
	// Operators serves the operators' interface. Keep it from callers.
	Operators netip.AddrPort
	// Internal serves agents and other entries, which are told this very
	// address; it must not be 0.0.0.0.
	Internal netip.AddrPort
	// Metrics serves /metrics, /livez and /readyz.
	Metrics netip.AddrPort
}

// EntryOperators says who may write an empty document: section [operators].
type EntryOperators struct {
	// BootstrapSHA256 is the SHA-256, in hexadecimal, of the token that may
	// write the first team/operators section. Once that section exists, the
	// token is good for nothing. Empty means that no such token is taken.
	BootstrapSHA256 string
}

// EntryLimits bounds the memory of an entry: section [limits]. What a team may
// use is set in the operators' document.
type EntryLimits struct {
	// MaxJobsInFlight is the largest number of jobs that this entry has
	// admitted and not answered. Beyond it submissions are refused as
	// overloaded.
	MaxJobsInFlight int
	// MaxBytesInFlight is the largest sum of request bodies, in bytes, that
	// this entry holds at one time. It bounds the memory of the process.
	MaxBytesInFlight int64
	// BodyTimeout is how long a caller may take to send its request. It frees
	// what slow or silent connections hold.
	BodyTimeout time.Duration
}

// Bounds and defaults of EntryLimits.
const (
	defaultMaxJobsInFlight  = 4096
	largestMaxJobsInFlight  = 1_000_000
	defaultMaxBytesInFlight = 64 << 20 // bytes
	// smallestMaxBytesInFlight lets at least one job of the largest size in:
	// 8 MiB of payload are 11 MiB of JSON.
	smallestMaxBytesInFlight = 16 << 20 // bytes
	largestMaxBytesInFlight  = 64 << 30 // bytes
	defaultBodyTimeout       = 5 * time.Second
)

// ParseEntry reads the settings of an entry. The name stands for the file in
// messages. The error is an *InvalidError unless it is nil.
func ParseEntry(name string, text []byte) (*Entry, error) {
	f := parseFile(text)
	e := &Entry{}
	f.process(&e.Process)
	f.listener("callers", mayBeAnyIP, &e.Listen.Callers)
	f.listener("operators", mayBeAnyIP, &e.Listen.Operators)
	f.listener("internal", mustBeOneIP, &e.Listen.Internal)
	f.listener("metrics", mayBeAnyIP, &e.Listen.Metrics)
	f.platform(&e.Platform)
	e.Operators.BootstrapSHA256 = f.hexHash("operators", "bootstrap_sha256")
	f.entryLimits(&e.Limits)
	f.log(&e.Log)
	f.shutdown(&e.Shutdown)
	if err := f.finish(name); err != nil {
		return nil, err
	}
	return e, nil
}

func (f *file) entryLimits(l *EntryLimits) {
	l.MaxJobsInFlight = int(f.integer("limits", "max_jobs_in_flight",
		intRule{def: defaultMaxJobsInFlight, min: 1, max: largestMaxJobsInFlight}))
	l.MaxBytesInFlight = f.integer("limits", "max_bytes_in_flight",
		intRule{def: defaultMaxBytesInFlight, min: smallestMaxBytesInFlight, max: largestMaxBytesInFlight})
	l.BodyTimeout = f.duration("limits", "body_timeout",
		durationRule{def: defaultBodyTimeout, min: 100 * time.Millisecond, max: time.Minute})
}
