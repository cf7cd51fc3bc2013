package entry

import (
	"context"

	"foxtaildock.example/dock/job"
)

// Unlimited is a Limiter without limits.
type Unlimited struct{}

// Admit admits every job.
func (Unlimited) Admit(context.Context, *job.Spec) (func(), job.Outcome, bool) {
	return func() {}, job.Outcome{}, true
}
