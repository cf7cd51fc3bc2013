// Command standins-2 plays one case of the review: it starts a small deployment of the
// system's own programs, with stand-ins for the platform, the executors and the clients, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trouble is false if the disruption is to be left out.
var trouble = os.Getenv("TROUBLE") != "0"

// caseLimit is how long a case may take.
const caseLimit = 110 * time.Second

// endOnSignal ends the processes of the case and the case itself when it is told to end, or takes
// too long.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(caseLimit):
	}
	started.endAll()
	fmt.Println("couldn't run: told to end, or out of time")
	os.Exit(failed)
}

// playCase plays a case. It returns the violations of the rule, or why it couldn't run.
type playCase func(rec *recorder) (violations []string, err error)

var cases = map[string]playCase{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(failed)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	go endOnSignal()
	violations, err := cases[os.Args[1]](rec)
	if err != nil {
		rec.add("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		os.Exit(failed)
	}
	for _, v := range violations {
		rec.add("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
	}
	if len(violations) > 0 {
		os.Exit(broken)
	}
	rec.add("held")
	fmt.Println("held")
	os.Exit(held)
}
