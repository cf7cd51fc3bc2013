package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/control"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/store/memory"
	"foxtaildock.example/dock/telemetry"
)

type nopListener struct{}

func (nopListener) SetView(*document.View)                        {}
func (nopListener) SetPlacement(*placement.Placement)             {}
func (nopListener) SetAgents([]membership.Agent)                  {}
func (nopListener) SetDemand(ident.Incarnation, []control.Demand) {}
func (nopListener) Demand() []control.Demand                      { return nil }

// operatorsFixture is an operators' interface whose document has the teams
// operators, norrbrand and tills.
type operatorsFixture struct {
	t *testing.T
	o *OperatorsHandler
	// tokens holds a token of each team, and the tokens "bootstrap" and "wrong".
	tokens map[string]string
}

const bootstrapToken = "a-long-token-from-the-settings"

func withOperators(t *testing.T, body func(*operatorsFixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		cfg := control.DefaultConfig()
		cfg.Self, cfg.Cell, cfg.Address = "entry0", "north", "10.0.0.1:1"
		store := memory.New()
		cfg.Table, cfg.Objects = store.Table(), store.Objects()
		cfg.Client = &http.Client{}
		cfg.Log = telemetry.Discard()
		controller, err := control.New(cfg, nopListener{})
		if err != nil {
			t.Fatal(err)
		}
		go controller.Run(ctx)
		o := NewOperatorsHandler(OperatorsConfig{Self: cfg.Self, Control: controller, BootstrapSHA256: document.HashBootstrap(bootstrapToken)})
		go o.Run(ctx)
		time.Sleep(2 * time.Second)
		f := &operatorsFixture{t: t, o: o, tokens: map[string]string{"bootstrap": bootstrapToken, "wrong": "operators/first/guess"}}
		f.setUp()
		body(f)
	})
}

// newTeamSection creates a token for a team and returns the text of the team's
// section.
func (f *operatorsFixture) newTeamSection(team string, role document.Role) string {
	token, e, err := document.NewToken(rand.Reader, ident.Team(team), "first", role)
	if err != nil {
		f.t.Fatal(err)
	}
	f.tokens[team] = token
	return fmt.Sprintf("owner = %q\n[[tokens]]\nid = %q\nrole = %q\nsalt = %q\nsha256 = %q\n", team, e.ID, e.Role, e.Salt, e.SHA256)
}

func (f *operatorsFixture) setUp() {
	f.t.Helper()
	f.mustAnswer(200, "bootstrap", "PUT", "/v1/document/team/operators", f.changeRequest(0, f.newTeamSection("operators", document.RoleOperator)))
	f.mustAnswer(200, "operators", "PUT", "/v1/document/team/norrbrand", f.changeRequest(0, f.newTeamSection("norrbrand", document.RoleOperator)))
	f.mustAnswer(200, "operators", "PUT", "/v1/document/team/tills", f.changeRequest(0, f.newTeamSection("tills", document.RoleCaller)))
	// A change takes effect everywhere within 2 s of being accepted.
	time.Sleep(2 * time.Second)
}

func (f *operatorsFixture) changeRequest(expect ident.DocVersion, text string) api.ChangeRequest {
	time.Sleep(time.Second)
	return api.ChangeRequest{ChangeID: control.NewID(), Expect: &expect, Text: text}
}

// mustAnswer sends a request with the token of who, checks the status of the
// answer and returns its body.
func (f *operatorsFixture) mustAnswer(status int, who, method, path string, body any) []byte {
	f.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	r := httptest.NewRequest(method, path, bytes.NewReader(data))
	if token := f.tokens[who]; token != "" {
		r.Header.Set(api.TokenHeader, "Bearer "+token)
	}
	w := httptest.NewRecorder()
	f.o.ServeHTTP(w, r)
	if w.Code != status {
		f.t.Fatalf("%s %s by %q: status %d, want %d: %s", method, path, who, w.Code, status, w.Body)
	}
	return w.Body.Bytes()
}

func decode[T any](t *testing.T, data []byte) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

func TestOperatorsInterfaceRequiresOperatorToken(t *testing.T) {
	withOperators(t, func(f *operatorsFixture) {
		unauthorized := string(f.mustAnswer(401, "", "GET", "/v1/status", nil))
		for _, path := range []string{"/v1/status", "/v1/document", "/v1/no-such-path", "/v1/document/team/operators"} {
			if got := string(f.mustAnswer(401, "wrong", "GET", path, nil)); got != unauthorized {
				t.Errorf("%s answers a wrong token with %q, unlike a request without a token", path, got)
			}
		}
		f.mustAnswer(401, "bootstrap", "GET", "/v1/document", nil)
		f.mustAnswer(403, "tills", "GET", "/v1/document", nil)
		time.Sleep(15 * time.Second)
		rows := decode[api.AuditAnswer](t, f.mustAnswer(200, "operators", "GET", "/v1/audit?outcome=unauthorized", nil)).Rows
		if len(rows) != 1 || rows[0].Count != 6 {
			t.Errorf("audit rows of refused tokens are %+v, want one row with count 6", rows)
		}
	})
}

func TestTeamsChangeTheirOwnSections(t *testing.T) {
	withOperators(t, func(f *operatorsFixture) {
		f.mustAnswer(200, "norrbrand", "PUT", "/v1/document/service/serials", f.changeRequest(0, "owner = \"norrbrand\"\n"))
		f.mustAnswer(403, "norrbrand", "PUT", "/v1/document/service/others", f.changeRequest(0, "owner = \"operators\"\n"))
		f.mustAnswer(403, "norrbrand", "PUT", "/v1/document/domain/lulea", f.changeRequest(0, "owner = \"norrbrand\"\nstate = \"withdrawn\"\n"))
		f.mustAnswer(403, "norrbrand", "POST", "/v1/domains/lulea/withdraw", api.ChangeRequest{ChangeID: control.NewID()})
		f.mustAnswer(403, "norrbrand", "PUT", "/v1/document/limits/norrbrand", f.changeRequest(0, "owner = \"norrbrand\"\nrunning = 9\n"))
		f.mustAnswer(403, "norrbrand", "POST", "/v1/placement/force", nil)
		rows := decode[api.AuditAnswer](t, f.mustAnswer(200, "operators", "GET", "/v1/audit?by=norrbrand&outcome=forbidden", nil)).Rows
		if len(rows) != 5 {
			t.Errorf("%d audit rows of forbidden changes, want 5", len(rows))
		}
	})
}

func TestInvalidChangesAndConflictsAreReported(t *testing.T) {
	withOperators(t, func(f *operatorsFixture) {
		bad := f.changeRequest(0, "owner = \"operators\"\nstate = \"off\"\nreasn = \"x\"\n")
		refusal := decode[api.ChangeRefusal](t, f.mustAnswer(422, "operators", "PUT", "/v1/document/domain/lulea", bad))
		if len(refusal.Problems) != 1 || refusal.Problems[0].Line != 3 || refusal.Problems[0].Field != "reasn" {
			t.Errorf("problems are %+v, want one in field reasn at line 3", refusal.Problems)
		}
		check := decode[api.CheckAnswer](t, f.mustAnswer(200, "operators", "POST", "/v1/document-check?section=domain/lulea", bad))
		if check.OK || len(check.Diff) != 3 {
			t.Errorf("the check answered %+v, want a refusal and 3 lines of difference", check)
		}
		first := decode[api.ChangeAnswer](t, f.mustAnswer(200, "operators", "POST", "/v1/domains/lulea/withdraw",
			api.ChangeRequest{ChangeID: control.NewID(), Reason: "power work"}))
		late := f.changeRequest(0, "owner = \"operators\"\nstate = \"in-service\"\n")
		conflict := decode[api.ChangeRefusal](t, f.mustAnswer(409, "operators", "PUT", "/v1/document/domain/lulea", late))
		if conflict.Outcome != audit.Conflict || conflict.Winner == nil || conflict.Winner.Version != first.Version ||
			conflict.Winner.By != "operators/first" || len(conflict.Theirs) == 0 {
			t.Errorf("the conflict is reported as %+v", conflict)
		}
		f.mustAnswer(400, "operators", "PUT", "/v1/document/domain/lulea", api.ChangeRequest{ChangeID: control.NewID()})
	})
}

func TestWithdrawRestoreDrainReport(t *testing.T) {
	withOperators(t, func(f *operatorsFixture) {
		change := func(path, reason string) {
			time.Sleep(time.Second)
			f.mustAnswer(200, "operators", "POST", path, api.ChangeRequest{ChangeID: control.NewID(), Reason: reason})
		}
		change("/v1/domains/lulea/withdraw", "power work")
		change("/v1/servers/10.0.1.7:7100/drain", "new disk")
		time.Sleep(time.Second)
		status := decode[api.StatusAnswer](t, f.mustAnswer(200, "operators", "GET", "/v1/status", nil))
		if len(status.Domains) != 1 || status.Domains[0].State != document.DomainWithdrawn || status.Version != 5 || status.Behind != 0 {
			t.Errorf("status is %+v, want lulea withdrawn at version 5 and no process behind", status)
		}
		change("/v1/domains/lulea/restore", "done")
		change("/v1/servers/10.0.1.7:7100/undrain", "")
		f.mustAnswer(422, "operators", "POST", "/v1/servers/10.0.1.7:7100/undrain", api.ChangeRequest{ChangeID: control.NewID()})
		report := decode[api.ReportAnswer](t, f.mustAnswer(200, "operators", "GET", "/v1/report", nil))
		var lulea []string
		for _, l := range report.Changes {
			if l.Subject == "domain/lulea" {
				lulea = append(lulea, fmt.Sprintf("%s %d %s", l.Outcome, l.Count, l.Why))
			}
		}
		if strings.Join(lulea, ";") != "accepted 2 done" {
			t.Errorf("the report has the changes %q of domain/lulea, want one line of 2 accepted", lulea)
		}
		history := decode[api.HistoryAnswer](t, f.mustAnswer(200, "operators", "GET", "/v1/document/domain/lulea/history", nil))
		if len(history.Sections) != 2 || !strings.Contains(history.Sections[1].Text, "power work") {
			t.Errorf("history is %+v, want 2 versions, the older one with the reason of the withdrawal", history)
		}
	})
}

// handlerTransport is an http.RoundTripper that calls a handler directly.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

func TestOperatorsClient(t *testing.T) {
	withOperators(t, func(f *operatorsFixture) {
		ctx := context.Background()
		c, err := api.NewOperatorsClient([]string{"10.0.0.1:7002"}, f.tokens["operators"], handlerTransport{f.o})
		if err != nil {
			t.Fatal(err)
		}
		r := api.ChangeRequest{ChangeID: control.NewID(), Reason: "disk"}
		first, err := c.Drain(ctx, "10.0.1.7:7100", r)
		if err != nil || first.Section != "drain/10.0.1.7:7100" {
			t.Fatalf("Drain returned %+v, %v", first, err)
		}
		again, err := c.Drain(ctx, "10.0.1.7:7100", r)
		if err != nil || !again.Repeated || again.Version != first.Version {
			t.Errorf("the repeated change returned %+v, %v; want Repeated and the same version", again, err)
		}
		s, err := c.Section(ctx, first.Section)
		if err != nil || s.Version != first.Version {
			t.Errorf("Section returned %+v, %v", s, err)
		}
		expect := ident.DocVersion(1)
		_, err = c.Apply(ctx, first.Section, api.ChangeRequest{ChangeID: control.NewID(), Expect: &expect, Text: s.Text})
		var refused *api.RefusedError
		if !errors.As(err, &refused) || refused.Refusal.Outcome != audit.Conflict {
			t.Errorf("a change of an outdated version returned %v, want a conflict", err)
		}
		if doc, err := c.Document(ctx); err != nil || len(doc.Sections) != 4 {
			t.Errorf("Document returned %+v, %v; want 4 sections", doc, err)
		}
	})
}
