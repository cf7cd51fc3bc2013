// Command harness runs one case of the review: it starts entries and agents with the
// commands of the deploy file on loopback addresses, plays the platform, the executors and
// the clients, and checks a rule of the users' pages.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

// play runs a case. It returns an error if the case couldn't run.
type play func(ctx context.Context, dir string, rec *recorder, trouble bool) error

// reviewCase is a case and the rule that it checks; an empty rule stands for all rules.
type reviewCase struct {
	rule string
	play play
}

var cases = map[string]reviewCase{
	"cancel":   {"UNASKED", playCancel},
	"freeze":   {"Fault", playFreeze},
	"ping":     {"Fault", playPing},
	"restart":  {"ROUTE", playRestart},
	"torture":  {"", playTorture},
	"liveness": {"", playLiveness},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	c, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-"+*name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", filepath.Clean(dir))
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	endEarly(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption: %v", *name, trouble)
	if err := c.play(ctx, dir, rec, trouble); err != nil {
		rec.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitNotRun
	}
	return verdict(rec, c.rule)
}

// verdict reports what was seen, and whether the rule of the case was broken.
func verdict(rec *recorder, rule string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	broken := 0
	for _, b := range rec.breaches {
		if strings.HasPrefix(b, rule) {
			broken++
			fmt.Println(b)
		}
	}
	if broken > 0 {
		rec.line("result: the rule was broken (%d)", broken)
		return exitBroken
	}
	rec.line("result: the rule held")
	fmt.Println("held")
	return exitHeld
}

// endEarly ends all started processes, and this one, at a signal or if the case takes too
// long.
func endEarly(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		rec.logf("ended early")
		killAll()
		os.Exit(exitNotRun)
	}()
}
