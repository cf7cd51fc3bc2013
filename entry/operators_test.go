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

type quietListener struct{}

func (quietListener) SetView(*document.View)                        {}
func (quietListener) SetPlacement(*placement.Placement)             {}
func (quietListener) SetAgents([]membership.Agent)                  {}
func (quietListener) SetDemand(ident.Incarnation, []control.Demand) {}
func (quietListener) Demand() []control.Demand                      { return nil }

// desk is an operators' interface with an empty document.
type desk struct {
	t *testing.T
	o *Operators
	// tokens by team.
	tokens map[string]string
}

const bootstrapToken = "a-long-token-from-the-settings"

func runDesk(t *testing.T, body func(*desk)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		cfg := control.DefaultConfig()
		cfg.Self, cfg.Cell, cfg.Address = "entry0", "north", "10.0.0.1:1"
		store := memory.New()
		cfg.Table, cfg.Objects = store.Table(), store.Objects()
		cfg.Client = &http.Client{}
		cfg.Log = telemetry.Discard()
		duty, err := control.New(cfg, quietListener{})
		if err != nil {
			t.Fatal(err)
		}
		go duty.Run(ctx)
		o := NewOperators(OperatorsConfig{Self: cfg.Self, Control: duty, BootstrapSHA256: document.HashBootstrap(bootstrapToken)})
		go o.Run(ctx)
		time.Sleep(2 * time.Second)
		d := &desk{t: t, o: o, tokens: map[string]string{"bootstrap": bootstrapToken, "wrong": "operators/first/guess"}}
		d.setUp()
		body(d)
	})
}

// teamText makes a token for a team and the text of its section.
func (d *desk) teamText(team string, role document.Role) string {
	token, e, err := document.NewToken(rand.Reader, ident.Team(team), "first", role)
	if err != nil {
		d.t.Fatal(err)
	}
	d.tokens[team] = token
	return fmt.Sprintf("owner = %q\n[[tokens]]\nid = %q\nrole = %q\nsalt = %q\nsha256 = %q\n", team, e.ID, e.Role, e.Salt, e.SHA256)
}

func (d *desk) setUp() {
	d.t.Helper()
	d.want(200, "bootstrap", "PUT", "/v1/document/team/operators", d.request(0, d.teamText("operators", document.RoleOperator)))
	d.want(200, "operators", "PUT", "/v1/document/team/norrbrand", d.request(0, d.teamText("norrbrand", document.RoleOperator)))
	d.want(200, "operators", "PUT", "/v1/document/team/tills", d.request(0, d.teamText("tills", document.RoleCaller)))
	// A change is in force everywhere 2 s after it was accepted.
	time.Sleep(2 * time.Second)
}

func (d *desk) request(expect ident.DocVersion, text string) api.ChangeRequest {
	time.Sleep(time.Second)
	return api.ChangeRequest{ChangeID: control.NewID(), Expect: &expect, Text: text}
}

// want sends a request and checks the status of the answer.
func (d *desk) want(status int, who, method, path string, body any) []byte {
	d.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	r := httptest.NewRequest(method, path, bytes.NewReader(data))
	if token := d.tokens[who]; token != "" {
		r.Header.Set(api.TokenHeader, "Bearer "+token)
	}
	w := httptest.NewRecorder()
	d.o.ServeHTTP(w, r)
	if w.Code != status {
		d.t.Fatalf("%s %s by %q: status %d, not %d: %s", method, path, who, w.Code, status, w.Body)
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

func TestOperatorsNeedTokens(t *testing.T) {
	runDesk(t, func(d *desk) {
		nothing := string(d.want(401, "", "GET", "/v1/status", nil))
		for _, path := range []string{"/v1/status", "/v1/document", "/v1/no-such-path", "/v1/document/team/operators"} {
			if got := string(d.want(401, "wrong", "GET", path, nil)); got != nothing {
				t.Errorf("%s tells a stranger %q", path, got)
			}
		}
		d.want(401, "bootstrap", "GET", "/v1/document", nil)
		d.want(403, "tills", "GET", "/v1/document", nil)
		time.Sleep(15 * time.Second)
		rows := decode[api.AuditAnswer](t, d.want(200, "operators", "GET", "/v1/audit?outcome=unauthorized", nil)).Rows
		if len(rows) != 1 || rows[0].Count != 6 {
			t.Errorf("the refused tokens left the rows %+v", rows)
		}
	})
}

func TestTeamsChangeTheirOwnSections(t *testing.T) {
	runDesk(t, func(d *desk) {
		d.want(200, "norrbrand", "PUT", "/v1/document/service/serials", d.request(0, "owner = \"norrbrand\"\n"))
		d.want(403, "norrbrand", "PUT", "/v1/document/service/others", d.request(0, "owner = \"operators\"\n"))
		d.want(403, "norrbrand", "PUT", "/v1/document/domain/lulea", d.request(0, "owner = \"norrbrand\"\nstate = \"withdrawn\"\n"))
		d.want(403, "norrbrand", "POST", "/v1/domains/lulea/withdraw", api.ChangeRequest{ChangeID: control.NewID()})
		d.want(403, "norrbrand", "PUT", "/v1/document/limits/norrbrand", d.request(0, "owner = \"norrbrand\"\nrunning = 9\n"))
		d.want(403, "norrbrand", "POST", "/v1/placement/force", nil)
		rows := decode[api.AuditAnswer](t, d.want(200, "operators", "GET", "/v1/audit?by=norrbrand&outcome=forbidden", nil)).Rows
		if len(rows) != 5 {
			t.Errorf("%d rows of forbidden changes, not 5", len(rows))
		}
	})
}

func TestChangesAreCheckedAndClashesShown(t *testing.T) {
	runDesk(t, func(d *desk) {
		bad := d.request(0, "owner = \"operators\"\nstate = \"off\"\nreasn = \"x\"\n")
		refusal := decode[api.ChangeRefusal](t, d.want(422, "operators", "PUT", "/v1/document/domain/lulea", bad))
		if len(refusal.Problems) != 1 || refusal.Problems[0].Line != 3 || refusal.Problems[0].Field != "reasn" {
			t.Errorf("problems are %+v", refusal.Problems)
		}
		check := decode[api.CheckAnswer](t, d.want(200, "operators", "POST", "/v1/document-check?section=domain/lulea", bad))
		if check.OK || len(check.Diff) != 3 {
			t.Errorf("the check says %+v", check)
		}
		first := decode[api.ChangeAnswer](t, d.want(200, "operators", "POST", "/v1/domains/lulea/withdraw",
			api.ChangeRequest{ChangeID: control.NewID(), Reason: "power work"}))
		late := d.request(0, "owner = \"operators\"\nstate = \"in-service\"\n")
		clash := decode[api.ChangeRefusal](t, d.want(409, "operators", "PUT", "/v1/document/domain/lulea", late))
		if clash.Outcome != audit.Conflict || clash.Winner == nil || clash.Winner.Version != first.Version ||
			clash.Winner.By != "operators/first" || len(clash.Theirs) == 0 {
			t.Errorf("the clash is shown as %+v", clash)
		}
		d.want(400, "operators", "PUT", "/v1/document/domain/lulea", api.ChangeRequest{ChangeID: control.NewID()})
	})
}

func TestWithdrawRestoreDrainReport(t *testing.T) {
	runDesk(t, func(d *desk) {
		change := func(path, reason string) {
			time.Sleep(time.Second)
			d.want(200, "operators", "POST", path, api.ChangeRequest{ChangeID: control.NewID(), Reason: reason})
		}
		change("/v1/domains/lulea/withdraw", "power work")
		change("/v1/servers/10.0.1.7:7100/drain", "new disk")
		time.Sleep(time.Second)
		status := decode[api.StatusAnswer](t, d.want(200, "operators", "GET", "/v1/status", nil))
		if len(status.Domains) != 1 || status.Domains[0].State != document.DomainWithdrawn || status.Version != 5 || status.Behind != 0 {
			t.Errorf("status is %+v", status)
		}
		change("/v1/domains/lulea/restore", "done")
		change("/v1/servers/10.0.1.7:7100/undrain", "")
		d.want(422, "operators", "POST", "/v1/servers/10.0.1.7:7100/undrain", api.ChangeRequest{ChangeID: control.NewID()})
		report := decode[api.ReportAnswer](t, d.want(200, "operators", "GET", "/v1/report", nil))
		var lulea []string
		for _, l := range report.Changes {
			if l.Subject == "domain/lulea" {
				lulea = append(lulea, fmt.Sprintf("%s %d %s", l.Outcome, l.Count, l.Why))
			}
		}
		if strings.Join(lulea, ";") != "accepted 2 done" {
			t.Errorf("the report says %q of lulea", lulea)
		}
		history := decode[api.HistoryAnswer](t, d.want(200, "operators", "GET", "/v1/document/domain/lulea/history", nil))
		if len(history.Sections) != 2 || !strings.Contains(history.Sections[1].Text, "power work") {
			t.Errorf("the history is %+v", history)
		}
	})
}

// handlerTransport calls a handler without a network.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

func TestOperatorsClient(t *testing.T) {
	runDesk(t, func(d *desk) {
		ctx := context.Background()
		c, err := api.NewOperatorsClient([]string{"10.0.0.1:7002"}, d.tokens["operators"], handlerTransport{d.o})
		if err != nil {
			t.Fatal(err)
		}
		r := api.ChangeRequest{ChangeID: control.NewID(), Reason: "disk"}
		first, err := c.Drain(ctx, "10.0.1.7:7100", r)
		if err != nil || first.Section != "drain/10.0.1.7:7100" {
			t.Fatalf("drain gave %+v, %v", first, err)
		}
		again, err := c.Drain(ctx, "10.0.1.7:7100", r)
		if err != nil || !again.Repeated || again.Version != first.Version {
			t.Errorf("the same change again gave %+v, %v", again, err)
		}
		s, err := c.Section(ctx, first.Section)
		if err != nil || s.Version != first.Version {
			t.Errorf("the section is %+v, %v", s, err)
		}
		expect := ident.DocVersion(1)
		_, err = c.Apply(ctx, first.Section, api.ChangeRequest{ChangeID: control.NewID(), Expect: &expect, Text: s.Text})
		var refused *api.RefusedError
		if !errors.As(err, &refused) || refused.Refusal.Outcome != audit.Conflict {
			t.Errorf("a clash gave %v", err)
		}
		if doc, err := c.Document(ctx); err != nil || len(doc.Sections) != 4 {
			t.Errorf("the document is %+v, %v", doc, err)
		}
	})
}
