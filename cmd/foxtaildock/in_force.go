package main

import (
	"context"
	"fmt"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/report"
)

// Limit and polling interval of the wait until a change is in force.
const (
	inForceLimit = 15 * time.Second
	inForcePoll  = 250 * time.Millisecond
)

// waitInForce polls the status until an accepted change is in force at every
// process that is not silent to the entry that answers, and writes the result.
// After inForceLimit it gives up and writes how many processes are behind. The
// change stays accepted in either case.
func waitInForce(ctx context.Context, c *console, client *api.OperatorsClient, a *api.ChangeAnswer) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	defer c.whileWaiting("the change to be in force")()
	began := time.Now()
	behind := "unknown"
	for {
		s, err := client.Status(ctx)
		if errorExit(err) == exitInvalidRequest {
			return // the bootstrap token is valid only for the change, not for the status
		}
		if err == nil && s.Version >= a.Version {
			n, silent := countBehind(s)
			if n == 0 {
				printInForce(c, time.Since(began), silent)
				return
			}
			behind = fmt.Sprint(n)
		}
		select {
		case <-ctx.Done():
			c.printer().TextStyled(report.Warn, fmt.Sprintf("processes behind: %s; see foxtaildock status", behind))
			return
		case <-time.After(inForcePoll):
		}
	}
}

func printInForce(c *console, after time.Duration, silent int) {
	after = after.Round(100 * time.Millisecond)
	if silent > 0 {
		c.printer().TextStyled(report.Warn, fmt.Sprintf("in force after %s except at silent processes: %d, see foxtaildock status", after, silent))
		return
	}
	c.printer().TextStyled(report.Good, fmt.Sprintf("in force everywhere, seen after %s", after))
}
