package directory

import (
	"strings"
	"testing"
)

var oddMembers = []string{
	``, `{`, `null`, `[]`, `5`, `{}`,
	`{"incarnation":5,"role":"agent","address":"10.1.0.14:7720"}`,
	`{"incarnation":"","role":"agent","address":"10.1.0.14:7720"}`,
	`{"incarnation":"a","role":"clerk","address":"10.1.0.14:7720"}`,
	`{"incarnation":"a","role":"agent"}`,
	`{"incarnation":"a","role":"agent","address":"10.1.0.14"}`,
	`{"incarnation":"a","role":"agent","address":"10.1.0.14:0"}`,
	`{"incarnation":"a","role":"agent","address":"10.1.0.14:98165"}`,
	`{"incarnation":"a","role":"agent","address":"10.1.0.999:7720"}`,
	`{"incarnation":"a","role":"agent","address":"agent.example:7720"}`,
	`{"incarnation":"` + strings.Repeat("a", 10_000) + `","role":"agent","address":"10.1.0.14:7720"}`,
	`{"incarnation":` + strings.Repeat("9", 10_000) + `}`,
	strings.Repeat("[", 20_000),
}

// A row of another writer with a port out of range was dialled for minutes (issue 36).
func TestOddMembersAreRefused(t *testing.T) {
	for _, text := range oddMembers {
		if m, err := Decode([]byte(text)); err == nil || len(err.Error()) > 300 {
			t.Errorf("%.60s: member %+v, error %v, want a short error", text, m, err)
		}
	}
	want := Member{Incarnation: "a", Role: RoleAgent, Address: "10.1.0.14:7720", Domain: "north"}
	text, err := Encode(&want)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := Decode(text); err != nil || m != want {
		t.Errorf("member %+v, error %v, want %+v", m, err, want)
	}
}

// FuzzMember decodes the value of a row of the table of members.
func FuzzMember(f *testing.F) {
	for _, text := range oddMembers {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if m, err := Decode(text); err == nil && (m.Address == "" || m.Incarnation == "") {
			t.Fatalf("%+v is a member", m)
		}
	})
}
