package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/report"
)

// operatorAddresses returns the operators' addresses of the entries, or a
// *usageError if none is given.
func (s *shared) operatorAddresses() ([]string, error) {
	if len(s.Operators) == 0 {
		return nil, &usageError{"no operators' address given; use --operators 10.0.0.5:7001 or FOXTAILDOCK_OPERATORS"}
	}
	return s.Operators, nil
}

// operators returns a client of the operators' interface of the given entries.
func (s *shared) operators(c *console) (*api.OperatorsClient, error) {
	addresses, err := s.operatorAddresses()
	if err != nil {
		return nil, err
	}
	return s.operatorsAt(c, addresses)
}

func (s *shared) operatorsAt(c *console, addresses []string) (*api.OperatorsClient, error) {
	token, err := s.token(c)
	if err != nil {
		return nil, err
	}
	client, err := api.NewOperatorsClient(addresses, token, nil)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return client, nil
}

// changeOptions contains the options of commands that change the document.
type changeOptions struct {
	Reason   string `arg:"--reason" help:"reason for the change, for the audit trail and reports"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"repeat a change whose answer was lost, with the id that was printed then"`
	NoWait   bool   `arg:"--no-wait" help:"do not wait until the change is in force everywhere"`
	Force    bool   `arg:"--force" help:"commit without the acknowledgement of half of the agents; use it only if the agents that do not answer are permanently gone"`
}

// request returns the request for a change, without text and version. Its id is
// unique, so that the change can be repeated safely after a lost answer.
func (o *changeOptions) request() api.ChangeRequest {
	id := o.ChangeID
	if id == "" {
		id = fmt.Sprintf("%013d-%s", time.Now().UnixMilli(), strings.ToLower(rand.Text()[:randomKeyLength]))
	}
	return api.ChangeRequest{ChangeID: id, Reason: o.Reason, Force: o.Force}
}

// finishChange shows whether a change was accepted and, unless --no-wait was
// given, waits until it is in force.
func (o *changeOptions) finishChange(ctx context.Context, c *console, client *api.OperatorsClient, id string, a *api.ChangeAnswer, err error) (exitCode, error) {
	if err != nil {
		return showFailedChange(c, id, err)
	}
	if c.json {
		return exitDone, c.printJSON(a)
	}
	p := c.printer()
	p.TextStyled(report.Good, fmt.Sprintf("accepted: %s, version %d", a.Section, a.Version))
	if a.Repeated {
		p.Text("This change had already been accepted.")
	}
	if !o.NoWait {
		waitInForce(ctx, c, client, a)
	}
	return exitDone, nil
}

// showFailedChange shows why a change was not accepted. It returns a
// *lostAnswerError if the answer was lost, so that the change may have been
// accepted.
func showFailedChange(c *console, id string, err error) (exitCode, error) {
	var refused *api.RefusedError
	if !errors.As(err, &refused) || (refused.Refusal.Outcome == "" && refused.Status >= http.StatusInternalServerError) {
		return 0, &lostAnswerError{id: id, err: err}
	}
	code := refusalExit(refused)
	if c.json {
		return code, c.printJSON(&refused.Refusal)
	}
	printRefusal(c.printer(), &refused.Refusal)
	if refused.Refusal.MayBeAccepted {
		c.note("repeat it with --change-id %s", id)
	}
	return code, nil
}

// lostAnswerError means that the answer to a change was lost. The change may
// have been accepted.
type lostAnswerError struct {
	id  string
	err error
}

// Error formats the error with the change id that repeats the change.
func (e *lostAnswerError) Error() string {
	return fmt.Sprintf("no answer; the change may be accepted, repeat it with --change-id %s: %v", e.id, e.err)
}

// Unwrap returns the error of the request.
func (e *lostAnswerError) Unwrap() error { return e.err }

// printRefusal writes the refusal with the conflicting change or the problems
// that caused it.
func printRefusal(p *report.Printer, r *api.ChangeRefusal) {
	if r.MayBeAccepted {
		p.TextStyled(report.Bad, "no answer: may be accepted")
	} else {
		p.TextStyled(report.Warn, fmt.Sprintf("refused (not changed): %s", r.Outcome))
	}
	p.Text(r.Error)
	for _, problem := range r.Problems {
		p.Text("- " + problem.String())
	}
	if r.Winner != nil {
		p.Pair("winner", fmt.Sprintf("%s, version %d, %s", r.Winner.By, r.Winner.Version, formatUnix(r.Winner.AtUnix)))
	}
	printDiff(p, "their change", r.Theirs)
	printDiff(p, "your change", r.Yours)
}

// printDiff writes the added and removed lines under a heading.
func printDiff(p *report.Printer, heading string, lines []document.Line) {
	changes := document.Changes(lines)
	if len(changes) == 0 {
		return
	}
	p.Blank()
	p.Heading(heading)
	for _, line := range changes {
		style := report.Good
		if line.Op == document.Remove {
			style = report.Bad
		}
		p.RawStyled(style, string(line.Op)+" "+line.Text)
	}
}

// refusalExit returns the exit code of a request of an operator that was
// refused.
func refusalExit(e *api.RefusedError) exitCode {
	if e.Refusal.MayBeAccepted {
		return exitNoAnswer
	}
	switch e.Refusal.Outcome {
	case audit.Conflict:
		return exitConflict
	case audit.Invalid:
		return exitUsage
	case audit.Forbidden, audit.Unauthorized:
		return exitInvalidRequest
	case audit.Unknown:
		return exitNoAnswer
	}
	if e.Status == http.StatusNotFound {
		return exitInvalidRequest
	}
	return exitRefused
}

// formatUnix formats a Unix time in seconds for a person, in the local time
// zone.
func formatUnix(seconds int64) string { return time.Unix(seconds, 0).Format("2 Jan 15:04:05") }
