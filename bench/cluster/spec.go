package cluster

import "time"

// Spec describes a system to start.
type Spec struct {
	// Daemon is the path of foxtaildockd.
	Daemon string
	// Bench is the path of foxbench, which runs the stand-ins.
	Bench string
	// Dir is the directory for settings, logs and ledgers. It must exist.
	Dir string
	// Cell is the name of the cell.
	Cell string
	// Domains names the failure domains. Entries and agents are spread over
	// them in turn.
	Domains []string
	Entries int
	Agents  int
	// LateAgents is the number of agents, counted from the last, that Start does
	// not start.
	LateAgents int
	// Services are announced by every backend server.
	Services []string
	// Slots is the number of tasks that one backend server runs at a time.
	Slots int
	// Connections is the number of connections that each backend server announces.
	Connections int
	// CallerLinks puts links between the callers and the entries. Without them
	// a stopped entry refuses connections; a link accepts and then closes them.
	CallerLinks bool
	// DirectBackends leaves out the links to the backend servers, so that a
	// killed one refuses connections. A link accepts and then closes them.
	DirectBackends bool
	// Grace is the time that a daemon has for a graceful shutdown after SIGTERM.
	Grace time.Duration
	// PlatformTimeout bounds one call to the platform.
	PlatformTimeout time.Duration
	// LogLevel is the log level of the daemons.
	LogLevel string
}

// Defaults of Spec.
const (
	defaultCell            = "north-1"
	defaultService         = "serial"
	defaultSlots           = 8
	defaultConnections     = 64
	defaultGrace           = 30 * time.Second
	defaultPlatformTimeout = time.Second
	defaultLogLevel        = "info"
)

// withDefaults returns the spec with defaults for the fields that are zero.
func (s Spec) withDefaults() Spec {
	if s.Cell == "" {
		s.Cell = defaultCell
	}
	if len(s.Domains) == 0 {
		s.Domains = []string{"lulea", "umea", "sundsvall"}
	}
	if len(s.Services) == 0 {
		s.Services = []string{defaultService}
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.Grace == 0 {
		s.Grace = defaultGrace
	}
	if s.PlatformTimeout == 0 {
		s.PlatformTimeout = defaultPlatformTimeout
	}
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
	return s
}

// domain returns the failure domain of the i-th entry or agent.
func (s Spec) domain(i int) string { return s.Domains[i%len(s.Domains)] }
