package schedule

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// BenchmarkWaiting measures an arrival, a departure and a tick while 24 agents are full.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{10, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
			if err != nil {
				b.Fatal(err)
			}
			c := New(Config{Terms: terms, RemoteFactor: 1.5})
			routes := []operator.Route{route(0), route(1), route(2)}
			for i := range routes {
				routes[i].TargetLatency = 1000 * time.Hour // no job gets late
			}
			c.Step(0, OperatorChanged{Rows: operator.Rows{Version: 1, Manifest: &operator.Manifest{Routes: routes}}})
			for i := range 24 {
				name := agentName(i)
				c.Step(0, AgentAttached{Agent: name, Address: string(name)})
				capacity := work.Demand{CPUMilli: 64000}
				c.Step(0, AgentRoomReported{Agent: name, Server: work.Server{Incarnation: "x", Service: "s", Domain: "d", Capacity: capacity}, Used: capacity})
			}
			now := time.Duration(0)
			submit := func(i int) {
				c.Step(now, JobArrived{Job: Job{
					ID: work.JobID(fmt.Sprint(i)), Route: routes[1+i%2], Deadline: 10000 * time.Hour,
					Steps: []Step{{Count: 1 + i%7, Demand: work.Demand{CPUMilli: 6200}, Estimate: 200 * time.Millisecond}},
				}})
			}
			for i := range waiting {
				submit(i)
			}
			next := waiting
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * time.Millisecond
				submit(next)
				c.Step(now, JobDropped{ID: work.JobID(fmt.Sprint(next - waiting))})
				if next++; next%10 == 0 {
					for i := range 24 {
						c.Step(now, AgentMessageReceived{Agent: agentName(i), AckedHeartbeatSentAt: now})
					}
				}
				c.Step(now, Tick{})
			}
			if n := c.Stats().Waiting; n != waiting {
				b.Fatalf("%d jobs wait, want %d", n, waiting)
			}
		})
	}
}
