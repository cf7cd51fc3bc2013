package main

import (
	"context"
	"fmt"
	"strconv"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/report"
)

// documentCommand is the parent of the commands for the operators' document.
type documentCommand struct {
	Show    *documentShowCommand    `arg:"subcommand:show" help:"list the sections, or print one with its version"`
	Check   *documentCheckCommand   `arg:"subcommand:check" help:"check whether a change would be accepted; change nothing"`
	Diff    *documentDiffCommand    `arg:"subcommand:diff" help:"show what a change would change"`
	Apply   *documentApplyCommand   `arg:"subcommand:apply" help:"change or create a section"`
	Delete  *documentDeleteCommand  `arg:"subcommand:delete" help:"remove a section"`
	History *documentHistoryCommand `arg:"subcommand:history" help:"list the versions of a section, newest first"`
	Token   *documentTokenCommand   `arg:"subcommand:token" help:"make a token, and the entry with its hash for the team's section"`
}

func (*documentCommand) examples() string {
	return `
  Change a section. The first line of the file has the
  version that the change is made from. If somebody else
  changes the section in the meantime, your change is
  refused and both changes are shown:
    foxtaildock document show limits/tills > limits.toml
    edit limits.toml
    foxtaildock document diff limits/tills limits.toml
    foxtaildock document apply limits/tills limits.toml`
}

func (*documentCommand) run(context.Context, *shared, *console) (exitCode, error) {
	return 0, &usageError{"no command given; use show, check, diff, apply, delete, history or token"}
}

// documentShowCommand lists the sections or shows one of them.
type documentShowCommand struct {
	Section document.Name `arg:"positional" help:"such as domain/lulea; without it all sections are listed"`
}

func (*documentShowCommand) examples() string {
	return `
  foxtaildock document show
  foxtaildock document show service/serials > serials.toml`
}

func (d *documentShowCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	client, err := s.operators(c)
	if err != nil {
		return 0, err
	}
	if d.Section == "" {
		return listSections(ctx, client, c)
	}
	section, err := client.Section(ctx, d.Section)
	if err != nil {
		return 0, err
	}
	if c.json {
		return exitDone, c.printJSON(section)
	}
	c.printer().Raw(sectionHeader(section) + "\n" + section.Text)
	return exitDone, nil
}

func listSections(ctx context.Context, client *api.OperatorsClient, c *console) (exitCode, error) {
	answer, err := client.Document(ctx)
	if err != nil {
		return 0, err
	}
	if c.json {
		return exitDone, c.printJSON(answer)
	}
	p := c.printer()
	p.Heading(fmt.Sprintf("document, version %d", answer.Version))
	t := &report.Table{Columns: []report.Column{{Title: "section"}, {Title: "owner"}, {Title: "version", Right: true}}}
	for _, section := range answer.Sections {
		t.Add(string(section.Name), string(section.Owner), fmt.Sprint(section.Version))
	}
	p.Table(t)
	return exitDone, nil
}

// documentCheckCommand checks a change without making it.
type documentCheckCommand struct {
	sectionFile
}

func (*documentCheckCommand) examples() string {
	return `
  foxtaildock document check limits/tills limits.toml`
}

func (d *documentCheckCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	answer, err := d.check(ctx, s, c)
	if err != nil {
		return 0, err
	}
	return showCheck(c, answer, false)
}

// documentDiffCommand checks a change and shows the lines that it would change.
type documentDiffCommand struct {
	sectionFile
}

func (*documentDiffCommand) examples() string {
	return `
  foxtaildock document diff limits/tills limits.toml`
}

func (d *documentDiffCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	answer, err := d.check(ctx, s, c)
	if err != nil {
		return 0, err
	}
	return showCheck(c, answer, true)
}

// showCheck shows whether a change would be accepted and, if diff is true, the
// lines that it would change.
func showCheck(c *console, a *api.CheckAnswer, diff bool) (exitCode, error) {
	code := exitDone
	if !a.OK && a.Refusal != nil {
		code = refusalExit(&api.RefusedError{Refusal: *a.Refusal})
	}
	if c.json {
		return code, c.printJSON(a)
	}
	p := c.printer()
	switch {
	case a.OK:
		p.TextStyled(report.Good, "would be accepted")
	case a.Refusal != nil:
		printRefusal(p, a.Refusal)
	}
	if diff {
		printDiff(p, "this change", a.Diff)
	}
	return code, nil
}

// documentHistoryCommand lists the versions of a section.
type documentHistoryCommand struct {
	Section document.Name `arg:"positional,required" help:"such as domain/lulea"`
	Limit   int           `arg:"--limit" default:"10" help:"largest number of versions"`
	Diff    bool          `arg:"--diff" help:"show the lines that each change changed"`
}

func (*documentHistoryCommand) examples() string {
	return `
  Who changed the section, when, and how:
    foxtaildock document history domain/lulea --diff`
}

func (d *documentHistoryCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	client, err := s.operators(c)
	if err != nil {
		return 0, err
	}
	answer, err := client.History(ctx, d.Section, d.Limit)
	if err != nil {
		return 0, err
	}
	if c.json {
		return exitDone, c.printJSON(answer)
	}
	if d.Diff {
		printHistoryDiffs(c.printer(), answer.Sections)
		return exitDone, nil
	}
	c.printer().Table(historyTable(answer.Sections))
	return exitDone, nil
}

func historyTable(states []document.Section) *report.Table {
	t := &report.Table{Columns: []report.Column{{Title: "version", Right: true}, {Title: "when"}, {Title: "by"}, {Title: "change"}}}
	for _, state := range states {
		t.Add(fmt.Sprint(state.Version), formatUnix(state.AtUnix), state.By, stateWord(&state))
	}
	return t
}

// printHistoryDiffs writes the difference between each version and the one
// before it. states is ordered from the newest to the oldest.
func printHistoryDiffs(p *report.Printer, states []document.Section) {
	for i := range states {
		before := ""
		if i+1 < len(states) {
			before = states[i+1].Text
		}
		p.TextStyled(report.Bold, strconv.FormatUint(uint64(states[i].Version), 10)+" "+stateWord(&states[i]))
		p.Text(formatUnix(states[i].AtUnix) + " by " + states[i].By)
		printDiff(p, "", document.Diff(before, states[i].Text))
		p.Blank()
	}
}

func stateWord(s *document.Section) string {
	if s.Deleted {
		return "deleted"
	}
	return "set"
}
