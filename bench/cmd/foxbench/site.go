package main

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"

	"foxtaildock.example/bench/sitesim"
)

// siteCommand runs the scenarios of the site model.
type siteCommand struct {
	Scenario string `arg:"--scenario" help:"run only this scenario"`
	Seeds    int    `arg:"--seeds" default:"6" help:"number of seeds per scenario, from 1"`
	Kinds    bool   `arg:"--kinds" help:"print a line for each kind of job, of the first seed"`
	Table    bool   `arg:"--table" help:"print what callers got by kind, size, window and entry, beside the baseline and the bound"`
}

// scenarios returns the scenarios to run. It returns an error that names the flag with an
// impossible value.
func (c *siteCommand) scenarios() ([]sitesim.Scenario, error) {
	if c.Seeds < 1 {
		return nil, fmt.Errorf("--seeds is %d, want 1 or more", c.Seeds)
	}
	all := sitesim.Scenarios()
	if c.Scenario == "" {
		return all, nil
	}
	var names []string
	for _, sc := range all {
		if sc.Name == c.Scenario {
			return []sitesim.Scenario{sc}, nil
		}
		names = append(names, sc.Name)
	}
	return nil, fmt.Errorf("--scenario is %q, want one of %s", c.Scenario, strings.Join(names, ", "))
}

// run runs the scenarios and prints a line of means for each.
func (c *siteCommand) run(context.Context) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	fmt.Printf("%-10s %-15s %7s %7s %7s %7s %7s\n", "scenario", "benefit", "served", "held", "net", "wasted", "broken")
	failed := false
	for _, sc := range scenarios {
		failed = c.runScenario(sc) || failed
	}
	if failed {
		return errViolated
	}
	return nil
}

// runScenario runs one scenario with every seed, and prints the means and the violations.
// It reports whether there were any.
func (c *siteCommand) runScenario(sc sitesim.Scenario) (violated bool) {
	results := make([]*sitesim.Result, c.Seeds)
	violations := make([][]string, c.Seeds)
	var wait sync.WaitGroup
	for i := range c.Seeds {
		wait.Go(func() {
			r, v, err := sc.Run(uint64(i) + 1)
			if err != nil {
				v = append(v, err.Error())
			}
			results[i], violations[i] = r, v
		})
	}
	wait.Wait()
	var benefit, square, served, rejectedLate, wasted float64
	count := 0
	for i, r := range results {
		count += len(violations[i])
		if r == nil {
			continue
		}
		benefit += r.Benefit
		square += r.Benefit * r.Benefit
		served += r.Served
		rejectedLate += r.RejectedLate
		wasted += r.Wasted
	}
	n := float64(c.Seeds)
	spread := math.Sqrt(max(0, square/n-benefit/n*benefit/n))
	fmt.Printf("%-10s %.3f +- %.3f  %7.4f %7.4f %7.4f %7.4f %7d\n", sc.Name, benefit/n, spread, served/n, rejectedLate/n, (benefit-rejectedLate/2)/n, wasted/n, count)
	if c.Kinds && results[0] != nil {
		for _, k := range results[0].Kinds {
			fmt.Printf("    %-6s jobs %5d in target %5d late %4d rejected %4d (mean after %4.0f ms) failed %d timed out %d p50 %v p99 %v worth %.3f\n",
				k.Name, k.Jobs, k.WithinObjective, k.Late, k.Rejected, k.RejectedAfter, k.Failed, k.TimedOut, k.P50.Round(1e6), k.P99.Round(1e6), k.Worth)
		}
	}
	if c.Table {
		if err := c.printTable(sc, results); err != nil {
			violations = append(violations, []string{err.Error()})
			count++
		}
	}
	for _, list := range violations {
		for _, line := range list {
			fmt.Println("    violation:", line)
		}
	}
	return count > 0
}
