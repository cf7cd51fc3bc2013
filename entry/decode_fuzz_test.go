package entry

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/rpc/dockpb"
)

// FuzzSubmitResponse checks that any answer of a home becomes a complete outcome
// with all results, a failure or refusal without results, a state, or a redirect.
func FuzzSubmitResponse(f *testing.F) {
	results := []*dockpb.Result{{Index: 0, Body: []byte("a")}, {Index: 1}}
	seeds := []*dockpb.SubmitResponse{
		{},
		{Redirect: "i2", RedirectAddress: "10.0.0.2:7000"},
		{State: &dockpb.JobState{Total: 2, Started: 1}},
		{Outcome: &dockpb.Outcome{Kind: uint32(job.Complete), Results: results}},
		{Outcome: &dockpb.Outcome{Kind: uint32(job.Complete), Results: results[1:]}},
		{Outcome: &dockpb.Outcome{Kind: uint32(job.Failed), Results: results}},
		{Outcome: &dockpb.Outcome{Kind: 77}},
	}
	for _, m := range seeds {
		wire, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(wire)
	}
	spec := &job.Spec{Key: ident.JobKey{Team: "tills", Key: "k"}, Tasks: []job.Task{{Index: 0}, {Index: 1}}}
	f.Fuzz(func(t *testing.T, wire []byte) {
		m := &dockpb.SubmitResponse{}
		if proto.Unmarshal(wire, m) != nil {
			return
		}
		if a, ok := submitEvent(&routing.Call{ID: 1, Call: 1, Spec: spec}, m).(routing.Answered); ok {
			checkOutcome(t, &a.Outcome)
		}
	})
}

func checkOutcome(t *testing.T, o *job.Outcome) {
	t.Helper()
	switch o.Kind {
	case job.Complete:
		if len(o.Results) != 2 || o.Results[0].Index != 0 || o.Results[1].Index != 1 {
			t.Fatalf("complete outcome with wrong results: %+v", o.Results)
		}
	case job.Failed, job.Refused:
		if len(o.Results) > 0 {
			t.Fatalf("%v outcome with %d results, want none", o.Kind, len(o.Results))
		}
	default:
		t.Fatalf("outcome of kind %d, want complete, failed or refused", o.Kind)
	}
}
