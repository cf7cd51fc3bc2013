package entry

import (
	"context"

	"foxtaildock.example/dock/job"
)

// Unlimited is a Limiter that admits every job immediately.
type Unlimited struct{}

// Admit implements Limiter.
func (Unlimited) Admit(context.Context, *job.Spec) (func(), job.Outcome, bool) {
	return func() {}, job.Outcome{}, true
}
