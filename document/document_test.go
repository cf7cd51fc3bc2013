package document

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaildock.example/dock/ident"
)

// fixedRandom returns a source of fixed bytes, so that tokens are the same in
// every run.
func fixedRandom() *bytes.Reader { return bytes.NewReader(bytes.Repeat([]byte{7, 11, 13}, 100)) }

func teamText(t testing.TB, team ident.Team, role Role) (token, text string) {
	t.Helper()
	token, e, err := NewToken(fixedRandom(), team, "first", role)
	if err != nil {
		t.Fatal(err)
	}
	return token, fmt.Sprintf("owner = %q\n[[tokens]]\nid = %q\nrole = %q\nsalt = %q\nsha256 = %q\n", team, e.ID, e.Role, e.Salt, e.SHA256)
}

// sampleDocument returns a document with two teams, a service and a failure
// domain.
func sampleDocument(t testing.TB) *Document {
	_, operators := teamText(t, OperatorsTeam, RoleOperator)
	_, tills := teamText(t, "tills", RoleCaller)
	return New(4, []Section{
		{Name: "team/operators", Version: 1, Owner: OperatorsTeam, Text: operators},
		{Name: "team/tills", Version: 2, Owner: "tills", Text: tills},
		{Name: "service/serials", Version: 3, Owner: "tills", Text: "owner = \"tills\"\nteams = [\"tills\"]\n"},
		{Name: "domain/lulea", Version: 4, Owner: OperatorsTeam, Text: "owner = \"operators\"\nstate = \"in-service\"\n"},
	})
}

func TestProblemsNameLineAndField(t *testing.T) {
	cases := []struct {
		name        Name
		text, field string
		line        int
	}{
		{"domain/lulea", "owner = \"operators\"\nstate = \"off\"\n", "state", 2},
		{"domain/lulea", "owner = \"operators\"\nstat = \"withdrawn\"\n", "stat", 2},
		{"domain/lulea", "owner = \"operators\"\nstate = 3\n", "state", 2},
		{"domain/lulea", "owner = \"operators\nstate = 3\n", "", 1},
		{"limits/tills", "owner = \"operators\"\n\nrunning = -1\n", "running", 3},
		{"limits/tills", "owner = \"operators\"\nburst = 3\n", "burst", 2},
		{"limits/nobody", "owner = \"operators\"\n", "", 0},
		{"service/other", "owner = \"nobody\"\n", "owner", 1},
		{"service/other", "owner = \"tills\"\nteams = [\"nobody\"]\n", "teams", 2},
		{"service/other", "", "owner", 0},
		{"team/new", "owner = \"operators\"\n[[tokens]]\nid = \"a\"\nrole = \"boss\"\n", "tokens[0].role", 4},
		{"ward/x", "", "", 0},
		{"domain/a b", "", "", 0},
	}
	for _, c := range cases {
		err := sampleDocument(t).With(Section{Name: c.name, Version: 5, Text: c.text}).Check()
		var faults *CheckError
		if !errors.As(err, &faults) {
			t.Errorf("%s %q: no *CheckError", c.name, c.text)
			continue
		}
		p := faults.Problems[0]
		if p.Section != c.name || p.Line != c.line || p.Field != c.field || p.Message == "" {
			t.Errorf("%s %q: unexpected problem %+v", c.name, c.text, p)
		}
	}
	if err := sampleDocument(t).Check(); err != nil {
		t.Error(err)
	}
}

func TestDocumentNeedsAnOperator(t *testing.T) {
	_, caller := teamText(t, OperatorsTeam, RoleCaller)
	if sampleDocument(t).With(Section{Name: "team/operators", Version: 5, Text: caller}).Check() == nil {
		t.Error("a document without an operator token of the operators team was accepted")
	}
	if New(0, nil).Check() != nil {
		t.Error("the empty document was refused")
	}
}

func TestTokens(t *testing.T) {
	v, err := NewView(sampleDocument(t))
	if err != nil {
		t.Fatal(err)
	}
	token, _ := teamText(t, "tills", RoleCaller)
	id, err := v.Authenticate(token)
	if err != nil || id.Team != "tills" || id.Role != RoleCaller {
		t.Errorf("the valid token gave %+v, %v", id, err)
	}
	for _, wrong := range []string{"", "tills", "tills/first", token + "x", token[:len(token)-1], strings.Replace(token, "tills", "operators", 1) + "x", "//"} {
		if _, err := v.Authenticate(wrong); err != ErrInvalidToken {
			t.Errorf("token %q gave error %v, want ErrInvalidToken", wrong, err)
		}
	}
	if !MatchesBootstrapHash("secret", HashBootstrap("secret")) || MatchesBootstrapHash("", "") || MatchesBootstrapHash("x", HashBootstrap("secret")) {
		t.Error("MatchesBootstrapHash must be true only for the hash of the token")
	}
}

func TestViewInService(t *testing.T) {
	d := sampleDocument(t).With(Section{Name: "domain/umea", Version: 5, Text: DomainText("", DomainWithdrawn, "a \"quoted\" reason")})
	d = d.With(Section{Name: "drain/10.0.0.7:7100", Version: 6, Text: DrainText("disk")})
	v, err := NewView(d)
	if err != nil {
		t.Fatal(err)
	}
	if !v.InService("lulea", "a", "10.0.0.1:1") || !v.InService("unknown", "a", "10.0.0.1:1") {
		t.Error("an agent that is neither withdrawn nor drained is out of service")
	}
	if v.InService("umea", "a", "10.0.0.1:1") || v.InService("lulea", "a", "10.0.0.7:7100") {
		t.Error("a withdrawn or drained agent is in service")
	}
	if got := v.Domain("umea").Reason; got != "a \"quoted\" reason" {
		t.Errorf("reason of domain umea: %q", got)
	}
	if v.MaySubmit("operators", "serials") || !v.MaySubmit("tills", "serials") || !v.MaySubmit("tills", "unlisted") {
		t.Error("MaySubmit must be true only for listed teams and for services without a section")
	}
}

func TestDomainTextKeepsOtherLines(t *testing.T) {
	text := "# call the desk first\nowner = \"operators\"\nstate = \"in-service\" # for now\nramp_seconds = 30\n"
	got := DomainText(text, DomainWithdrawn, "x")
	want := "# call the desk first\nowner = \"operators\"\nstate = \"withdrawn\"\nramp_seconds = 30\nreason = \"x\"\n"
	if got != want {
		t.Errorf("text is %q, want the owner's other lines kept", got)
	}
}

// After changes by random teams based on random versions, the invariants of the
// document hold: versions rise by one and are never reused, no accepted change
// is based on an old version or made by a team without permission, and the
// document stays valid.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, text := newTeamText(OperatorsTeam, RoleOperator)
		_, tills := newTeamText("tills", RoleOperator)
		d := New(2, []Section{
			{Name: "team/operators", Version: 1, Owner: OperatorsTeam, Text: text},
			{Name: "team/tills", Version: 2, Owner: "tills", Text: tills},
		})
		used := map[ident.DocVersion]bool{1: true, 2: true}
		t.Repeat(map[string]func(*rapid.T){"change": func(t *rapid.T) {
			c := randomChange(t, d)
			last, _ := d.Last(c.Section)
			before, existed := d.Section(c.Section)
			_, next, s, err := Decide(d, c, "", time.Unix(1000, 0))
			if err != nil {
				return
			}
			if s.Version != d.Version+1 || used[s.Version] {
				t.Fatalf("new version %d after document version %d is not the next or was used before", s.Version, d.Version)
			}
			if last.Version != c.Expect && existed {
				t.Fatalf("a change based on version %d was accepted at version %d", c.Expect, last.Version)
			}
			if c.By.Role != RoleOperator || (c.By.Team != OperatorsTeam && existed && before.Owner != c.By.Team) {
				t.Fatalf("%v changed a section owned by %q", c.By, before.Owner)
			}
			if next.Check() != nil {
				t.Fatal("the document is invalid after an accepted change")
			}
			used[s.Version] = true
			d = next
		}})
	})
}

func newTeamText(team ident.Team, role Role) (string, string) {
	token, e, err := NewToken(fixedRandom(), team, "first", role)
	if err != nil {
		panic(err)
	}
	return token, fmt.Sprintf("owner = %q\n[[tokens]]\nid = %q\nrole = %q\nsalt = %q\nsha256 = %q\n", team, e.ID, e.Role, e.Salt, e.SHA256)
}

func randomChange(t *rapid.T, d *Document) Change {
	team := rapid.SampledFrom([]ident.Team{OperatorsTeam, "tills"}).Draw(t, "team")
	owner := rapid.SampledFrom([]ident.Team{OperatorsTeam, "tills", "nobody"}).Draw(t, "owner")
	name := rapid.SampledFrom([]Name{"service/a", "service/b", "domain/a", "limits/tills", "team/operators", "team/tills"}).Draw(t, "name")
	text := fmt.Sprintf("owner = %q\n", owner)
	if name.Kind() == KindDomain {
		text += "state = \"withdrawn\"\n"
	}
	expect := ident.DocVersion(0)
	if last, ok := d.Last(name); ok && rapid.IntRange(0, 3).Draw(t, "stale") > 0 {
		expect = last.Version
	}
	return Change{
		ID: "x", Section: name, Expect: expect, Text: text, Delete: rapid.IntRange(0, 3).Draw(t, "delete") == 0,
		By: Identity{Team: team, TokenID: "first", Role: rapid.SampledFrom([]Role{RoleOperator, RoleOperator, RoleCaller}).Draw(t, "role")},
	}
}

// The common and removed lines of a difference make up the first text, the
// common and added lines the second.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"a", "b", "c"})
		before := rapid.SliceOfN(line, 0, 12).Draw(t, "before")
		after := rapid.SliceOfN(line, 0, 12).Draw(t, "after")
		var left, right []string
		for _, l := range Diff(strings.Join(before, "\n"), strings.Join(after, "\n")) {
			if l.Op != Add {
				left = append(left, l.Text)
			}
			if l.Op != Remove {
				right = append(right, l.Text)
			}
		}
		if strings.Join(left, "\n") != strings.Join(before, "\n") || strings.Join(right, "\n") != strings.Join(after, "\n") {
			t.Fatalf("the lines of the difference make up %q and %q, not the two texts", left, right)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("domain/lulea", "owner = \"operators\"\nstate = \"withdrawn\"\n")
	f.Add("team/tills", "owner = \"tills\"\n[[tokens]]\nid = \"a\"\n")
	f.Add("limits/tills", "running = 1e9")
	f.Fuzz(func(t *testing.T, name, text string) {
		c, problems := parse(Name(name), text)
		if c == nil && len(problems) == 0 {
			t.Error("neither content nor problems")
		}
		for _, p := range problems {
			if p.Message == "" {
				t.Errorf("a problem without a message: %+v", p)
			}
		}
	})
}
