package main

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/report"
)

// auditCommand shows the audit trail.
type auditCommand struct {
	Since   time.Duration `arg:"--since" default:"24h" help:"how far back rows are shown"`
	By      string        `arg:"--by" help:"only changes by this team, or by one of its tokens as team/id"`
	Section string        `arg:"--section" help:"only this section, or this kind of section, such as domain/"`
	Outcome audit.Outcome `arg:"--outcome" help:"only this outcome: accepted, conflict, invalid, forbidden, unauthorized, ..."`
	Limit   int           `arg:"--limit" default:"20" help:"largest number of rows, newest first"`
}

func (*auditCommand) examples() string {
	return `
  Changes refused as forbidden in the last day:
    foxtaildock audit --outcome forbidden
  All changes to failure domains in the last week:
    foxtaildock audit --since 168h --section domain/`
}

func (a *auditCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	client, err := s.operators(c)
	if err != nil {
		return 0, err
	}
	answer, err := client.Audit(ctx, audit.Query{
		Since: time.Now().Add(-a.Since), By: a.By, Section: a.Section, Outcome: a.Outcome, Limit: a.Limit,
	})
	if err != nil {
		return 0, err
	}
	if c.json {
		return exitDone, c.printJSON(answer)
	}
	p := c.printer()
	if len(answer.Rows) == 0 {
		p.Text("no rows")
	}
	for i := range answer.Rows {
		printAuditRow(p, &answer.Rows[i])
	}
	return exitDone, nil
}

// printAuditRow writes one row of the audit trail: a line with the outcome, a
// line with the action, and the detail or reason if there is one.
func printAuditRow(p *report.Printer, r *audit.Row) {
	style := report.Warn
	if r.Outcome == audit.Accepted {
		style = report.Good
	}
	p.TextStyled(style, fmt.Sprintf("%s %s %s", formatUnix(r.UnixMS/1000), r.Outcome, r.Section))
	line := fmt.Sprintf("%s by %s", r.Action, r.By)
	if r.Version > 0 {
		line += fmt.Sprintf(", version %d", r.Version)
	}
	if r.Forced {
		line += ", forced"
	}
	if r.Count > 1 {
		line += fmt.Sprintf(", %d times", r.Count)
	}
	p.Detail(line)
	if why := cmp.Or(r.Detail, r.Reason); why != "" {
		p.Detail(why)
	}
}
