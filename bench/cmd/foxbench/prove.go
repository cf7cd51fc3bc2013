package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"foxtaildock.example/bench/proof"
)

type proveCommand struct {
	Only   string `arg:"--only" help:"run only proofs whose name contains this"`
	List   bool   `arg:"--list" help:"list the proofs and run none"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the load"`
	Jobs   int    `arg:"--jobs" default:"4" help:"proofs that run concurrently; each needs about one core"`
	Daemon string `arg:"--daemon" help:"path of foxtaildockd [default: beside foxbench]"`
	Dir    string `arg:"--dir" help:"directory for settings, logs and ledgers [default: a new one]"`
}

func (c *proveCommand) run(ctx context.Context) error {
	proofs := proof.Select(proof.All(), c.Only)
	if c.List {
		for _, p := range proofs {
			fmt.Printf("%-32s %s | %s\n", p.Name, p.Guarantee, p.Scenario)
		}
		return nil
	}
	if len(proofs) == 0 {
		return fmt.Errorf("no proof has %q in its name; see --list", c.Only)
	}
	opts, err := proofOptions(c.Daemon, c.Dir, c.Seed)
	if err != nil {
		return err
	}
	counts := make(map[proof.Verdict]int)
	for report := range executeAll(ctx, opts, proofs, c.Jobs) {
		fmt.Println(report.Text())
		counts[report.Verdict]++
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	fmt.Printf("%d proofs: %d held, %d fell short, %d not run\n",
		len(proofs), counts[proof.Passed], counts[proof.Failed], counts[proof.NotRun])
	if counts[proof.Passed] < len(proofs) {
		return errViolated
	}
	return nil
}

// executeAll runs up to jobs proofs concurrently and yields their reports as they end.
func executeAll(ctx context.Context, opts proof.Options, proofs []proof.Proof, jobs int) <-chan proof.Report {
	reports := make(chan proof.Report)
	var group errgroup.Group
	group.SetLimit(max(1, jobs))
	go func() {
		defer close(reports)
		for _, p := range proofs {
			group.Go(func() error {
				if ctx.Err() == nil {
					reports <- proof.Execute(ctx, opts, p)
				}
				return nil
			})
		}
		_ = group.Wait()
	}()
	return reports
}

// proofOptions fills in the defaults of the paths: foxtaildockd beside this binary, and a
// new directory. It returns an error if there is no foxtaildockd.
func proofOptions(daemon, dir string, seed uint64) (proof.Options, error) {
	bench, err := os.Executable()
	if err != nil {
		return proof.Options{}, err
	}
	if daemon == "" {
		daemon = filepath.Join(filepath.Dir(bench), "foxtaildockd")
	}
	if _, err := os.Stat(daemon); err != nil {
		return proof.Options{}, errors.New("foxtaildockd not found: build it beside foxbench, or pass --daemon PATH")
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "foxbench-"); err != nil {
			return proof.Options{}, err
		}
	}
	return proof.Options{
		Daemon: daemon,
		Bench:  bench,
		Dir:    dir,
		Seed:   seed,
	}, nil
}
