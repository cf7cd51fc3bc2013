// Package proof tests the guarantees of foxtaildock under faults, on real processes.
// Each proof starts a system of its own, puts it under load by callers that resubmit,
// injects faults, and compares the answers that the callers got with the starts that
// the backend servers recorded in their ledgers.
package proof

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/load"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/pause"
)

const (
	// team and service are the client account that submits the load and the
	// service that its tasks need.
	team    = "norrbrand"
	service = "serial"
	// startTimeout bounds the start of a system.
	startTimeout = 30 * time.Second
	// warmUpJobs is the number of jobs that must be answered before the fault.
	warmUpJobs = 30
	// settleTime is how long after the end of a fault jobs may still fail or be
	// refused because of it.
	settleTime = 6 * time.Second
	// recoveredJobs is the number of jobs sent after settleTime that must all
	// be complete.
	recoveredJobs = 30
	// recoveryTimeout bounds one wait for results.
	recoveryTimeout = 60 * time.Second
	// probeTimeout bounds one check whether an entry accepts the token of the
	// first document.
	probeTimeout = time.Second
	// pollInterval is the time between two polls.
	pollInterval = 20 * time.Millisecond
)

// Options configures the run of proofs.
type Options struct {
	// Daemon and Bench are the paths of foxtaildockd and foxbench.
	Daemon string
	Bench  string
	// Dir is the parent of the directories of the proofs, one for each.
	Dir string
	// Seed is the seed of the workload.
	Seed uint64
}

// Testbed is one running system with the driver of its load and the results so far.
type Testbed struct {
	Cluster   *cluster.Cluster
	Operators *Operators
	Token     string
	Dir       string

	// Load drives the callers. It may be changed before StartLoad.
	Load load.Driver

	mu      sync.Mutex
	results []load.Result
	cancel  context.CancelFunc
	ended   chan struct{}
}

// NewTestbed starts a system in a directory of its own, writes its first operators'
// document, and waits until jobs complete. It returns an error if one of these steps
// fails or they take longer than startTimeout in all.
func NewTestbed(ctx context.Context, opts Options, name string, spec cluster.Spec) (*Testbed, error) {
	spec.Daemon = opts.Daemon
	spec.Bench = opts.Bench
	spec.Dir = filepath.Join(opts.Dir, name)
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, err
	}
	system, err := cluster.New(spec)
	if err != nil {
		return nil, err
	}
	b := &Testbed{Cluster: system, Dir: spec.Dir}
	if err := b.start(ctx); err != nil {
		system.Close()
		return nil, err
	}
	b.Load = b.defaultLoad(opts.Seed)
	return b, nil
}

func (b *Testbed) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := b.Cluster.Start(ctx); err != nil {
		return err
	}
	var err error
	b.Operators, b.Token, err = prepareOperators(ctx, b.Cluster, team, service)
	if err != nil {
		return fmt.Errorf("write the first document: %w", err)
	}
	if err := b.waitAuthorized(ctx); err != nil {
		return err
	}
	return b.waitJobsComplete(ctx)
}

// waitJobsComplete submits warmUpJobs jobs of one task and returns an error unless all
// are complete. A daemon that reports ready may still refuse jobs for a moment, with a
// retry-after time, so refused jobs are retried.
func (b *Testbed) waitJobsComplete(ctx context.Context) error {
	driver := load.Driver{
		Caller: &load.Caller{
			Entries:        b.Cluster.CallerAddresses(),
			Token:          b.Token,
			AttemptTimeout: startTimeout,
			RetryRefused:   true,
		},
		Workload: load.Workload{
			Prefix:   "warm",
			Team:     team,
			Service:  service,
			Jobs:     warmUpJobs,
			MinTasks: 1,
			MaxTasks: 1,
			Deadline: startTimeout,
		},
		Concurrency: 1,
	}
	results := driver.Run(ctx)
	for _, r := range results {
		b.addResult(r)
	}
	return firstNotComplete(results)
}

// waitAuthorized waits until every entry accepts the caller's token, which is in the
// first document.
func (b *Testbed) waitAuthorized(ctx context.Context) error {
	probe := &load.Caller{Entries: b.Cluster.CallerAddresses(), Token: b.Token, AttemptTimeout: probeTimeout}
	probe.Open()
	defer probe.Close()
	for i := range b.Cluster.Entries {
		for {
			err := probe.Authorized(ctx, team, i)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not accept the caller's token of the first document: %w", b.Cluster.Entries[i].Name, err)
			}
			pause.For(ctx, pollInterval)
		}
	}
	return nil
}

// defaultLoad keeps three backend servers of 8 slots each a little over half busy.
func (b *Testbed) defaultLoad(seed uint64) load.Driver {
	return load.Driver{
		Caller: &load.Caller{
			Entries:        b.Cluster.CallerAddresses(),
			Token:          b.Token,
			AttemptTimeout: 4 * time.Second,
			GiveUpAfter:    20 * time.Second,
			DuplicateShare: 0.1,
		},
		Workload: load.Workload{
			Seed:     seed,
			Prefix:   "proof",
			Team:     team,
			Service:  service,
			Jobs:     100_000,
			MinTasks: 1,
			MaxTasks: 20,
			MinRun:   20 * time.Millisecond,
			MaxRun:   200 * time.Millisecond,
			Deadline: 20 * time.Second,
		},
		Concurrency: 64,
		Interval:    80 * time.Millisecond,
	}
}

// StartLoad starts the load in the background.
func (b *Testbed) StartLoad(ctx context.Context) {
	ctx, b.cancel = context.WithCancel(ctx)
	b.ended = make(chan struct{})
	b.Load.OnResult = b.addResult
	go func() {
		defer close(b.ended)
		b.Load.Run(ctx)
	}()
}

func (b *Testbed) addResult(r load.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, r)
}

// StopLoad stops submitting new jobs and waits for those in flight.
func (b *Testbed) StopLoad() {
	b.cancel()
	<-b.ended
}

// WaitLoad waits until the workload is finished.
func (b *Testbed) WaitLoad() { <-b.ended }

// Results returns the results so far.
func (b *Testbed) Results() []load.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]load.Result(nil), b.results...)
}

// WaitResults waits until n jobs that were first sent after the given time have
// their results, or the workload is finished.
func (b *Testbed) WaitResults(ctx context.Context, after time.Time, n int) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if got := len(sentAfter(b.Results(), after)); got >= n {
			return nil
		}
		select {
		case <-ticker.C:
		case <-b.ended:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("%d of %d jobs answered: %w", len(sentAfter(b.Results(), after)), n, ctx.Err())
		}
	}
}

func sentAfter(results []load.Result, t time.Time) []load.Result {
	var out []load.Result
	for _, r := range results {
		if r.FirstSent.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// Verify checks the guarantees that hold in every proof. The error lists each violation.
func (b *Testbed) Verify() error {
	starts, err := b.Cluster.Starts()
	if err != nil {
		return err
	}
	var all []error
	for _, v := range load.Verify(b.Results(), starts) {
		all = append(all, fmt.Errorf("%s: %s", v.Guarantee, v.Detail))
	}
	return errors.Join(all...)
}

// Close kills all processes and writes the results to results.jsonl in Dir.
func (b *Testbed) Close() {
	b.Cluster.Close()
	_ = load.WriteResults(filepath.Join(b.Dir, "results.jsonl"), b.Results())
}

// RunUnderLoad starts the load, calls inject once warmUpJobs are complete, waits until
// jobs are answered again, and checks the guarantees. Every job first sent later than
// settleTime after the end of inject must be complete, except as firstNotRecovered says.
func (b *Testbed) RunUnderLoad(ctx context.Context, inject func(context.Context) error) error {
	began := time.Now()
	b.StartLoad(ctx)
	err := b.injectAndRecover(ctx, began, inject)
	b.StopLoad()
	return errors.Join(err, b.Verify())
}

func (b *Testbed) injectAndRecover(ctx context.Context, began time.Time, inject func(context.Context) error) error {
	if err := b.WaitResults(ctx, began, warmUpJobs); err != nil {
		return fmt.Errorf("before the fault: %w", err)
	}
	if bad := firstNotComplete(b.Results()); bad != nil {
		return fmt.Errorf("before the fault: %w", bad)
	}
	if err := inject(ctx); err != nil {
		return err
	}
	settled := time.Now().Add(settleTime)
	if err := b.WaitResults(ctx, settled, recoveredJobs); err != nil {
		return fmt.Errorf("after the fault: %w", err)
	}
	if bad := firstNotRecovered(sentAfter(b.Results(), settled)); bad != nil {
		return fmt.Errorf("after the fault: %w", bad)
	}
	return nil
}

// firstNotComplete returns an error for the first job that is not complete.
func firstNotComplete(results []load.Result) error {
	for _, r := range results {
		if r.Outcome != load.Complete {
			return notCompleteError(r)
		}
	}
	return nil
}

func notCompleteError(r load.Result) error {
	return fmt.Errorf("%s is %s (%s: %s)", r.Job.Key, r.Outcome, r.Reason, r.Detail)
}

// firstNotRecovered is firstNotComplete for jobs sent after the fault. A job that was
// sent more than once may fail with home-lost, as long as records are kept, if its
// former home agent was killed: whichever of its submissions arrives first, it is
// unknown whether another one has run there.
func firstNotRecovered(results []load.Result) error {
	for _, r := range results {
		resent := r.Duplicated || r.Attempts > 1
		lost := r.Outcome == load.Failed && r.Reason == string(job.ReasonHomeLost)
		if r.Outcome != load.Complete && !(resent && lost) {
			return notCompleteError(r)
		}
	}
	return nil
}

// CheckAllComplete returns an error unless every job with a result is complete.
func (b *Testbed) CheckAllComplete() error {
	results := b.Results()
	bad := 0
	for _, r := range results {
		if r.Outcome != load.Complete {
			bad++
		}
	}
	if bad == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d jobs not complete, first: %w", bad, len(results), firstNotComplete(results))
}

// CheckNoDisconnects returns an error if a connection broke while a caller waited on it.
func (b *Testbed) CheckNoDisconnects() error {
	for _, r := range b.Results() {
		if r.Disconnects > 0 {
			return fmt.Errorf("%s: its connection broke %d times", r.Job.Key, r.Disconnects)
		}
	}
	return nil
}
