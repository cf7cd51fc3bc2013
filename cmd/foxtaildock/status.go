package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/report"
)

// statusCommand shows which versions are in force at which processes.
type statusCommand struct {
	All bool `arg:"--all" help:"list every process, not only those that are behind, silent or not working normally"`
}

func (*statusCommand) examples() string {
	return `
  The state of the cell, and processes that need a look:
    foxtaildock status
  Every process with its address and versions in force:
    foxtaildock status --all`
}

func (t *statusCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	client, err := s.operators(c)
	if err != nil {
		return 0, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return 0, err
	}
	if c.json {
		return exitDone, c.printJSON(status)
	}
	printStatus(c.printer(), status, t.All)
	return exitDone, nil
}

// Values of StatusAnswer.Permits; see permit.Mode.
const (
	permitsConfirmed = "confirmed"
	permitsOutage    = "outage"
	permitsIsolated  = "island"
)

func printStatus(p *report.Printer, s *api.StatusAnswer, all bool) {
	p.TextStyled(statusVerdict(s))
	p.LabelledValue("in force", fmt.Sprintf("document %d, epoch %d", s.Version, s.Epoch))
	p.LabelledValue("cell", fmt.Sprintf("%s; entries: %d, agents: %d", s.Cell, len(s.Entries), len(s.Agents)))
	p.LabelledValue("seen by", s.Entry)
	p.Blank()
	p.Table(domainTable(s.Domains))
	for _, d := range s.Domains {
		if d.State == document.DomainWithdrawn && d.Reason != "" {
			p.LabelledValue(d.Domain, d.Reason)
		}
	}
	if t := processTable(s, all); !t.Empty() {
		p.Blank()
		p.Table(t)
	}
}

// statusVerdict returns the status in one line. If there are several problems
// it is the most serious one.
func statusVerdict(s *api.StatusAnswer) (report.Style, string) {
	switch {
	case s.Permits == permitsIsolated:
		return report.Bad, "island: neither the platform nor most agents confirm this entry's state; it grants no permits"
	case s.LocalFault:
		return report.Bad, "this entry stopped receiving heartbeats from most agents at the same time; the likely cause is this entry or its network"
	case s.Permits == permitsOutage:
		return report.Warn, "the platform doesn't answer this entry; tasks go on, changes wait"
	case s.Permits != permitsConfirmed:
		return report.Bad, "this entry has no state yet; it grants no permits"
	}
	switch behind, silent := countBehind(s); {
	case behind > 0:
		return report.Warn, fmt.Sprintf("processes behind: %d", behind)
	case silent > 0:
		return report.Warn, fmt.Sprintf("in force except at silent processes: %d", silent)
	}
	return report.Good, "in force everywhere"
}

// silentAfter is the time after the last heartbeat of a process from which it
// counts as silent. It is longer than a permit is valid, so a silent agent
// starts no tasks.
const silentAfter = 3 * time.Second

func isSilent(p *api.ProcessStatus) bool {
	return time.Duration(p.HeardAgoMS)*time.Millisecond > silentAfter
}

// countBehind counts the processes that do not have the newest versions. Silent
// processes are counted apart, since their present versions are not known.
func countBehind(s *api.StatusAnswer) (behind, silent int) {
	for _, list := range [][]api.ProcessStatus{s.Entries, s.Agents} {
		for i := range list {
			switch {
			case list[i].Behind && isSilent(&list[i]):
				silent++
			case list[i].Behind:
				behind++
			}
		}
	}
	return behind, silent
}

func domainTable(domains []api.DomainStatus) *report.Table {
	t := &report.Table{Columns: []report.Column{
		{Title: "domain"}, {Title: "state"}, {Title: "agents", Right: true},
		{Title: "slots", Right: true}, {Title: "free", Right: true}, {Title: "runs", Right: true},
	}}
	for _, d := range domains {
		style := report.Good
		if d.State != document.DomainInService {
			style = report.Warn
		}
		t.AddCells(report.Cell{Text: d.Domain}, report.Cell{Text: string(d.State), Style: style},
			report.Cell{Text: strconv.Itoa(d.Agents)}, report.Cell{Text: strconv.Itoa(d.Slots)},
			report.Cell{Text: strconv.Itoa(d.Free)}, report.Cell{Text: strconv.Itoa(d.Running)})
	}
	return t
}

// processTable lists the processes that need an operator's attention, or all of
// them.
func processTable(s *api.StatusAnswer, all bool) *report.Table {
	t := &report.Table{Columns: []report.Column{
		{Title: "process", ShortenLast: true}, {Title: "domain"}, {Title: "state"}, {Title: "doc", Right: true}, {Title: "epoch", Right: true},
	}}
	withdrawn := withdrawnDomains(s)
	for _, list := range [][]api.ProcessStatus{s.Entries, s.Agents} {
		for i := range list {
			state, style := processState(&list[i])
			planned := state == stateOut && withdrawn[list[i].Domain]
			if all || (style != report.Plain && !planned) {
				addProcess(t, &list[i], report.Cell{Text: state, Style: style})
			}
		}
	}
	return t
}

// withdrawnDomains returns the failure domains that are withdrawn. Their agents
// are out of service as planned and need no attention.
func withdrawnDomains(s *api.StatusAnswer) map[string]bool {
	withdrawn := make(map[string]bool)
	for _, d := range s.Domains {
		withdrawn[d.Domain] = d.State == document.DomainWithdrawn
	}
	return withdrawn
}

func addProcess(t *report.Table, p *api.ProcessStatus, state report.Cell) {
	t.AddCells(report.Cell{Text: p.Address}, report.Cell{Text: p.Domain}, state,
		report.Cell{Text: fmt.Sprint(p.Version)}, report.Cell{Text: fmt.Sprint(p.Epoch)})
}

// stateUp is the state of an agent that sends heartbeats. stateOut is shown for
// an agent that is out of service.
const (
	stateUp  = "up"
	stateOut = "out"
)

// processState returns the state of a process for the table. The style is Plain
// if the process needs no attention.
func processState(p *api.ProcessStatus) (string, report.Style) {
	switch {
	case p.State == "" && isSilent(p):
		return "silent", report.Warn
	case p.Behind:
		return "behind", report.Warn
	case p.State != "" && p.State != stateUp:
		return p.State, report.Bad
	case p.OutOfService:
		return stateOut, report.Warn
	case p.State == "":
		return "entry", report.Plain
	case !p.Member:
		return "joining", report.Plain
	}
	return p.State, report.Plain
}
