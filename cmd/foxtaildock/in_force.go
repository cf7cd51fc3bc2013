package main

import (
	"context"
	"fmt"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/report"
)

// Times of waiting until a change is in force.
const (
	inForceLimit = 15 * time.Second
	inForcePoll  = 250 * time.Millisecond
)

// waitInForce tells when an accepted change is in force at every process that
// one entry hears. The change stays accepted, whatever is seen here.
func waitInForce(ctx context.Context, c *console, client *api.OperatorsClient, a *api.ChangeAnswer) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	defer c.whileWaiting("the change to be in force")()
	began := time.Now()
	behind := "unknown"
	for {
		s, err := client.Status(ctx)
		if errorExit(err) == exitNotTaken {
			return // the bootstrap token is good for the change only
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
			c.printer().Verdict(report.Warn, fmt.Sprintf("processes behind: %s; see foxtaildock status", behind))
			return
		case <-time.After(inForcePoll):
		}
	}
}

func printInForce(c *console, after time.Duration, silent int) {
	after = after.Round(100 * time.Millisecond)
	if silent > 0 {
		c.printer().Verdict(report.Warn, fmt.Sprintf("in force wherever heard after %s; silent processes: %d, see foxtaildock status", after, silent))
		return
	}
	c.printer().Verdict(report.Good, fmt.Sprintf("in force everywhere, seen after %s", after))
}
