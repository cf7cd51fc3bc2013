// Package daemon assembles the processes of foxtaildockd, the entry and the agent,
// from the packages that implement them: it opens the listeners, starts the
// goroutines, sets up logs and metrics, and shuts down gracefully.
//
// There are two variants of each process. RunPlatformEntry and RunPlatformAgent run
// on the users' platform, with packages dispatcher and runner; jobs are answered at
// their end. RunEntry and RunAgent run the older path, with packages entry and agent,
// in which an agent keeps the record of a job.
package daemon

import (
	"crypto/rand"
	"strings"

	"foxtaildock.example/dock/ident"
)

// incarnationLength is the number of base-32 digits in an incarnation, five
// random bits each.
const incarnationLength = 16

// newIncarnation returns a random name for an incarnation of a process.
func newIncarnation() ident.Incarnation {
	return ident.Incarnation(strings.ToLower(rand.Text()[:incarnationLength]))
}
