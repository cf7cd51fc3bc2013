package link

import (
	"math"
	"reflect"
	"testing"
	"time"

	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
)

// A load or a backlog that can't be right is not used: it would admit or refuse jobs for as
// long as the sender has the fault.
func TestFiguresThatCanNotBeRightAreRefused(t *testing.T) {
	many := &linkpb.Load{}
	for i := range int32(65) {
		many.Priorities = append(many.Priorities, &linkpb.PriorityLoad{Priority: i})
	}
	one := func(p *linkpb.PriorityLoad) *linkpb.Load {
		return &linkpb.Load{Priorities: []*linkpb.PriorityLoad{{Priority: 1}, p}}
	}
	for name, m := range map[string]*linkpb.Load{
		"negative work":      one(&linkpb.PriorityLoad{WaitingCpuMs: -1}),
		"work NaN":           one(&linkpb.PriorityLoad{WaitingCpuMs: math.NaN()}),
		"infinite work":      one(&linkpb.PriorityLoad{WaitingCpuMs: math.Inf(1)}),
		"negative wait":      one(&linkpb.PriorityLoad{OldestMs: -1}),
		"endless wait":       one(&linkpb.PriorityLoad{OldestMs: math.MaxInt64}),
		"negative demand":    one(&linkpb.PriorityLoad{RunningCpuMilli: -1}),
		"endless demand":     one(&linkpb.PriorityLoad{RunningCpuMilli: math.MaxInt64}),
		"two of a priority":  one(&linkpb.PriorityLoad{Priority: 1}),
		"negative age":       {AgeMs: -1},
		"too many priorites": many,
	} {
		if l, err := LoadOf(m); err == nil {
			t.Errorf("%s: load %+v, want an error", name, l)
		}
		var list []*linkpb.WaitingWork
		for _, p := range m.GetPriorities() {
			list = append(list, &linkpb.WaitingWork{Service: "s", Priority: p.GetPriority(), CpuMs: p.GetWaitingCpuMs(), OldestMs: p.GetOldestMs()})
		}
		onlyInLoads := name == "negative demand" || name == "endless demand" || name == "negative age"
		if w, err := WaitingOf(list); err == nil && !onlyInLoads {
			t.Errorf("%s: waiting work %+v, want an error", name, w)
		}
	}
}

func TestLoadsAndWaitingWorkAreTransferred(t *testing.T) {
	load := run.Load{Priorities: []run.PriorityLoad{{Priority: 2, RunningMilli: 3, WaitingCPUMs: 4.5, Oldest: 6 * time.Millisecond}}, Entries: 7, Age: 8 * time.Millisecond}
	if got, err := LoadOf(LoadMessage(load)); err != nil || !reflect.DeepEqual(got, load) {
		t.Errorf("load %+v (%v), want %+v", got, err, load)
	}
	waiting := []run.WaitingWork{{Service: "s", Priority: 2, CPUMs: 4.5, Oldest: 6 * time.Millisecond}}
	if got, err := WaitingOf(WaitingMessages(waiting)); err != nil || !reflect.DeepEqual(got, waiting) {
		t.Errorf("waiting work %+v (%v), want %+v", got, err, waiting)
	}
}
