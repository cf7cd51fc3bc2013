package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"foxtaildock.example/bench/load"
	"foxtaildock.example/bench/proof"
)

// The kill measurement: half of the slots are busy when one agent is killed.
const (
	killRun      = 100 * time.Millisecond
	killJobs     = 4000
	killInterval = 2300 * time.Microsecond
	killAfter    = 4 * time.Second
)

// Kill counts the jobs that fail when one of the agents is killed, by reason.
func Kill(ctx context.Context, opts proof.Options, out io.Writer) error {
	b, err := proof.NewTestbed(ctx, opts, "kill", measuredSpec(2))
	if err != nil {
		return err
	}
	defer b.Cluster.Close()
	killed := make(chan error, 1)
	go func() {
		time.Sleep(killAfter)
		killed <- b.Cluster.Agents[agents/2].Kill()
	}()
	results := runWorkload(ctx, b, workload(opts.Seed, "kill", killJobs, 1, killRun), 512, killInterval)
	if err := <-killed; err != nil {
		return err
	}
	s := load.Summarize(results, agents*slots)
	fmt.Fprintf(out, "one of %d agents killed under %.0f%% load, %d single-task jobs\n", agents,
		100*killRun.Seconds()/killInterval.Seconds()/float64(agents*slots), killJobs)
	fmt.Fprintf(out, "  complete %d, failed %d, refused %d, other %d\n", s.Counts[load.Complete],
		s.Counts[load.Failed], s.Counts[load.Refused], len(results)-s.Counts[load.Complete]-s.Counts[load.Failed]-s.Counts[load.Refused])
	for _, r := range s.Reasons {
		fmt.Fprintf(out, "  %s %s: %d\n", r.Outcome, r.Reason, r.Count)
	}
	return nil
}
