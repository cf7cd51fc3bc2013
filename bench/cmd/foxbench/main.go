// Command foxbench tests foxtaildock without a real site: demo, failure proofs,
// measurements, simulations and load. It also runs the stand-ins that simulate the
// platform, backend servers and network links.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // a guarantee was violated, or the command failed
	exitUsage  = 2
)

// errViolated means that the run ended and a guarantee was violated. The report has
// already named it, so exitCode prints nothing more.
var errViolated = errors.New("a guarantee was violated")

type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"start a small system, run jobs under faults, and print a report"`
	Prove    *proveCommand    `arg:"subcommand:prove" help:"run the failure proofs on real processes"`
	Measure  *measureCommand  `arg:"subcommand:measure" help:"measure response time, processor time and failures of real processes"`
	Sim      *simCommand      `arg:"subcommand:sim" help:"run the decision cores in simulated time"`
	Site     *siteCommand     `arg:"subcommand:site" help:"run a whole site in simulated time"`
	Soak     *soakCommand     `arg:"subcommand:soak" help:"inject faults into a site of real processes, and check its guarantees"`
	Load     *loadCommand     `arg:"subcommand:load" help:"run callers that submit jobs to running entries"`
	Platform *platformCommand `arg:"subcommand:platform" help:"stand-in for the platform"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"stand-in for one backend server"`
	Link     *linkCommand     `arg:"subcommand:link" help:"network links that delay, cut and silence connections"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "foxbench tests foxtaildock with stand-ins for the platform, backend servers and links.\n" +
		"Exit codes: 0 success, 1 a guarantee was violated or the command failed, 2 wrong usage."
}

// command is a subcommand.
type command interface {
	run(ctx context.Context) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := cmd.run(ctx)
	stop()
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for the error, and prints the error unless the report
// has already named it.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, errViolated) {
		fmt.Fprintln(os.Stderr, "foxbench:", err)
	}
	return exitFailed
}
