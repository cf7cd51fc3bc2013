// Package link is the entry's end of the connection between an entry and an agent: it
// opens a session with an agent and sends its heartbeats, and announces processes to
// entries. It also converts between messages of the protocol link.v1 and the values of
// the other packages, for both ends. Package session holds the state that outlives a
// connection.
package link

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/session"
	"foxtaildock.example/dock/work"
)

// KeyOf converts a run to its message.
func KeyOf(r work.Run) *linkpb.TaskKey {
	return &linkpb.TaskKey{
		Job: string(r.Task.Job), Step: uint32(r.Task.Step), Index: uint32(r.Task.Index), Run: uint32(r.ID),
	}
}

// KeysOf converts runs to their messages.
func KeysOf(runs []work.Run) []*linkpb.TaskKey {
	keys := make([]*linkpb.TaskKey, len(runs))
	for i, r := range runs {
		keys[i] = KeyOf(r)
	}
	return keys
}

// RunOf converts the message of a run.
func RunOf(k *linkpb.TaskKey) work.Run {
	return work.Run{
		Task: work.Task{Job: work.JobID(k.GetJob()), Step: int(k.GetStep()), Index: int(k.GetIndex())},
		ID:   work.RunID(k.GetRun()),
	}
}

// RunsOf converts the messages of runs.
func RunsOf(keys []*linkpb.TaskKey) []work.Run {
	runs := make([]work.Run, len(keys))
	for i, k := range keys {
		runs[i] = RunOf(k)
	}
	return runs
}

// DemandMessage converts a demand to its message.
func DemandMessage(d work.Demand) *linkpb.Demand {
	return &linkpb.Demand{CpuMilli: d.CPUMilli, MemoryMb: d.MemoryMB, Gpus: d.GPUs}
}

// DemandOf converts the message of a demand.
func DemandOf(d *linkpb.Demand) work.Demand {
	return work.Demand{CPUMilli: d.GetCpuMilli(), MemoryMB: d.GetMemoryMb(), GPUs: d.GetGpus()}
}

// RoomMessage converts the state of an agent's backend server to its message.
func RoomMessage(r run.Room) *linkpb.Room {
	m := &linkpb.Room{
		Incarnation: r.Server.Incarnation, Service: string(r.Server.Service),
		Domain: string(r.Server.Domain), Labels: r.Server.Labels,
		Capacity: DemandMessage(r.Server.Capacity), Used: DemandMessage(r.Used),
		Queued: queuedMessages(r.Queued), Draining: r.Server.Draining || r.Closed, Pace: r.Pace,
		TimeLeftMs: r.Server.Remaining.Milliseconds(),
	}
	setSpeed(m, r.Speed)
	return m
}

func queuedMessages(queued []run.QueuedDemand) []*linkpb.Queued {
	var list []*linkpb.Queued
	for _, q := range queued {
		list = append(list, &linkpb.Queued{Priority: int32(q.Priority), Demand: DemandMessage(q.Demand)})
	}
	return list
}

// QueuedOf returns the demand of the tasks that wait at an agent, by priority.
func QueuedOf(r *linkpb.Room) []run.QueuedDemand {
	var list []run.QueuedDemand
	for _, q := range r.GetQueued() {
		list = append(list, run.QueuedDemand{Priority: work.Priority(q.GetPriority()), Demand: DemandOf(q.GetDemand())})
	}
	return list
}

// ServerOf returns the backend server of a message Room. Its Draining is also true if
// the agent accepts no more tasks.
func ServerOf(r *linkpb.Room) work.Server {
	return work.Server{
		Incarnation: r.GetIncarnation(), Service: ident.Service(r.GetService()),
		Domain: ident.FailureDomain(r.GetDomain()), Labels: r.GetLabels(),
		Capacity: DemandOf(r.GetCapacity()), Draining: r.GetDraining(),
		Remaining: remainingOf(r),
	}
}

// remainingOf returns the least time until the server ends, 0 if it is unknown or can't be
// right.
func remainingOf(r *linkpb.Room) time.Duration {
	if !r.GetDraining() || !ValidRemaining(r) {
		return 0
	}
	return Millis(r.GetTimeLeftMs())
}

// ValidRemaining reports whether the remaining time of a message Room can be right.
func ValidRemaining(r *linkpb.Room) bool {
	return r.GetTimeLeftMs() >= 0 && r.GetTimeLeftMs() <= work.MaxRemaining.Milliseconds()
}

var outcomes = map[work.Outcome]linkpb.Outcome{
	work.Done:       linkpb.Outcome_OUTCOME_DONE,
	work.Failed:     linkpb.Outcome_OUTCOME_FAILED,
	work.Lost:       linkpb.Outcome_OUTCOME_LOST,
	work.NotStarted: linkpb.Outcome_OUTCOME_NOT_STARTED,
}

// ResultMessage converts the numbered report of a run's end to its message.
func ResultMessage(n session.NumberedResult[run.Report]) *linkpb.Result {
	r := n.Value
	m := &linkpb.Result{
		Sequence: n.Sequence, Task: KeyOf(r.Run), Outcome: outcomes[r.Outcome],
		RanMs: r.Ran.Milliseconds(), Reason: r.Reason,
	}
	if r.ForOtherEntry {
		m.Outcome = linkpb.Outcome_OUTCOME_UNSPECIFIED
	}
	return m
}

// CrashedElsewhere reports whether a result is about a run of another entry that went down
// with its backend server. It isn't the end of a run of the receiving entry, although the
// numbers of both may be the same.
func CrashedElsewhere(r *linkpb.Result) bool {
	return r.GetOutcome() == linkpb.Outcome_OUTCOME_UNSPECIFIED && run.ServerWentDown(r.GetReason())
}

// OutcomeOf converts the message of an outcome. It returns an error for an unknown one.
func OutcomeOf(o linkpb.Outcome) (work.Outcome, error) {
	for value, message := range outcomes {
		if message == o {
			return value, nil
		}
	}
	return 0, fmt.Errorf("unknown outcome of a run: %v", o)
}

// WithdrawnMessage converts operators' rows to their message without the manifest.
func WithdrawnMessage(r *operator.Rows) *linkpb.OperatorRows {
	m := &linkpb.OperatorRows{Version: r.Version}
	for _, d := range r.Withdrawn {
		m.WithdrawnDomains = append(m.WithdrawnDomains, string(d))
	}
	return m
}

// OperatorMessage converts operators' rows to their message. It returns an error if the
// manifest can't be encoded.
func OperatorMessage(r *operator.Rows) (*linkpb.OperatorRows, error) {
	manifest, err := operator.EncodeManifest(r.Manifest)
	if err != nil {
		return nil, err
	}
	m := WithdrawnMessage(r)
	m.Manifest = manifest
	return m, nil
}

// OperatorOf converts the message of operators' rows. It returns an error if the manifest
// can't be decoded.
func OperatorOf(m *linkpb.OperatorRows) (operator.Rows, error) {
	manifest, err := operator.DecodeManifest(m.GetManifest())
	if err != nil {
		return operator.Rows{}, err
	}
	r := operator.Rows{Version: m.GetVersion(), Manifest: manifest}
	for _, d := range m.GetWithdrawnDomains() {
		r.Withdrawn = append(r.Withdrawn, ident.FailureDomain(d))
	}
	slices.Sort(r.Withdrawn)
	return r, nil
}

// MemberMessage converts a member to its message.
func MemberMessage(m *directory.Member) *linkpb.Member {
	role := linkpb.Role_ROLE_AGENT
	if m.Role == directory.RoleEntry {
		role = linkpb.Role_ROLE_ENTRY
	}
	return &linkpb.Member{Incarnation: string(m.Incarnation), Address: m.Address, Domain: string(m.Domain), Role: role}
}

// MemberOf converts the message of a member. Any role other than that of an entry counts
// as that of an agent.
func MemberOf(m *linkpb.Member) directory.Member {
	role := directory.RoleAgent
	if m.GetRole() == linkpb.Role_ROLE_ENTRY {
		role = directory.RoleEntry
	}
	return directory.Member{
		Incarnation: ident.Incarnation(m.GetIncarnation()), Role: role,
		Address: m.GetAddress(), Domain: ident.FailureDomain(m.GetDomain()),
	}
}

// Millis converts milliseconds, the unit of times in messages, to a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
