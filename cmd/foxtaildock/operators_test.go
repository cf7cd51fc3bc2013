package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/control"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/entry"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/store/memory"
	"foxtaildock.example/dock/telemetry"
)

// nopListener ignores what the controller reports to an entry.
type nopListener struct{}

func (nopListener) SetView(*document.View)                        {}
func (nopListener) SetPlacement(*placement.Placement)             {}
func (nopListener) SetAgents([]membership.Agent)                  {}
func (nopListener) SetDemand(ident.Incarnation, []control.Demand) {}
func (nopListener) Demand() []control.Demand                      { return nil }

const bootstrapToken = "bootstrap-token-of-the-test"

// startOperators serves the operators' interface of an entry with an empty
// document and no agents, and returns the address.
func startOperators(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cfg := control.DefaultConfig()
	cfg.Self, cfg.Cell, cfg.Address = "entry-1", "north", "127.0.0.1:1"
	store := memory.New()
	cfg.Table, cfg.Objects = store.Table(), store.Objects()
	cfg.Client = &http.Client{}
	cfg.Log = telemetry.Discard()
	controller, err := control.New(cfg, nopListener{})
	if err != nil {
		t.Fatal(err)
	}
	go controller.Run(ctx)
	for !controller.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	tallies := []api.JobTally{{Team: "tills", Outcome: "refused", Reason: "quota", Count: 3}}
	o := entry.NewOperatorsHandler(entry.OperatorsConfig{
		Self: cfg.Self, Control: controller, BootstrapSHA256: document.HashBootstrap(bootstrapToken),
		Tallies: func() []api.JobTally { return tallies },
	})
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	return server.URL
}

// operator runs command lines against one entry with the token in a file.
type operator struct {
	t       *testing.T
	address string
	dir     string
	token   string // path of the token file
}

func (o *operator) write(name, text string) string {
	path := filepath.Join(o.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

// checkRun runs a command line, checks its exit code and that its output
// contains all parts, and returns the output.
func (o *operator) checkRun(code exitCode, line string, parts ...string) string {
	o.t.Helper()
	got := execute("", append([]string{"--operators", o.address, "--token-file", o.token}, strings.Fields(line)...)...)
	for _, part := range parts {
		if !strings.Contains(got.out, part) {
			o.t.Errorf("%s: the output lacks %q", line, part)
		}
	}
	if got.code != code || o.t.Failed() {
		o.t.Fatalf("%s: exit %d, want %d\nout: %s\nerr: %s", line, got.code, code, got.out, got.err)
	}
	return got.out
}

// TestOperatorsChangeTheDocument runs the operators' commands in order: the
// first section of an empty document, a withdrawal, a conflicting change, and
// the reports.
func TestOperatorsChangeTheDocument(t *testing.T) {
	o := &operator{t: t, address: startOperators(t), dir: t.TempDir()}
	o.token = o.write("bootstrap", bootstrapToken)
	anna := filepath.Join(o.dir, "anna.token")
	made := execute("", "document", "token", "operators", "anna", "--role", "operator", "--write", anna, "--owner", "operators")
	team := o.write("team.toml", made.out)
	o.checkRun(exitDone, "document apply team/operators "+team+" --expect 0", "accepted: team/operators, version 1")

	o.checkRun(exitInvalidRequest, "document show")
	o.token = anna
	o.checkRun(exitDone, "document show", "team/operators", "operators")

	domain := o.write("domain.toml", "owner = \"operators\"\nstate = \"in-service\"\n")
	o.checkRun(exitUsage, "document apply domain/lulea "+domain)
	o.checkRun(exitDone, "document check domain/lulea "+domain+" --expect 0", "would be accepted")
	o.checkRun(exitDone, "document apply domain/lulea "+domain+" --expect 0", "in force everywhere")
	shown := o.write("shown.toml", o.checkRun(exitDone, "document show domain/lulea", "# foxtaildock section domain/lulea version 2"))
	o.checkRun(exitUsage, "document apply domain/umea "+shown)

	o.checkRun(exitDone, "withdraw lulea --reason works", "accepted: domain/lulea, version 3")
	o.checkRun(exitConflict, "document apply domain/lulea "+shown, "refused (not changed): conflict", "operators/anna, version 3", `+ state = "withdrawn"`)
	bad := o.write("bad.toml", "owner = \"operators\"\nstat = \"in-service\"\n")
	o.checkRun(exitUsage, "document diff domain/lulea "+bad+" --expect 3", "stat", "this change")
	o.checkRun(exitDone, "status", "in force everywhere", "withdrawn", "lulea     works")
	o.checkRun(exitDone, "restore lulea")
	o.checkRun(exitDone, "drain 10.0.1.7:7102 --no-wait", "accepted: drain/10.0.1.7:7102")
	o.checkRun(exitDone, "undrain 10.0.1.7:7102 --no-wait")
	o.checkRun(exitUsage, "undrain 10.0.1.7:7102 --no-wait", "refused (not changed)")

	o.checkRun(exitDone, "document history domain/lulea --diff", `+ state = "withdrawn"`, "by operators/anna")
	o.checkRun(exitDone, "audit --outcome conflict", "conflict domain/lulea", "apply by operators/anna")
	checkPhoneWidth(t, o.checkRun(exitDone, "report", "1 of 1 entries", "quota", "domain/lulea: 3 accepted"))
	checkPhoneWidth(t, o.checkRun(exitDone, "status --all", "127.0.0.1:1"))
	o.checkRun(exitDone, "--json status", `"version": 6`)
}

func TestLostAnswerErrorHasTheChangeID(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(abortConnection))
	defer server.Close()
	o := &operator{t: t, address: server.URL, dir: t.TempDir()}
	o.token = o.write("token", "x")
	got := execute("", "--operators", o.address, "--token-file", o.token, "withdraw", "lulea", "--change-id", "1767225600000-abc")
	if got.code != exitNoAnswer || !strings.Contains(got.err, "--change-id 1767225600000-abc") {
		t.Errorf("exit %d, want exitNoAnswer and the change id: %s", got.code, got.err)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
