package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/load"

	"foxtaildock.example/dock/pause"
)

// The workload of the demo, and the numbers of answered jobs (demoWithdrawAt, demoKillAt)
// at which a failure domain is withdrawn and an agent is killed.
const (
	demoJobs          = 200
	demoMaxTasks      = 100
	demoMinRun        = 5 * time.Millisecond
	demoMaxRun        = 60 * time.Millisecond
	demoDeadline      = 60 * time.Second
	demoInterval      = 100 * time.Millisecond
	demoWithdrawAt    = 40
	demoWithdrawnTime = 6 * time.Second
	demoKillAt        = 130
	demoPrefix        = "demo"
)

// Demo runs the demo, prints its progress and a short report. The error says why it
// could not run or which checks failed.
func Demo(ctx context.Context, opts Options, out io.Writer) error {
	began := time.Now()
	step := func(format string, args ...any) {
		fmt.Fprintf(out, "%5.1fs "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
	}
	spec := defaultSpec()
	step("starting %d entries, %d agents", spec.Entries, spec.Agents)
	bed, err := NewTestbed(ctx, opts, "demo", spec)
	if err != nil {
		return err
	}
	defer bed.Close()
	bed.setDemoLoad()
	step("%d jobs of 1 to %d tasks", demoJobs, demoMaxTasks)
	loaded := time.Now()
	bed.StartLoad(ctx)
	events, err := bed.demoEvents(ctx, loaded, step)
	if err != nil {
		bed.StopLoad()
		return err
	}
	bed.WaitLoad()
	step("all jobs answered")
	domain := bed.Cluster.Agents[1].Domain
	err = errors.Join(bed.Verify(), bed.checkDemoAnswers(events.killed), bed.checkNoStarts(events.withdrawn, inDomain(domain)))
	return errors.Join(err, bed.demoReport(out, err))
}

func (b *Testbed) setDemoLoad() {
	w := &b.Load.Workload
	w.Prefix = demoPrefix
	w.Jobs = demoJobs
	w.MaxTasks = demoMaxTasks
	w.MinRun = demoMinRun
	w.MaxRun = demoMaxRun
	w.Deadline = demoDeadline
	b.Load.Interval = demoInterval
	b.Load.Caller.AttemptTimeout = demoDeadline / 6
}

// demoTimes holds the times of the faults in the demo.
type demoTimes struct {
	// withdrawn is the window in which no task may start in the withdrawn domain.
	withdrawn window
	killed    time.Time
}

// demoEvents withdraws and restores a failure domain and kills an agent.
func (b *Testbed) demoEvents(ctx context.Context, loaded time.Time, step func(string, ...any)) (demoTimes, error) {
	var times demoTimes
	domain := b.Cluster.Agents[1].Domain
	if err := b.WaitResults(ctx, loaded, demoWithdrawAt); err != nil {
		return times, err
	}
	accepted, err := b.Operators.SetDomain(ctx, domain, false)
	if err != nil {
		return times, err
	}
	step("%s withdrawn", domain)
	pause.For(ctx, demoWithdrawnTime)
	times.withdrawn = window{from: accepted.Add(propagationLimit), to: time.Now()}
	if _, err := b.Operators.SetDomain(ctx, domain, true); err != nil {
		return times, err
	}
	step("%s restored", domain)
	if err := b.WaitResults(ctx, loaded, demoKillAt); err != nil {
		return times, err
	}
	victim := b.Cluster.Agents[2]
	times.killed = time.Now()
	if err := errors.Join(victim.Kill(), victim.Backend.Kill()); err != nil {
		return times, err
	}
	step("%s killed, with its backend server", victim.Name)
	return times, nil
}

// checkDemoAnswers checks that every job has an answer, and that every answer before
// the kill is complete: a planned withdrawal makes no job fail.
func (b *Testbed) checkDemoAnswers(killed time.Time) error {
	results := b.demoResults()
	if len(results) != demoJobs {
		return fmt.Errorf("%d of %d jobs have a result", len(results), demoJobs)
	}
	for _, r := range results {
		early := r.FirstSent.Add(r.Took).Before(killed)
		if r.Outcome == load.Rejected || early && r.Outcome != load.Complete {
			return notCompleteError(r)
		}
	}
	return nil
}

// demoResults returns the results without those of the warm-up jobs of NewTestbed.
func (b *Testbed) demoResults() []load.Result {
	return slices.DeleteFunc(b.Results(), func(r load.Result) bool {
		return !strings.HasPrefix(r.Job.Key, demoPrefix)
	})
}

// demoReport prints the report, in lines narrow enough for a phone.
func (b *Testbed) demoReport(out io.Writer, bad error) error {
	starts, err := b.Cluster.Starts()
	if err != nil {
		return err
	}
	slots := len(b.Cluster.Agents) * b.Cluster.Spec.Slots
	fmt.Fprintln(out, "\n"+strings.TrimRight(load.Summarize(b.demoResults(), slots).Text(), "\n"))
	fmt.Fprintf(out, "starts    %d\n", len(starts))
	fmt.Fprintf(out, "double    %d\n", len(backend.Duplicates(starts)))
	if bad == nil {
		fmt.Fprintln(out, "verdict   all held")
		return nil
	}
	fmt.Fprintln(out, "verdict   FELL SHORT")
	return nil
}
