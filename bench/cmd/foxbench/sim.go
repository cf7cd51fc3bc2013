package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"foxtaildock.example/dock/report"

	"foxtaildock.example/bench/sim"
)

// simCommand runs the decision cores in simulated time.
type simCommand struct {
	Scenario string        `arg:"--scenario" help:"run only this scenario"`
	Site     string        `arg:"--site" default:"norrbrand" help:"norrbrand or ufcs"`
	Seeds    int           `arg:"--seeds" default:"5" help:"number of seeds, from 1"`
	Length   time.Duration `arg:"--length" default:"200s" help:"simulated time during which jobs arrive"`
}

func (c *simCommand) run(context.Context) error {
	site, err := c.site()
	if err != nil {
		return err
	}
	scenarios := sim.Scenarios()
	if c.Scenario != "" {
		s, ok := sim.FindScenario(c.Scenario)
		if !ok {
			return fmt.Errorf("unknown scenario %q", c.Scenario)
		}
		scenarios = []sim.Scenario{s}
	}
	p := report.NewPrinter(os.Stdout, report.WidthFrom(os.Getenv), false)
	p.Text("Mean, p99 and p99 of single-task jobs relative to those of one ideal central queue without latency; " +
		"mean over seeds (lowest-highest).")
	for _, s := range scenarios {
		c.runScenario(p, site, s)
	}
	return nil
}

func (c *simCommand) site() (sim.Site, error) {
	for _, s := range []sim.Site{sim.Norrbrand(), sim.UFCS()} {
		if s.Name == c.Site {
			return s, nil
		}
	}
	return sim.Site{}, fmt.Errorf("unknown site %q, want norrbrand or ufcs", c.Site)
}

func (c *simCommand) runScenario(p *report.Printer, site sim.Site, s sim.Scenario) {
	p.Blank()
	p.Heading(fmt.Sprintf("%s, %s, load %.2f, %d seeds of %v", s.Name, site.Name, s.Load, c.Seeds, c.Length))
	for _, policy := range []sim.Policy{sim.PolicyRandom, sim.PolicyPowerOfTwoChoices, sim.PolicyShortestQueue} {
		reports := s.RunSeeds(site, policy, c.Seeds, c.Length)
		t := report.Table{Columns: []report.Column{{Title: string(policy)}, {Title: "mean (range)", Right: true}}}
		for _, f := range sim.Figures() {
			t.Add(f.Name, f.Format(sim.SpreadOf(reports, f.Value)))
		}
		p.Table(&t)
	}
}
