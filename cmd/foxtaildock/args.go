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

// arguments is the command line. The options in shared may be given before or
// after the subcommand.
type arguments struct {
	Submit        *submitCommand        `arg:"subcommand:submit" help:"submit one job and wait for its answer"`
	Job           *jobCommand           `arg:"subcommand:job" help:"show a job, or wait for its answer"`
	Cancel        *cancelCommand        `arg:"subcommand:cancel" help:"start no further task of a job"`
	Load          *loadCommand          `arg:"subcommand:load" help:"submit many jobs and report their outcomes"`
	Status        *statusCommand        `arg:"subcommand:status" help:"show which versions are in force, and which processes are behind"`
	Report        *reportCommand        `arg:"subcommand:report" help:"show what was done, what was refused, and why"`
	Document      *documentCommand      `arg:"subcommand:document" help:"show, check and change the operators' document"`
	Withdraw      *withdrawCommand      `arg:"subcommand:withdraw" help:"take a failure domain out of service"`
	Restore       *restoreCommand       `arg:"subcommand:restore" help:"return a failure domain to service"`
	Drain         *drainCommand         `arg:"subcommand:drain" help:"take one backend server out of service"`
	Undrain       *undrainCommand       `arg:"subcommand:undrain" help:"return one backend server to service"`
	Audit         *auditCommand         `arg:"subcommand:audit" help:"show changes to the document, accepted and refused"`
	CheckSettings *checkSettingsCommand `arg:"subcommand:check-settings" help:"check settings files of foxtaildockd"`
	CheckManifest *checkManifestCommand `arg:"subcommand:check-manifest" help:"check a manifest before it is sent to the store"`
	shared
}

// shared contains the options that several commands use.
type shared struct {
	Entries   []string `arg:"--entry,separate,env:FOXTAILDOCK_ENTRIES" placeholder:"ADDRESS" help:"address of an entry, or of the load balancer, for callers; may be repeated"`
	Operators []string `arg:"--operators,separate,env:FOXTAILDOCK_OPERATORS" placeholder:"ADDRESS" help:"address of an entry for operators; may be repeated"`
	Team      string   `arg:"--team,env:FOXTAILDOCK_TEAM" help:"your team"`
	TokenFile string   `arg:"--token-file" placeholder:"FILE" help:"file with the team's token; without it FOXTAILDOCK_TOKEN is used"`
	JSON      bool     `arg:"--json" help:"write JSON instead of text"`
}

// command is implemented by each subcommand.
type command interface {
	run(ctx context.Context, s *shared, c *console) (exitCode, error)
	// examples returns the examples at the end of the command's help text.
	examples() string
}

// Description returns the first line of the help text.
func (arguments) Description() string {
	return "foxtaildock submits jobs of short tasks, and shows and changes how they are run.\n"
}

// run parses and runs one command line.
func run(ctx context.Context, argv []string, c *console) exitCode {
	args := &arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "foxtaildock"}, args)
	if err != nil {
		c.note("foxtaildock: %v", err)
		return exitError
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

// helpOrUsage writes the help text if --help was given. Otherwise it writes the
// error in the command line and the usage.
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
		return exitError
	}
	text := generalExamples
	if selected, ok := parser.Subcommand().(command); ok {
		text = selected.examples()
	}
	_, _ = fmt.Fprintf(c.out, "\nExamples:\n%s\n\n%s\n", strings.Trim(text, "\n"), exitHelp)
	return exitDone
}

// generalExamples are the examples in the help text without a subcommand.
const generalExamples = `
  export FOXTAILDOCK_ENTRIES=10.0.0.5:7000,10.0.0.6:7000
  export FOXTAILDOCK_TEAM=tills
  export FOXTAILDOCK_TOKEN=...
  foxtaildock submit --service serials --payload '{"book":7}'
  foxtaildock submit --help
  export FOXTAILDOCK_OPERATORS=10.0.0.5:7001,10.0.0.6:7001
  foxtaildock status
  foxtaildock withdraw lulea --reason 'power works'`

// client returns a client of the callers' interface. It returns a *usageError if
// the entries or the team are missing.
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

// token reads the token from the token file or the environment. There is no
// flag for the token itself, since every user of a machine can see the
// arguments of its processes.
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
