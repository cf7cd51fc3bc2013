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

// operatorAddresses returns the operators' addresses, which must be given.
func (s *shared) operatorAddresses() ([]string, error) {
	if len(s.Operators) == 0 {
		return nil, &usageError{"no operators' address given; use --operators 10.0.0.5:7001 or FOXTAILDOCK_OPERATORS"}
	}
	return s.Operators, nil
}

// operators returns a client of the operators' interface.
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

// changeOptions is the options of commands that change the document.
type changeOptions struct {
	Reason   string `arg:"--reason" help:"why, for the audit trail and reports"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"repeat a change whose answer was lost, by the id told then"`
	NoWait   bool   `arg:"--no-wait" help:"do not wait until the change is in force everywhere"`
	Force    bool   `arg:"--force" help:"do without the word of half of the agents; only if they are off for good"`
}

// request starts a change. Its id names it for ever, so that a lost answer can
// be asked for again.
func (o *changeOptions) request() api.ChangeRequest {
	id := o.ChangeID
	if id == "" {
		id = fmt.Sprintf("%013d-%s", time.Now().UnixMilli(), strings.ToLower(rand.Text()[:keyLetters]))
	}
	return api.ChangeRequest{ChangeID: id, Reason: o.Reason, Force: o.Force}
}

// finishChange shows what became of a change and waits until it is in force.
func (o *changeOptions) finishChange(ctx context.Context, c *console, client *api.OperatorsClient, id string, a *api.ChangeAnswer, err error) (exitCode, error) {
	if err != nil {
		return showRefusal(c, id, err)
	}
	if c.json {
		return exitDone, c.printJSON(a)
	}
	p := c.printer()
	p.Verdict(report.Good, fmt.Sprintf("accepted: %s, version %d", a.Section, a.Version))
	if a.Repeated {
		p.Text("It had been accepted before.")
	}
	if !o.NoWait {
		waitInForce(ctx, c, client, a)
	}
	return exitDone, nil
}

// showRefusal shows why a change was not accepted.
func showRefusal(c *console, id string, err error) (exitCode, error) {
	var refused *api.RefusedError
	if !errors.As(err, &refused) || (refused.Refusal.Outcome == "" && refused.Status >= http.StatusInternalServerError) {
		return 0, &lostChangeError{id: id, err: err}
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

// lostChangeError says that the answer to a change was lost.
type lostChangeError struct {
	id  string
	err error
}

// Error says how to find out what became of the change.
func (e *lostChangeError) Error() string {
	return fmt.Sprintf("no answer; the change may be accepted, repeat it with --change-id %s: %v", e.id, e.err)
}

// Unwrap returns the cause.
func (e *lostChangeError) Unwrap() error { return e.err }

// printRefusal writes the refusal with the clash or the problems that caused it.
func printRefusal(p *report.Printer, r *api.ChangeRefusal) {
	if r.MayBeAccepted {
		p.Verdict(report.Bad, "no answer: may be accepted")
	} else {
		p.Verdict(report.Warn, fmt.Sprintf("refused (not changed): %s", r.Outcome))
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

// printDiff writes the lines that differ under a heading.
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

// refusalExit returns the exit code of a refused request.
func refusalExit(e *api.RefusedError) exitCode {
	if e.Refusal.MayBeAccepted {
		return exitLost
	}
	switch e.Refusal.Outcome {
	case audit.Conflict:
		return exitConflict
	case audit.Invalid:
		return exitUsage
	case audit.Forbidden, audit.Unauthorized:
		return exitNotTaken
	case audit.Unknown:
		return exitLost
	}
	if e.Status == http.StatusNotFound {
		return exitNotTaken
	}
	return exitRefused
}

// formatUnix formats a time for a person, in the time zone of the machine.
func formatUnix(seconds int64) string { return time.Unix(seconds, 0).Format("2 Jan 15:04:05") }
