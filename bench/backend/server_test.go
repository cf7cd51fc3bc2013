package backend_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"foxtaildock.example/bench/backend"
)

func post(t *testing.T, url, job string, index int, echo string) (int, backend.Answer, http.Header) {
	t.Helper()
	body, _ := json.Marshal(backend.Payload{Echo: echo})
	req, err := http.NewRequest(http.MethodPost, url+backend.PathRun, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(backend.HeaderTeam, "north")
	req.Header.Set(backend.HeaderJob, job)
	req.Header.Set(backend.HeaderIndex, strconv.Itoa(index))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer backend.Answer
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, answer, resp.Header
}

func start(t *testing.T) (*backend.Server, string) {
	t.Helper()
	srv := backend.New(backend.Options{Name: "b1", Domain: "lulea", Slots: 8})
	web := httptest.NewServer(srv)
	t.Cleanup(web.Close)
	return srv, web.URL
}

func TestAnswersCarryTheirTask(t *testing.T) {
	srv, url := start(t)
	status, answer, head := post(t, url, "j1", 3, "e3")
	want := backend.Answer{Team: "north", Job: "j1", Index: 3, Echo: "e3", Server: "b1"}
	if status != http.StatusOK || answer != want || head.Get(backend.HeaderIndex) != "3" {
		t.Fatalf("status %d, answer %+v, want 200 and the answer to task 3 of j1", status, answer)
	}
	post(t, url, "j1", 4, "e4")
	post(t, url, "j1", 3, "e3")
	got := srv.Starts(false)
	if got.Total != 3 || len(got.Duplicates) != 1 || got.Duplicates[0].Index != 3 || got.MaxRunning != 1 {
		t.Fatalf("starts = %+v, want 3 starts, task 3 as the only duplicate, and one task at a time", got)
	}
}

func TestFaults(t *testing.T) {
	srv, url := start(t)
	srv.SetFaults(backend.Faults{Refuse: true})
	status, _, head := post(t, url, "j1", 0, "")
	if status != http.StatusServiceUnavailable || head.Get(backend.HeaderNotStarted) != "true" {
		t.Fatalf("fault Refuse: status %d, headers %v, want 503 and that the task was not started", status, head)
	}
	if total := srv.Starts(false).Total; total != 0 {
		t.Fatalf("a refused task was counted as %d starts, want 0", total)
	}
	srv.SetFaults(backend.Faults{Fail: true})
	if status, _, _ := post(t, url, "j1", 0, ""); status != http.StatusInternalServerError {
		t.Fatalf("fault Fail: status %d, want 500", status)
	}
	if total := srv.Starts(false).Total; total != 1 {
		t.Fatalf("a failed task was counted as %d starts, want 1", total)
	}
	srv.SetFaults(backend.Faults{})
	post(t, url, "j2", 7, "first")
	srv.SetFaults(backend.Faults{PreviousAnswer: true, DuplicateAnswers: true})
	_, answer, head := post(t, url, "j3", 1, "second")
	if answer.Job != "j2" || answer.Index != 7 || head.Get(backend.HeaderJob) != "j2" {
		t.Fatalf("answer with the fault PreviousAnswer = %+v, want that to task 7 of j2", answer)
	}
}

func TestReadLedgerIgnoresIncompleteLastLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	var text strings.Builder
	ledger := backend.NewLedger(&text)
	id := backend.TaskID{Team: "north", Job: "j", Index: 1}
	for range 2 {
		if err := ledger.Add(backend.Start{TaskID: id, Server: "b1"}); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, []byte(text.String()+`{"team":"no`), 0o600); err != nil {
		t.Fatal(err)
	}
	starts, err := backend.ReadLedger(path)
	if err != nil || len(starts) != 2 {
		t.Fatalf("ledger: starts %v, error %v, want the 2 complete lines", starts, err)
	}
	if duplicates := backend.Duplicates(starts); len(duplicates) != 1 || duplicates[0] != id {
		t.Fatalf("duplicates = %v, want just the task that was added twice", duplicates)
	}
}
