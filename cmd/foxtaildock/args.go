package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"foxtaildock.example/dock/api"
)

// arguments is the command line. Options that several commands share stand
// before or after the command.
type arguments struct {
	Submit        *submitCommand        `arg:"subcommand:submit" help:"submit one job and wait for its whole answer"`
	Job           *jobCommand           `arg:"subcommand:job" help:"show a job, or wait for its answer"`
	Cancel        *cancelCommand        `arg:"subcommand:cancel" help:"start no further task of a job"`
	Load          *loadCommand          `arg:"subcommand:load" help:"submit many jobs and report what became of them"`
	Status        *statusCommand        `arg:"subcommand:status" help:"show what is in force where, and who is behind"`
	Report        *reportCommand        `arg:"subcommand:report" help:"show what was done, what was refused, and why"`
	Document      *documentCommand      `arg:"subcommand:document" help:"show, check and change the operators' document"`
	Withdraw      *withdrawCommand      `arg:"subcommand:withdraw" help:"take a failure domain out of service"`
	Restore       *restoreCommand       `arg:"subcommand:restore" help:"return a failure domain to service"`
	Drain         *drainCommand         `arg:"subcommand:drain" help:"take one backend server out of service"`
	Undrain       *undrainCommand       `arg:"subcommand:undrain" help:"return one backend server to service"`
	Audit         *auditCommand         `arg:"subcommand:audit" help:"show who changed or tried to change what"`
	CheckSettings *checkSettingsCommand `arg:"subcommand:check-settings" help:"check settings files of the daemons"`
	shared
}

// shared is the options of several commands.
type shared struct {
	Entries   []string `arg:"--entry,separate,env:FOXTAILDOCK_ENTRIES" placeholder:"ADDRESS" help:"callers' address of an entry or the balancer; may be repeated"`
	Operators []string `arg:"--operators,separate,env:FOXTAILDOCK_OPERATORS" placeholder:"ADDRESS" help:"operators' address of an entry; may be repeated"`
	Team      string   `arg:"--team,env:FOXTAILDOCK_TEAM" help:"your team"`
	TokenFile string   `arg:"--token-file" placeholder:"FILE" help:"file with the team's token; else FOXTAILDOCK_TOKEN is used"`
	JSON      bool     `arg:"--json" help:"write JSON for a program"`
}

// command is what each subcommand does.
type command interface {
	run(ctx context.Context, s *shared, c *console) (exitCode, error)
	// examples is the end of the command's help.
	examples() string
}

// Description starts the help text.
func (arguments) Description() string {
	return "foxtaildock submits jobs of short tasks, and shows and changes how they are run.\n"
}

// run runs one command line.
func run(ctx context.Context, argv []string, c *console) exitCode {
	args := &arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "foxtaildock"}, args)
	if err != nil {
		c.note("foxtaildock: %v", err)
		return exitBroken
	}
	if err := parser.Parse(argv); err != nil {
		return helpOrUsage(parser, err, c)
	}
	selected, ok := parser.Subcommand().(command)
	if !ok {
		return writeHelp(parser, c)
	}
	c.json = args.JSON
	code, err := selected.run(ctx, &args.shared, c)
	if err != nil {
		c.note("foxtaildock: %v", err)
		return errorExit(err)
	}
	return code
}

// helpOrUsage answers --help, or says what is wrong with the command line.
func helpOrUsage(parser *arg.Parser, err error, c *console) exitCode {
	if errors.Is(err, arg.ErrHelp) {
		return writeHelp(parser, c)
	}
	c.note("foxtaildock: %v", err)
	_ = parser.WriteUsageForSubcommand(c.err, parser.SubcommandNames()...)
	return exitUsage
}

func writeHelp(parser *arg.Parser, c *console) exitCode {
	if err := parser.WriteHelpForSubcommand(c.out, parser.SubcommandNames()...); err != nil {
		c.note("foxtaildock: %v", err)
		return exitBroken
	}
	text := generalExamples
	if selected, ok := parser.Subcommand().(command); ok {
		text = selected.examples()
	}
	_, _ = fmt.Fprintf(c.out, "\nExamples:\n%s\n\n%s\n", strings.Trim(text, "\n"), exitHelp)
	return exitDone
}

// generalExamples ends the help text without a command.
const generalExamples = `
  export FOXTAILDOCK_ENTRIES=10.0.0.5:7000,10.0.0.6:7000
  export FOXTAILDOCK_TEAM=tills
  export FOXTAILDOCK_TOKEN=...
  foxtaildock submit --service serials --payload '{"book":7}'
  foxtaildock submit --help
  export FOXTAILDOCK_OPERATORS=10.0.0.5:7001,10.0.0.6:7001
  foxtaildock status
  foxtaildock withdraw lulea --reason 'power works'`

// client returns a client of the callers' interface.
func (s *shared) client(c *console) (*api.Client, error) {
	if len(s.Entries) == 0 {
		return nil, &usageError{"no entry given; use --entry 10.0.0.5:7000 or FOXTAILDOCK_ENTRIES"}
	}
	if s.Team == "" {
		return nil, &usageError{"no team given; use --team or FOXTAILDOCK_TEAM"}
	}
	token, err := s.token(c)
	if err != nil {
		return nil, err
	}
	client, err := api.NewClient(api.ClientOptions{Entries: s.Entries, Token: token})
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return client, nil
}

// token reads the token. It is never an argument, since arguments are seen by
// every user of a machine.
func (s *shared) token(c *console) (string, error) {
	if s.TokenFile == "" {
		return c.getenv("FOXTAILDOCK_TOKEN"), nil
	}
	text, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return "", fmt.Errorf("reading the token: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}
