package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/load"
)

// The demo: jobs, and the numbers of answered jobs at which things happen.
const (
	demoJobs       = 200
	demoMaxTasks   = 100
	demoMinRun     = 5 * time.Millisecond
	demoMaxRun     = 60 * time.Millisecond
	demoDeadline   = 60 * time.Second
	demoInterval   = 100 * time.Millisecond
	demoWithdrawAt = 40
	demoOutTime    = 6 * time.Second
	demoKillAt     = 130
)

// Demo runs the demo, tells its progress, and prints a short report. The error
// says what did not hold.
func Demo(ctx context.Context, opts Options, out io.Writer) error {
	began := time.Now()
	step := func(format string, args ...any) {
		fmt.Fprintf(out, "%5.1fs "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
	}
	shape := usual()
	step("starting %d entries, %d agents", shape.Entries, shape.Agents)
	bed, err := NewBed(ctx, opts, "demo", shape)
	if err != nil {
		return err
	}
	defer bed.Close()
	bed.setDemoLoad()
	step("%d jobs of 1 to %d tasks", demoJobs, demoMaxTasks)
	bed.StartLoad(ctx)
	window, err := bed.demoEvents(ctx, step)
	if err != nil {
		bed.StopLoad()
		return err
	}
	bed.WaitLoad()
	step("all jobs answered")
	domain := bed.Cluster.Agents[1].Domain
	err = errors.Join(bed.Verify(), bed.demoComplete(), bed.noStarts(window, inDomain(domain)))
	return errors.Join(err, bed.demoReport(out, err))
}

func (b *Bed) setDemoLoad() {
	w := &b.Load.Workload
	w.Prefix = "demo"
	w.Jobs = demoJobs
	w.MaxTasks = demoMaxTasks
	w.MinRun = demoMinRun
	w.MaxRun = demoMaxRun
	w.Deadline = demoDeadline
	b.Load.Interval = demoInterval
	b.Load.Caller.Patience = demoDeadline / 6
}

// demoEvents withdraws and restores a failure domain and kills an agent. It
// returns the window in which nothing may start in the domain.
func (b *Bed) demoEvents(ctx context.Context, step func(string, ...any)) (window, error) {
	domain := b.Cluster.Agents[1].Domain
	if err := b.WaitResults(ctx, time.Time{}, demoWithdrawAt); err != nil {
		return window{}, err
	}
	accepted, err := b.Operators.SetDomain(ctx, domain, false)
	if err != nil {
		return window{}, err
	}
	step("%s withdrawn", domain)
	hold(ctx, demoOutTime)
	out := window{from: accepted.Add(forceLimit), to: time.Now()}
	if _, err := b.Operators.SetDomain(ctx, domain, true); err != nil {
		return out, err
	}
	step("%s restored", domain)
	if err := b.WaitResults(ctx, time.Time{}, demoKillAt); err != nil {
		return out, err
	}
	victim := b.Cluster.Agents[2]
	if err := errors.Join(victim.Kill(), victim.Backend.Kill()); err != nil {
		return out, err
	}
	step("%s killed, its server too", victim.Name)
	return out, nil
}

// demoComplete checks that every job was answered and that failures are of the
// kind that a killed agent explains.
func (b *Bed) demoComplete() error {
	results := b.Results()
	if len(results) != demoJobs {
		return fmt.Errorf("%d of %d jobs have a result", len(results), demoJobs)
	}
	for _, r := range results {
		if r.Outcome == load.Rejected {
			return fmt.Errorf("%s was rejected: %s", r.Job.Key, r.Detail)
		}
	}
	return nil
}

// demoReport prints the report for a phone's width.
func (b *Bed) demoReport(out io.Writer, bad error) error {
	starts, err := b.Cluster.Starts()
	if err != nil {
		return err
	}
	slots := len(b.Cluster.Agents) * b.Cluster.Spec.Slots
	fmt.Fprintln(out, "\n"+strings.TrimRight(load.Summarize(b.Results(), slots).Text(), "\n"))
	fmt.Fprintf(out, "starts    %d\n", len(starts))
	fmt.Fprintf(out, "double    %d\n", len(backend.Doubles(starts)))
	if bad == nil {
		fmt.Fprintln(out, "verdict   all held")
		return nil
	}
	fmt.Fprintln(out, "verdict   FELL SHORT")
	return nil
}
