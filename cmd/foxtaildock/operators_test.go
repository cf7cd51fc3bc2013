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

type quietListener struct{}

func (quietListener) SetView(*document.View)                        {}
func (quietListener) SetPlacement(*placement.Placement)             {}
func (quietListener) SetAgents([]membership.Agent)                  {}
func (quietListener) SetDemand(ident.Incarnation, []control.Demand) {}
func (quietListener) Demand() []control.Demand                      { return nil }

const bootstrapToken = "bootstrap-token-of-the-test"

// startOperators serves the operators' interface of an entry with an empty
// document and no agents, and returns its address.
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
	duty, err := control.New(cfg, quietListener{})
	if err != nil {
		t.Fatal(err)
	}
	go duty.Run(ctx)
	for !duty.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	tallies := []api.JobTally{{Team: "tills", Outcome: "refused", Reason: "quota", Count: 3}}
	o := entry.NewOperators(entry.OperatorsConfig{
		Self: cfg.Self, Control: duty, BootstrapSHA256: document.HashBootstrap(bootstrapToken),
		Tallies: func() []api.JobTally { return tallies },
	})
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	return server.URL
}

// operator runs command lines with the token of a file against one entry.
type operator struct {
	t       *testing.T
	address string
	dir     string
	token   string // file
}

func (o *operator) write(name, text string) string {
	path := filepath.Join(o.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

// want runs a command line and checks its exit code and parts of its output.
func (o *operator) want(code exitCode, line string, parts ...string) string {
	o.t.Helper()
	got := execute("", append([]string{"--operators", o.address, "--token-file", o.token}, strings.Fields(line)...)...)
	for _, part := range parts {
		if !strings.Contains(got.out, part) {
			o.t.Errorf("%s: %q is missing", line, part)
		}
	}
	if got.code != code || o.t.Failed() {
		o.t.Fatalf("%s: exit %d, want %d\nout: %s\nerr: %s", line, got.code, code, got.out, got.err)
	}
	return got.out
}

// TestOperatorsWorkTheDocument follows operators from an empty document through
// a clash and a withdrawal to the reports.
func TestOperatorsWorkTheDocument(t *testing.T) {
	o := &operator{t: t, address: startOperators(t), dir: t.TempDir()}
	o.token = o.write("bootstrap", bootstrapToken)
	anna := filepath.Join(o.dir, "anna.token")
	made := execute("", "document", "token", "operators", "anna", "--role", "operator", "--write", anna, "--owner", "operators")
	team := o.write("team.toml", made.out)
	o.want(exitDone, "document apply team/operators "+team+" --expect 0", "accepted: team/operators, version 1")

	o.want(exitNotTaken, "document show")
	o.token = anna
	o.want(exitDone, "document show", "team/operators", "operators")

	domain := o.write("domain.toml", "owner = \"operators\"\nstate = \"in-service\"\n")
	o.want(exitUsage, "document apply domain/lulea "+domain)
	o.want(exitDone, "document check domain/lulea "+domain+" --expect 0", "would be accepted")
	o.want(exitDone, "document apply domain/lulea "+domain+" --expect 0", "in force everywhere")
	shown := o.write("shown.toml", o.want(exitDone, "document show domain/lulea", "# foxtaildock section domain/lulea version 2"))
	o.want(exitUsage, "document apply domain/umea "+shown)

	o.want(exitDone, "withdraw lulea --reason works", "accepted: domain/lulea, version 3")
	o.want(exitConflict, "document apply domain/lulea "+shown, "refused (not changed): conflict", "operators/anna, version 3", `+ state = "withdrawn"`)
	bad := o.write("bad.toml", "owner = \"operators\"\nstat = \"in-service\"\n")
	o.want(exitUsage, "document diff domain/lulea "+bad+" --expect 3", "stat", "this change")
	o.want(exitDone, "status", "in force everywhere", "withdrawn", "lulea     works")
	o.want(exitDone, "restore lulea")
	o.want(exitDone, "drain 10.0.1.7:7102 --no-wait", "accepted: drain/10.0.1.7:7102")
	o.want(exitDone, "undrain 10.0.1.7:7102 --no-wait")
	o.want(exitUsage, "undrain 10.0.1.7:7102 --no-wait", "refused (not changed)")

	o.want(exitDone, "document history domain/lulea --diff", `+ state = "withdrawn"`, "by operators/anna")
	o.want(exitDone, "audit --outcome conflict", "conflict domain/lulea", "apply by operators/anna")
	checkPhoneWidth(t, o.want(exitDone, "report", "1 of 1 entries", "quota", "domain/lulea: 3 accepted"))
	checkPhoneWidth(t, o.want(exitDone, "status --all", "127.0.0.1:1"))
	o.want(exitDone, "--json status", `"version": 6`)
}

func TestALostAnswerNamesTheChange(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(cut))
	defer server.Close()
	o := &operator{t: t, address: server.URL, dir: t.TempDir()}
	o.token = o.write("token", "x")
	got := execute("", "--operators", o.address, "--token-file", o.token, "withdraw", "lulea", "--change-id", "1767225600000-abc")
	if got.code != exitLost || !strings.Contains(got.err, "--change-id 1767225600000-abc") {
		t.Errorf("exit %d: %s", got.code, got.err)
	}
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
