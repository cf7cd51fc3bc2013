package settings

import (
	"net/netip"
	"time"
)

// Entry contains the settings of `foxtaildockd entry`.
type Entry struct {
	Process   Process
	Listen    EntryListen
	Platform  Platform
	Operators EntryOperators
	Limits    EntryLimits
	Log       Log
	Shutdown  Shutdown
}

// EntryListen contains the addresses at which an entry listens: section [listen].
type EntryListen struct {
	// Callers serves the API for callers. The platform's balancer connects
	// callers to it.
	Callers netip.AddrPort
	// Operators serves the API for operators. Callers shouldn't be able to reach
	// it.
	Operators netip.AddrPort
	// Internal serves agents and other entries. This address is announced to
	// them, so it must not be 0.0.0.0.
	Internal netip.AddrPort
	// Metrics serves /metrics, /livez and /readyz.
	Metrics netip.AddrPort
}

// EntryOperators configures who may write the first section of an empty operators'
// document: section [operators].
type EntryOperators struct {
	// BootstrapSHA256 is the SHA-256, in hexadecimal, of the token that may
	// write the first team/operators section. Once that section exists, the
	// token is no longer accepted. If empty, no such token is accepted.
	BootstrapSHA256 string
}

// EntryLimits bounds the memory of an entry: section [limits]. The limits of a team
// are set in the operators' document.
type EntryLimits struct {
	// MaxJobsInFlight is the largest number of jobs that this entry has
	// admitted and not answered. Beyond it submissions are refused as
	// overloaded.
	MaxJobsInFlight int
	// MaxBytesInFlight is the largest total size, in bytes, of the request
	// bodies that this entry holds. It bounds the memory of the process.
	MaxBytesInFlight int64
	// BodyTimeout is how long a caller may take to send its request. It frees
	// the resources that slow or stalled connections hold.
	BodyTimeout time.Duration
}

// Bounds and defaults of EntryLimits.
const (
	defaultMaxJobsInFlight  = 4096
	largestMaxJobsInFlight  = 1_000_000
	defaultMaxBytesInFlight = 64 << 20 // bytes
	// smallestMaxBytesInFlight admits at least one job of the largest size:
	// 8 MiB of payload are 11 MiB of JSON.
	smallestMaxBytesInFlight = 16 << 20 // bytes
	largestMaxBytesInFlight  = 64 << 30 // bytes
	defaultBodyTimeout       = 5 * time.Second
)

// ParseEntry parses the settings of an entry. The name is the file name for error
// messages. A non-nil error is an *InvalidError.
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
