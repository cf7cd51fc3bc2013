package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"foxtaildock.example/dock/agent"
	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/entry"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/telemetry"
)

// allowAll is an AccessPolicy that authorizes every token and admits every job.
type allowAll struct{}

func (allowAll) Authorize(ident.Team, string) bool { return true }

func (allowAll) Admit(context.Context, *job.Spec) (func(), job.Outcome, bool) {
	return func() {}, job.Outcome{}, true
}

// startCounter is a backend server that counts the starts of each task.
type startCounter struct {
	mu     sync.Mutex
	starts map[string]int
}

func (c *startCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := fmt.Sprintf("%s/%s#%s", r.Header.Get("Dock-Team"), r.Header.Get("Dock-Job"), r.Header.Get("Dock-Index"))
	c.mu.Lock()
	c.starts[id]++
	c.mu.Unlock()
	for _, name := range []string{"Dock-Team", "Dock-Job", "Dock-Index"} {
		w.Header().Set(name, r.Header.Get(name))
	}
	_, _ = w.Write([]byte(id))
}

// testCell is an entry and some agents in one process, with permits that don't
// expire during the test and a placement that doesn't change.
type testCell struct {
	entry   *httptest.Server
	agents  []*agent.Agent
	backend *startCounter
}

func newTestCell(t testing.TB, agents int) *testCell {
	t.Helper()
	cell := &testCell{backend: &startCounter{starts: make(map[string]int)}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := httptest.NewServer(cell.backend)
	t.Cleanup(server.Close)
	var members []placement.Member
	for i := range agents {
		members = append(members, cell.startAgent(t, ctx, i))
	}
	cell.connect(t, members, server.Listener.Addr().String())
	e := entry.New(entry.Config{
		Self:         "entry-1",
		Routing:      routing.DefaultConfig(),
		Limits:       entry.Limits{JobsInFlight: 1000, BytesInFlight: 1 << 30, BodyTimeout: time.Minute},
		AccessPolicy: allowAll{},
		Log:          telemetry.Discard(),
	})
	go e.Run(ctx)
	e.SetPlacement(placement.New(1, members))
	cell.entry = httptest.NewServer(e.Handler())
	t.Cleanup(cell.entry.Close)
	return cell
}

func (cell *testCell) startAgent(t testing.TB, ctx context.Context, i int) placement.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := ident.Incarnation(fmt.Sprintf("agent-%d", i))
	a := agent.New(agent.Config{
		Self:    self,
		Domain:  "north",
		Address: l.Addr().String(),
		Home:    home.DefaultConfig(self),
		Gate:    gate.DefaultConfig(),
		Log:     telemetry.Discard(),
	})
	cell.agents = append(cell.agents, a)
	go a.Run(ctx)
	srv := rpc.NewServer(a.Handler())
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return placement.Member{Incarnation: self, Address: l.Addr().String(), Domain: "north", Joined: 1}
}

// connect gives each agent its permit, placement, backend server and peers.
func (cell *testCell) connect(t testing.TB, members []placement.Member, backend string) {
	t.Helper()
	body, err := json.Marshal(agent.Announcement{Services: []ident.Service{"serial"}, Address: backend, Slots: 8, Connections: 64})
	if err != nil {
		t.Fatal(err)
	}
	var peers []membership.Agent
	for _, a := range cell.agents {
		a.SetPermit(permit.Permit{Version: 1, Epoch: 1, InService: true, Until: time.Hour})
		a.SetPlacement(placement.New(1, members))
		req := httptest.NewRequest(http.MethodPost, agent.PathAnnounce, bytes.NewReader(body))
		w := httptest.NewRecorder()
		a.LocalHandler().ServeHTTP(w, req)
		if w.Code != http.StatusNoContent {
			t.Fatalf("the announcement was answered with %d %s", w.Code, w.Body)
		}
	}
	for i, m := range members {
		n := cell.agents[i].Announcement()
		n.Address = m.Address
		n.Slots, n.Free = 8, 8
		n.Services = []ident.Service{"serial"}
		peers = append(peers, membership.Agent{Announcement: n, State: membership.Up})
	}
	for i, a := range cell.agents {
		others := append(append([]membership.Agent(nil), peers[:i]...), peers[i+1:]...)
		a.SetPeers(others)
	}
}

func (cell *testCell) submit(t testing.TB, key string, tasks int) (int, api.JobAnswer) {
	t.Helper()
	req := api.JobRequest{Team: "till", Key: key, Service: "serial", DeadlineMS: 30_000, FirstAttempt: true, FirstAttemptAt: time.Now()}
	for i := range tasks {
		req.Tasks = append(req.Tasks, api.TaskRequest{Index: i, Payload: []byte("x")})
	}
	body, err := json.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPost, cell.entry.URL+api.PathJobs, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(api.TokenHeader, "Bearer x")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer api.JobAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, answer
}

func TestJobsReturnAllResultsAndEachTaskStartsOnce(t *testing.T) {
	cell := newTestCell(t, 3)
	for i, tasks := range []int{1, 2, 10, 100, 1000} {
		key := fmt.Sprintf("job-%d", i)
		status, answer := cell.submit(t, key, tasks)
		if status != http.StatusOK || answer.Outcome != api.OutcomeComplete {
			t.Fatalf("%s: status %d, answer %+v", key, status, answer)
		}
		if len(answer.Results) != tasks {
			t.Fatalf("%s: %d results for %d tasks", key, len(answer.Results), tasks)
		}
		for j, r := range answer.Results {
			want := fmt.Sprintf("till/%s#%d", key, j)
			if r.Index != j || string(r.Body) != want {
				t.Fatalf("%s: result %d is %d %q, want %q", key, j, r.Index, r.Body, want)
			}
		}
	}
	cell.backend.mu.Lock()
	defer cell.backend.mu.Unlock()
	for id, n := range cell.backend.starts {
		if n != 1 {
			t.Errorf("task %s started %d times", id, n)
		}
	}
}

func BenchmarkPath(b *testing.B) {
	for _, tasks := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			cell := newTestCell(b, 3)
			b.ResetTimer()
			for i := range b.N {
				status, _ := cell.submit(b, fmt.Sprintf("job-%d-%d", tasks, i), tasks)
				if status != http.StatusOK {
					b.Fatal(status)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasks), "us/task")
		})
	}
}
