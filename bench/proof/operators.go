package proof

import (
	"context"
	"errors"
	"time"

	"foxtaildock.example/bench/cluster"
)

// ErrNotRun means that a proof could not be run, as what it needs is missing.
var ErrNotRun = errors.New("not run")

// Operators is what proofs need of the operators' interface.
type Operators interface {
	// Prepare writes the first document: the team that submits, its service
	// and the failure domains. It returns the team's token.
	Prepare(ctx context.Context, c *cluster.Cluster, team, service string) (token string, err error)
	// SetDomain withdraws a failure domain or restores it. It returns when the
	// change was known to be accepted.
	SetDomain(ctx context.Context, domain string, inService bool) (accepted time.Time, err error)
	// Drain takes the backend server beside the agent out of service, or puts
	// it back.
	Drain(ctx context.Context, agent *cluster.Agent, out bool) (accepted time.Time, err error)
}

// NewOperators returns the client for the operators' interface.
func NewOperators() Operators { return &rowOperators{} }
