// Package daemon assembles the two roles of foxtaildockd out of their parts:
// listeners, duties, the link to the control plane, logs and metrics, and the
// graceful shutdown.
package daemon

import (
	"crypto/rand"
	"strings"

	"foxtaildock.example/dock/ident"
)

// incarnationLength is the number of base-32 digits in an incarnation, five
// random bits each.
const incarnationLength = 16

// newIncarnation returns a name for a new life of the process.
func newIncarnation() ident.Incarnation {
	return ident.Incarnation(strings.ToLower(rand.Text()[:incarnationLength]))
}
