// Command foxtaildockd is the daemon of foxtaildock. As an entry it accepts jobs from
// callers and dispatches their tasks to agents. As an agent it runs beside one backend
// server and starts tasks there.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"foxtaildock.example/dock/daemon"
	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/settings"
	"foxtaildock.example/dock/telemetry"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// roleArgs are the arguments of the subcommands entry and agent.
type roleArgs struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"the TOML settings file; see docs/examples. If it is not given, the process runs on the users' platform with the settings file whose path is in FOXTAILDOCK_NODE_FILE"`
}

// checkArgs are the arguments of the subcommand check-settings.
type checkArgs struct {
	Role     string `arg:"positional,required" help:"entry, agent, or platform for a file of the users' platform"`
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the TOML settings file"`
}

type arguments struct {
	Entry *roleArgs  `arg:"subcommand:entry" help:"run an entry, which accepts jobs from callers and changes from operators"`
	Agent *roleArgs  `arg:"subcommand:agent" help:"run an agent, the process beside a backend server that starts tasks there"`
	Check *checkArgs `arg:"subcommand:check-settings" help:"check a settings file and report all problems in it"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "foxtaildockd dispatches sub-second tasks: each starts at most once, and each caller gets a complete answer.\n"
}

// Epilogue is shown by --help.
func (arguments) Epilogue() string {
	return `Examples:
  foxtaildockd check-settings agent --settings /etc/foxtaildock/agent.toml
  foxtaildockd agent --settings /etc/foxtaildock/agent.toml

SIGTERM or SIGINT stops the process gracefully: work in flight is finished first. On the
users' platform SIGHUP reloads the settings file.
Logs are JSON lines, on standard output on the users' platform, else on standard error.
Exit codes: 0 stopped gracefully, 1 failed, 2 invalid settings or arguments.
`
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case args.Entry != nil && args.Entry.Settings == "":
		return runOnPlatform(ctx, telemetry.RoleEntry, daemon.RunPlatformEntry)
	case args.Agent != nil && args.Agent.Settings == "":
		return runOnPlatform(ctx, telemetry.RoleAgent, daemon.RunPlatformAgent)
	case args.Entry != nil:
		return runEntry(ctx, args.Entry.Settings)
	case args.Agent != nil:
		return runAgent(ctx, args.Agent.Settings)
	case args.Check != nil:
		return check(args.Check)
	}
	parser.WriteHelp(os.Stderr)
	return exitSettings
}

// platformRole runs an entry or an agent on the users' platform.
type platformRole func(context.Context, *platform.Settings, string, *telemetry.Logger) error

// runOnPlatform runs a role on the users' platform, with the settings file whose path
// is in the environment variable.
func runOnPlatform(ctx context.Context, role telemetry.Role, run platformRole) int {
	signal.Ignore(syscall.SIGHUP) // until the role handles it; it would end the process
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fail(fmt.Errorf("no settings file: give --settings, or set %s to its path", platform.SettingsVariable), exitSettings)
	}
	set, err := platform.LoadSettings(path)
	if err != nil {
		return fail(err, exitSettings)
	}
	lines := telemetry.NewBoundedWriter(os.Stdout)
	defer lines.Close()
	log, err := telemetry.NewLogger(role, "info", lines)
	if err != nil {
		return fail(err, exitSettings)
	}
	if err := run(ctx, set, path, log); err != nil {
		log.Error("process failed", telemetry.Err(err))
		return exitFailed
	}
	return exitOK
}

func runEntry(ctx context.Context, path string) int {
	set, err := settings.LoadEntry(path)
	if err != nil {
		return fail(err, exitSettings)
	}
	log, err := telemetry.NewLogger(telemetry.RoleEntry, set.Log.Level, os.Stderr)
	if err != nil {
		return fail(err, exitSettings)
	}
	if err := daemon.RunEntry(ctx, set, log); err != nil {
		log.Error("entry failed", telemetry.Err(err))
		return exitFailed
	}
	return exitOK
}

func runAgent(ctx context.Context, path string) int {
	set, err := settings.LoadAgent(path)
	if err != nil {
		return fail(err, exitSettings)
	}
	log, err := telemetry.NewLogger(telemetry.RoleAgent, set.Log.Level, os.Stderr)
	if err != nil {
		return fail(err, exitSettings)
	}
	if err := daemon.RunAgent(ctx, set, log); err != nil {
		log.Error("agent failed", telemetry.Err(err))
		return exitFailed
	}
	return exitOK
}

func check(args *checkArgs) int {
	var err error
	switch args.Role {
	case "entry":
		_, err = settings.LoadEntry(args.Settings)
	case "agent":
		_, err = settings.LoadAgent(args.Settings)
	case "platform":
		_, err = platform.LoadSettings(args.Settings)
	default:
		err = fmt.Errorf("unknown role %q, want entry, agent or platform", args.Role)
	}
	if err != nil {
		return fail(err, exitSettings)
	}
	fmt.Printf("%s: ok\n", args.Settings)
	return exitOK
}

func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}
