package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/link"
	"foxtaildock.example/bench/platformd"
)

// childVariable is the environment variable that makes this test binary behave as
// foxbench, so that the tests can start it as a stand-in process.
const childVariable = "FOXBENCH_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func startStandIns(t *testing.T) (context.Context, *cluster.Cluster) {
	t.Helper()
	t.Setenv(childVariable, "1")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c, err := cluster.New(cluster.Spec{Bench: self, Dir: t.TempDir(), Agents: 1})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	t.Cleanup(c.Close)
	if err := c.StartStandIns(ctx); err != nil {
		t.Fatal(err)
	}
	return ctx, c
}

// runTask sends one task and returns the HTTP status.
func runTask(ctx context.Context, t *testing.T, address string) (int, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+backend.PathRun, bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(backend.HeaderTeam, "north")
	req.Header.Set(backend.HeaderJob, "j")
	req.Header.Set(backend.HeaderIndex, "0")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// waitTask repeats a task until the backend server answers 200.
func waitTask(ctx context.Context, t *testing.T, address string) {
	t.Helper()
	for {
		status, err := runTask(ctx, t, address)
		if err == nil && status == http.StatusOK {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("no answer with status 200: %d, %v", status, err)
		}
	}
}

func TestStandInsAsProcesses(t *testing.T) {
	ctx, c := startStandIns(t)
	agent := c.Agents[0]
	waitTask(ctx, t, agent.Backend.Address)
	if err := agent.Backend.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := agent.Backend.Start(); err != nil {
		t.Fatal(err)
	}
	waitTask(ctx, t, agent.Backend.Address)
	starts, err := c.Starts()
	if err != nil || len(starts) != 2 || len(backend.Duplicates(starts)) != 1 {
		t.Fatalf("starts in the ledger after a kill and a restart: %v, %v, want 2 starts of the same task", starts, err)
	}
	if err := c.SetPlatformFaults(ctx, platformd.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	if err := c.SetLink(ctx, agent.BackendLink, link.State{Cut: true}); err != nil {
		t.Fatal(err)
	}
	if err := c.SetBackendFaults(ctx, agent.Backend, backend.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	status, err := runTask(ctx, t, agent.Backend.Address)
	if err != nil || status != http.StatusServiceUnavailable {
		t.Fatalf("backend server with the refuse fault: %d, %v, want 503", status, err)
	}
	if err := agent.Backend.Stop(10 * time.Second); err != nil {
		t.Fatalf("graceful stop: %v", err)
	}
}
