package settings

import (
	"net/netip"
)

// Agent contains the settings of `foxtaildockd agent`.
type Agent struct {
	Process  Process
	Listen   AgentListen
	Platform Platform
	Entries  AgentEntries
	Records  AgentRecords
	Gate     AgentGate
	Log      Log
	Shutdown Shutdown
}

// AgentListen contains the addresses at which an agent listens: section [listen].
type AgentListen struct {
	// Internal serves entries and other agents. This address is announced to
	// them, so it must not be 0.0.0.0.
	Internal netip.AddrPort
	// Local serves the announcements of the backend server on the same VM. Use
	// the loopback address unless the backend server has another IP address.
	Local netip.AddrPort
	// Metrics serves /metrics, /livez and /readyz.
	Metrics netip.AddrPort
}

// AgentEntries tells an agent how to find the entries: section [entries].
type AgentEntries struct {
	// Seeds are internal addresses of entries that the agent tries until it
	// has read the table of entries. Without seeds it can't join while the
	// platform is unavailable.
	Seeds []netip.AddrPort
}

// AgentRecords bounds the records of jobs whose home is this agent: section
// [records].
type AgentRecords struct {
	// MaxJobs is the largest number of job records. Records are kept for the
	// retention time of docs/CALLERS.md, so this bounds the rate of jobs. Beyond
	// it new jobs are refused as overloaded.
	MaxJobs int
	// MaxResultBytes is the largest total size of stored results, in bytes. They
	// take the larger part of the agent's memory.
	MaxResultBytes int64
}

// AgentGate bounds the queue of the backend server at the agent: section [gate].
type AgentGate struct {
	// QueueLimit is the largest number of tasks that wait for a slot of the
	// backend server. Beyond it tasks are placed elsewhere or refused.
	QueueLimit int
}

// Bounds and defaults of the sections that only an agent has.
const (
	defaultMaxJobs         = 200_000
	smallestMaxJobs        = 100
	largestMaxJobs         = 50_000_000
	defaultMaxResultBytes  = 64 << 20 // bytes
	smallestMaxResultBytes = 1 << 20  // bytes
	largestMaxResultBytes  = 64 << 30 // bytes
	defaultQueueLimit      = 64       // tasks
	largestQueueLimit      = 100_000  // tasks
)

// ParseAgent parses the settings of an agent. The name is the file name for error
// messages. A non-nil error is an *InvalidError.
func ParseAgent(name string, text []byte) (*Agent, error) {
	f := parseFile(text)
	a := &Agent{}
	f.process(&a.Process)
	f.listener("internal", mustBeOneIP, &a.Listen.Internal)
	f.listener("local", mustBeOneIP, &a.Listen.Local)
	f.listener("metrics", mayBeAnyIP, &a.Listen.Metrics)
	f.platform(&a.Platform)
	a.Entries.Seeds = f.addresses("entries", "seeds")
	f.agentRecords(&a.Records)
	a.Gate.QueueLimit = int(f.integer("gate", "queue_limit",
		intRule{def: defaultQueueLimit, min: 0, max: largestQueueLimit}))
	f.log(&a.Log)
	f.shutdown(&a.Shutdown)
	if err := f.finish(name); err != nil {
		return nil, err
	}
	return a, nil
}

func (f *file) agentRecords(r *AgentRecords) {
	r.MaxJobs = int(f.integer("records", "max_jobs",
		intRule{def: defaultMaxJobs, min: smallestMaxJobs, max: largestMaxJobs}))
	r.MaxResultBytes = f.integer("records", "max_result_bytes",
		intRule{def: defaultMaxResultBytes, min: smallestMaxResultBytes, max: largestMaxResultBytes})
}
