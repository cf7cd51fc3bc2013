// Package settings reads the TOML settings of the daemons. Every file is checked
// as a whole: all problems are reported at once, each with its line, its field
// and what would be right.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"foxtaildock.example/dock/ident"
)

// Process says who this process is. Both roles have the section [process].
type Process struct {
	// FailureDomain is the failure domain in which the process runs. If it is
	// wrong, withdrawing the failure domain doesn't reach the process.
	FailureDomain ident.FailureDomain
	// Cell names the group of agents and entries that share one placement.
	// Processes of different cells never talk to each other.
	Cell string
}

// Platform says where the platform's services are: section [platform].
type Platform struct {
	// Address is where the table service and the object store answer.
	Address netip.AddrPort
	// Timeout is how long one call may take. A longer one notices an outage
	// later; a shorter one takes a slow platform for an outage.
	Timeout time.Duration
}

// Log says what is logged: section [log].
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// At debug every job makes several lines.
	Level string
}

// Shutdown says how the process stops: section [shutdown].
type Shutdown struct {
	// Grace is how long a stopping process waits for its work in flight. A job
	// that takes longer is cut and fails. Choose it above the longest deadline
	// of your callers.
	Grace time.Duration
}

// LoadEntry reads the settings of an entry from a file.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return ParseEntry(path, text)
}

// LoadAgent reads the settings of an agent from a file.
func LoadAgent(path string) (*Agent, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return ParseAgent(path, text)
}
