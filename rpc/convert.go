package rpc

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc/dockpb"
)

// Millis converts a duration to the protocol's milliseconds. It rounds up, so
// that a positive duration never becomes zero; negative durations become zero.
func Millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// Duration converts the protocol's milliseconds to a duration.
func Duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// KeyToProto converts a job key to its message.
func KeyToProto(k ident.JobKey) *dockpb.JobKey {
	return &dockpb.JobKey{Team: string(k.Team), Key: k.Key}
}

// KeyFromProto converts a job key from its message.
func KeyFromProto(k *dockpb.JobKey) ident.JobKey {
	return ident.JobKey{Team: ident.Team(k.GetTeam()), Key: k.GetKey()}
}

// TaskToProto converts a task, in the given attempt, to its message.
func TaskToProto(t *job.Task, attempt int) *dockpb.Task {
	return &dockpb.Task{
		Index:         uint32(t.Index),
		Payload:       t.Payload,
		DeclaredRunMs: Millis(t.DeclaredRun),
		Size:          uint32(t.Size),
		Attempt:       uint32(attempt),
	}
}

// TaskFromProto converts a task from its message, without the attempt.
func TaskFromProto(t *dockpb.Task) job.Task {
	return job.Task{
		Index:       int(t.GetIndex()),
		Payload:     t.GetPayload(),
		DeclaredRun: Duration(t.GetDeclaredRunMs()),
		Size:        int(t.GetSize()),
	}
}

// OutcomeToProto converts the outcome of a job to its message.
func OutcomeToProto(o *job.Outcome) *dockpb.Outcome {
	p := &dockpb.Outcome{
		Kind:         uint32(o.Kind),
		Reason:       string(o.Reason),
		Detail:       o.Detail,
		RetryAfterMs: Millis(o.RetryAfter),
		Home:         string(o.Home),
		Results:      make([]*dockpb.Result, len(o.Results)),
	}
	for i := range o.Results {
		p.Results[i] = &dockpb.Result{Index: uint32(o.Results[i].Index), Body: o.Results[i].Body}
	}
	return p
}

// OutcomeFromProto converts the outcome of a job from its message.
func OutcomeFromProto(p *dockpb.Outcome) job.Outcome {
	o := job.Outcome{
		Kind:       job.Kind(p.GetKind()),
		Reason:     job.Reason(p.GetReason()),
		Detail:     p.GetDetail(),
		RetryAfter: Duration(p.GetRetryAfterMs()),
		Home:       ident.Incarnation(p.GetHome()),
	}
	for _, r := range p.GetResults() {
		o.Results = append(o.Results, job.Result{Index: int(r.GetIndex()), Body: r.GetBody()})
	}
	return o
}

// PlacementToProto converts a placement to its message.
func PlacementToProto(p *placement.Placement) *dockpb.Placement {
	out := &dockpb.Placement{Epoch: uint64(p.Epoch)}
	for i := range p.Members {
		m := &p.Members[i]
		out.Members = append(out.Members, &dockpb.Member{
			Incarnation: string(m.Incarnation),
			Address:     m.Address,
			Domain:      string(m.Domain),
			Joined:      uint64(m.Joined),
			Left:        uint64(m.Left),
		})
	}
	return out
}

// PlacementFromProto converts a placement from its message.
func PlacementFromProto(p *dockpb.Placement) *placement.Placement {
	members := make([]placement.Member, 0, len(p.GetMembers()))
	for _, m := range p.GetMembers() {
		members = append(members, placement.Member{
			Incarnation: ident.Incarnation(m.GetIncarnation()),
			Address:     m.GetAddress(),
			Domain:      ident.FailureDomain(m.GetDomain()),
			Joined:      ident.Epoch(m.GetJoined()),
			Left:        ident.Epoch(m.GetLeft()),
		})
	}
	return placement.New(ident.Epoch(p.GetEpoch()), members)
}
