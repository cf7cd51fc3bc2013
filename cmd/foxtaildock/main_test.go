package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// result is the exit code and the output of one command line.
type result struct {
	code     exitCode
	out, err string
}

// execute runs a command line with the given standard input. FOXTAILDOCK_TOKEN
// is the only variable that the console reads.
func execute(in string, argv ...string) result {
	var out, errOut bytes.Buffer
	c := &console{
		in:  strings.NewReader(in),
		out: &out, err: &errOut,
		getenv: func(name string) string { return map[string]string{"FOXTAILDOCK_TOKEN": "secret"}[name] },
	}
	code := run(context.Background(), argv, c)
	return result{code, out.String(), errOut.String()}
}

// callersStub serves a stub of the callers' interface and returns its address.
// The outcome of a job depends on the name of its service; see stubOutcome.
func callersStub(t *testing.T) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathJobs, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(api.TokenHeader) != "Bearer secret" {
			_ = api.WriteProblem(w, &api.Problem{Status: http.StatusUnauthorized, Message: "missing or wrong token"})
			return
		}
		spec, _, problem := api.DecodeJob(r.Body, time.Now())
		if problem != nil {
			_ = api.WriteProblem(w, problem)
			return
		}
		o := stubOutcome(spec)
		_ = api.WriteOutcome(w, spec.Key, &o)
	})
	mux.HandleFunc("GET "+api.PathJob, func(w http.ResponseWriter, r *http.Request) {
		_ = api.WriteState(w, &api.JobAnswer{Team: "tills", Key: r.PathValue("key"), Outcome: api.OutcomeRunning, Total: 3, Started: 2, Finished: 1})
	})
	mux.HandleFunc("DELETE "+api.PathJob, func(w http.ResponseWriter, r *http.Request) {
		o := job.Fail(job.ReasonCancelled, 0, "two tasks had started")
		_ = api.WriteOutcome(w, ident.JobKey{Team: "tills", Key: r.PathValue("key")}, &o)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

func stubOutcome(spec *job.Spec) job.Outcome {
	switch spec.Service {
	case "refuse":
		return job.Refuse(job.ReasonKeyReused, 0, "the key belongs to a job with another body")
	case "fail":
		return job.Fail(job.ReasonTaskError, 0, "status 500")
	}
	o := job.Outcome{Kind: job.Complete, Home: "agent-1"}
	for _, task := range spec.Tasks {
		o.Results = append(o.Results, job.Result{Index: task.Index, Body: task.Payload})
	}
	return o
}

func TestCallerCommands(t *testing.T) {
	entry := callersStub(t)
	payload := filepath.Join(t.TempDir(), "payload")
	if err := os.WriteFile(payload, []byte("from a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("long ", 60)
	cases := []struct {
		name, in, argv string
		code           exitCode
		out, err       string
	}{
		{"complete", "", "submit --service echo --payload " + payload + " " + payload, exitDone, "from a file", "key job-"},
		{"lines", "a\nb\n" + long + "\n", "submit --service echo --lines - --key k", exitDone, "3, 3 started, 3 finished", "key k, first sent"},
		{"resubmission", "", "submit --service echo --payload x --key k --again 2026-03-01T12:00:00Z", exitDone, "complete", "2026-03-01T12:00:00Z"},
		{"refused", "", "submit --service refuse --payload x", exitRefused, "refused (not run)", ""},
		{"failed", "", "submit --service fail --payload x", exitFailed, "failed (may have run)", ""},
		{"malformed key", "", "submit --service echo --payload x --key a/b", exitInvalidRequest, "", "key: has a character"},
		{"wrong token", "", "submit --service echo --payload x --token-file " + payload, exitInvalidRequest, "", "wrong token"},
		{"no tasks", "", "submit --service echo", exitUsage, "", "at least one task"},
		{"resubmission without key", "", "submit --service echo --payload x --again 2026-03-01T12:00:00Z", exitUsage, "", "--key"},
		{"unknown option", "", "submit --servce echo", exitUsage, "", "Usage: foxtaildock submit"},
		{"state", "", "job k", exitDone, "3, 2 started, 1 finished", ""},
		{"cancel", "", "cancel k", exitDone, "cancelled", ""},
		{"load", "", "load --service echo --jobs 5 --tasks 1-3", exitDone, "5 complete", ""},
		{"load refused", "", "load --service refuse --jobs 2 --tasks 2", exitRefused, "2 jobs, 4 tasks", ""},
		{"invalid range of tasks", "", "load --service echo --tasks 3-1", exitUsage, "", "not a number of tasks"},
		{"help", "", "submit --help", exitDone, "Examples:", ""},
		{"check settings", "", "check-settings entry ../../docs/examples/entry.toml", exitDone, "fine", ""},
		{"invalid settings", "", "check-settings agent ../../docs/examples/entry.toml", exitUsage, "listen.callers", ""},
		{"settings file missing", "", "check-settings agent nowhere.toml", exitError, "", "nowhere.toml"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := execute(c.in, append([]string{"--entry", entry, "--team", "tills"}, strings.Fields(c.argv)...)...)
			if got.code != c.code || !strings.Contains(got.out, c.out) || !strings.Contains(got.err, c.err) {
				t.Errorf("exit %d, want %d\nout: %s\nerr: %s", got.code, c.code, got.out, got.err)
			}
			if !strings.Contains(c.argv, "settings") && !strings.Contains(c.argv, "help") {
				checkPhoneWidth(t, got.out)
			}
		})
	}
}

// checkPhoneWidth checks that no line is wider than 48 columns, which fits a
// phone.
func checkPhoneWidth(t *testing.T, out string) {
	t.Helper()
	for line := range strings.Lines(out) {
		if utf8.RuneCountInString(line) > 48+1 {
			t.Errorf("line is wider than 48 columns: %q", line)
		}
	}
}

func TestJSONOutputIsTheJobAnswer(t *testing.T) {
	got := execute("", "--entry", callersStub(t), "--team", "tills", "--json", "submit", "--service", "echo", "--payload", "x", "--key", "k")
	var answer api.JobAnswer
	if err := json.Unmarshal([]byte(got.out), &answer); err != nil {
		t.Fatalf("%v: %s", err, got.out)
	}
	if answer.Outcome != api.OutcomeComplete || string(answer.Results[0].Body) != "x" {
		t.Errorf("answer %+v, want a complete job with the result x", answer)
	}
}

func TestNoEntryIsAUsageError(t *testing.T) {
	t.Setenv("FOXTAILDOCK_ENTRIES", "")
	if got := execute("", "job", "k"); got.code != exitUsage {
		t.Errorf("exit %d, want exitUsage: %s", got.code, got.err)
	}
}
