package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/report"
)

// reportCommand shows the short report: outcomes of jobs and changes to the
// document.
type reportCommand struct {
	Since time.Duration `arg:"--since" default:"24h" help:"how far back changes are shown"`
}

func (*reportCommand) examples() string {
	return `
  What was done, what was refused, and why. Give the
  operators' addresses of all entries, since each counts
  only its own answers to callers:
    foxtaildock report --operators 10.0.0.5:7001 \
      --operators 10.0.0.6:7001`
}

// shortReport is the combined report of the entries that answered.
type shortReport struct {
	api.ReportAnswer
	// Asked and Answered count the entries.
	Asked    int `json:"entries_asked"`
	Answered int `json:"entries_answered"`
}

func (r *reportCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	addresses, err := s.operatorAddresses()
	if err != nil {
		return 0, err
	}
	result, err := r.collect(ctx, s, c, addresses)
	if err != nil {
		return 0, err
	}
	if c.json {
		return exitDone, c.printJSON(result)
	}
	printReport(c.printer(), result)
	return exitDone, nil
}

// collect asks every entry, since each counts only its own answers to callers.
// The changes are the same at every entry. It returns an error if no entry
// answers, and writes a note for each entry that does not answer.
func (r *reportCommand) collect(ctx context.Context, s *shared, c *console, addresses []string) (*shortReport, error) {
	result := &shortReport{Asked: len(addresses)}
	since := time.Now().Add(-r.Since)
	var failures []error
	for _, address := range addresses {
		client, err := s.operatorsAt(c, []string{address})
		if err != nil {
			return nil, err
		}
		answer, err := client.Report(ctx, since)
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
			continue
		}
		result.Answered++
		result.SinceUnix = answer.SinceUnix
		result.Changes = answer.Changes
		result.Jobs = append(result.Jobs, answer.Jobs...)
	}
	if result.Answered == 0 {
		return nil, errors.Join(failures...)
	}
	for _, f := range failures {
		c.note("foxtaildock: left out of the report: %v", f)
	}
	result.Jobs = report.MergeTallies(result.Jobs)
	return result, nil
}

func printReport(p *report.Printer, r *shortReport) {
	p.Heading(fmt.Sprintf("jobs of the last hour, %d of %d entries", r.Answered, r.Asked))
	if len(r.Jobs) == 0 {
		p.Text("none")
	} else {
		p.Table(tallyTable(r.Jobs))
	}
	p.Blank()
	p.Heading("changes since " + formatUnix(r.SinceUnix))
	if len(r.Changes) == 0 {
		p.Text("none")
	}
	for _, line := range r.Changes {
		printChangeLine(p, line)
	}
}

func tallyTable(jobs []api.JobTally) *report.Table {
	t := &report.Table{Columns: []report.Column{
		{Title: "team"}, {Title: "domain"}, {Title: "jobs", Right: true}, {Title: "outcome", Keep: true}, {Title: "why"},
	}}
	for _, j := range jobs {
		t.AddCells(report.Cell{Text: cmp.Or(j.Team, "(unknown)")},
			report.Cell{Text: cmp.Or(j.Domain, "(entry)")},
			report.Cell{Text: strconv.FormatInt(j.Count, 10)},
			report.Cell{Text: j.Outcome, Style: outcomeStyle(j.Outcome)},
			report.Cell{Text: j.Reason})
	}
	return t
}

// printChangeLine writes how many changes of one team or failure domain had one
// outcome, and the reason of the last.
func printChangeLine(p *report.Printer, l audit.Line) {
	style := report.Warn
	if l.Outcome == audit.Accepted {
		style = report.Good
	}
	p.TextStyled(style, fmt.Sprintf("%s: %d %s", l.Subject, l.Count, l.Outcome))
	if l.Why != "" {
		p.Detail("last: " + l.Why)
	}
}
