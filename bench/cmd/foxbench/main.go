// Command foxbench drives foxtaildock on stand-ins: demo, proofs, load, and the
// stand-ins themselves.
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
	exitFailed = 1 // a promise fell short, or a stand-in failed
	exitUsage  = 2
)

// errFellShort means that the run ended and a promise did not hold. The report
// has already said which.
var errFellShort = errors.New("fell short")

type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"start a small system, run jobs through faults, report"`
	Prove    *proveCommand    `arg:"subcommand:prove" help:"run the failure proofs on real processes"`
	Measure  *measureCommand  `arg:"subcommand:measure" help:"take figures of real processes"`
	Sim      *simCommand      `arg:"subcommand:sim" help:"step the decision cores in simulated time"`
	Site     *siteCommand     `arg:"subcommand:site" help:"play a whole site in simulated time"`
	Soak     *soakCommand     `arg:"subcommand:soak" help:"do harm to a site of real processes, and check its promises"`
	Load     *loadCommand     `arg:"subcommand:load" help:"drive callers against running entries"`
	Platform *platformCommand `arg:"subcommand:platform" help:"stand-in for the platform"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"stand-in for one backend server"`
	Link     *linkCommand     `arg:"subcommand:link" help:"links that delay, cut and go silent"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "foxbench drives foxtaildock on stand-ins.\n" +
		"Exit codes: 0 all held, 1 something fell short, 2 wrong usage."
}

// command is one subcommand.
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

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, errFellShort) {
		fmt.Fprintln(os.Stderr, "foxbench:", err)
	}
	return exitFailed
}
