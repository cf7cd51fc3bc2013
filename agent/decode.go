package agent

import (
	"errors"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
)

// errMalformed is the answer to a message that no correct process sends. Such a
// message is rejected as a whole.
var errMalformed = connect.NewError(connect.CodeInvalidArgument, errors.New("malformed message"))

// homeRequest builds the home's event for the request with the given ID.
type homeRequest func(ident.RequestID) home.Event

// submitEvent converts a submission or look-up, and returns false if it is
// malformed: tasks must be numbered in order from zero. Deadlines are limited
// to job.MaxDeadline, since the retention of records relies on that bound.
func submitEvent(m *dockpb.SubmitRequest) (homeRequest, bool) {
	key := rpc.KeyFromProto(m.GetKey())
	if m.GetLookup() {
		wait := m.GetDeadlineMs() > 0
		return func(id ident.RequestID) home.Event { return home.Lookup{Request: id, Key: key, Wait: wait} }, true
	}
	spec := &job.Spec{
		Key:      key,
		Service:  ident.Service(m.GetService()),
		Tasks:    make([]job.Task, len(m.GetTasks())),
		Deadline: boundedDeadline(m.GetDeadlineMs()),
		Handicap: rpc.Duration(m.GetHandicapMs()),
	}
	for i, t := range m.GetTasks() {
		spec.Tasks[i] = rpc.TaskFromProto(t)
		if spec.Tasks[i].Index != i {
			return nil, false
		}
	}
	if len(spec.Tasks) == 0 || len(spec.Tasks) > job.MaxTasks {
		return nil, false
	}
	age := ageOf(m.GetFirstAttemptUnixMs())
	return func(id ident.RequestID) home.Event {
		return home.Submit{Request: id, Spec: spec, Fresh: m.GetFresh(), Age: age}
	}, true
}

// executeEvent converts a request to start tasks that was received at the time
// now, and returns false if it is malformed.
func executeEvent(m *dockpb.ExecuteRequest, now time.Duration) (gate.Execute, bool) {
	e := gate.Execute{
		Home:     ident.Incarnation(m.GetHome()),
		Key:      rpc.KeyFromProto(m.GetKey()),
		Service:  ident.Service(m.GetService()),
		Tasks:    make([]gate.Task, len(m.GetTasks())),
		Deadline: now + boundedDeadline(m.GetDeadlineMs()),
		Rank:     now - time.Duration(m.GetWaitMs())*time.Millisecond,
		Age:      ageOf(m.GetCreatedUnixMs()),
	}
	seen := make(map[int]bool, len(m.GetTasks()))
	for i, t := range m.GetTasks() {
		e.Tasks[i] = gate.Task{Task: rpc.TaskFromProto(t), Attempt: int(t.GetAttempt())}
		index := e.Tasks[i].Index
		if seen[index] || index >= job.MaxTasks {
			return gate.Execute{}, false
		}
		seen[index] = true
	}
	return e, e.Home != ""
}

// handoverEvent converts a batch of records from a leaving home. It returns
// false if a record has no final outcome or has results out of order.
func handoverEvent(m *dockpb.HandoverRequest) (home.HandedOver, bool) {
	e := home.HandedOver{
		From:    ident.Incarnation(m.GetFrom()),
		Epoch:   ident.Epoch(m.GetEpoch()),
		Vouches: vouchesFromProto(m.GetVouches()),
		Last:    m.GetLast(),
	}
	for _, r := range m.GetRecords() {
		o := rpc.OutcomeFromProto(r.GetOutcome())
		if !isFinal(&o) {
			return home.HandedOver{}, false
		}
		e.Records = append(e.Records, home.Record{Key: rpc.KeyFromProto(r.GetKey()), Digest: r.GetDigest(), Outcome: o})
	}
	return e, true
}

// isFinal reports whether an outcome is one with which a home can end a job.
// The results of a complete job must be in the order of their indexes; other
// outcomes have none.
func isFinal(o *job.Outcome) bool {
	if o.Kind != job.Complete {
		return (o.Kind == job.Failed || o.Kind == job.Refused) && len(o.Results) == 0
	}
	for i := range o.Results {
		if o.Results[i].Index != i {
			return false
		}
	}
	return true
}

// taskVerdict converts a gate's verdict. An unknown value counts as gate.Ran,
// after which the task is not started again.
func taskVerdict(v uint32) gate.Verdict {
	switch known := gate.Verdict(v); known {
	case gate.Done, gate.NotStarted, gate.WrongIncarnation:
		return known
	}
	return gate.Ran
}

// sealVerdict converts the verdict on a seal request. An unknown value counts as
// home.Unreachable, which is no seal.
func sealVerdict(v uint32) home.SealVerdict {
	switch known := home.SealVerdict(v); known {
	case home.Sealed, home.Held, home.Replaced:
		return known
	}
	return home.Unreachable
}

// boundedDeadline converts a deadline and limits it to job.MaxDeadline.
func boundedDeadline(ms uint32) time.Duration { return min(rpc.Duration(ms), job.MaxDeadline) }

// ageOf returns the time since a wall-clock time in Unix milliseconds.
func ageOf(unixMillis int64) time.Duration { return time.Since(time.UnixMilli(unixMillis)) }

// vouchesToProto converts vouches, which state that handovers were complete, to
// their messages; see home.Vouch.
func vouchesToProto(vouches []home.Vouch) []*dockpb.Vouch {
	out := make([]*dockpb.Vouch, len(vouches))
	for i, v := range vouches {
		out[i] = &dockpb.Vouch{Peer: string(v.Peer), Heir: string(v.Heir), Epoch: uint64(v.Epoch)}
	}
	return out
}

func vouchesFromProto(vouches []*dockpb.Vouch) []home.Vouch {
	out := make([]home.Vouch, len(vouches))
	for i, v := range vouches {
		out[i] = home.Vouch{Peer: ident.Incarnation(v.GetPeer()), Heir: ident.Incarnation(v.GetHeir()), Epoch: ident.Epoch(v.GetEpoch())}
	}
	return out
}
