// Package settings reads and validates the TOML settings files of the entry and
// agent processes (for the settings file of the users' platform see package
// platform). All problems of a file are reported at once, each with its line, its
// field, what was found and what is wanted.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"foxtaildock.example/dock/ident"
)

// Process identifies the process: section [process].
type Process struct {
	// FailureDomain is the failure domain in which the process runs. If it is
	// wrong, withdrawing the failure domain has no effect on the process.
	FailureDomain ident.FailureDomain
	// Cell names the group of agents and entries that share one placement.
	// Processes of different cells don't communicate.
	Cell string
}

// Platform configures the access to the platform's services: section [platform].
type Platform struct {
	// Address is the address of the table service and the object store.
	Address netip.AddrPort
	// Timeout is how long one call may take. A longer timeout detects an outage
	// later; a shorter one treats a slow platform as an outage.
	Timeout time.Duration
}

// Log configures the log: section [log].
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// At debug several lines are logged for every job.
	Level string
}

// Shutdown configures the graceful stop: section [shutdown].
type Shutdown struct {
	// Grace is how long a stopping process waits for its work in flight. A job
	// that takes longer is aborted and fails, so choose a value above the longest
	// deadline of the callers.
	Grace time.Duration
}

// LoadEntry reads the settings of an entry from a file. The error is an *InvalidError
// if the content of the file is invalid.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return ParseEntry(path, text)
}

// LoadAgent reads the settings of an agent from a file. The error is an *InvalidError
// if the content of the file is invalid.
func LoadAgent(path string) (*Agent, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	return ParseAgent(path, text)
}
