package operator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLongestPrefixMatches(t *testing.T) {
	m := &Manifest{Routes: []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z/1", ""},
		{"c.example", "/x/1", ""},
	} {
		got, found := m.Match(c.host, c.path)
		if got.Name != c.want || found != (c.want != "") {
			t.Errorf("%s%s: matched route %q, want %q", c.host, c.path, got.Name, c.want)
		}
	}
}

// Rows arrive in any order, from the store and from peers. Neither the version of the
// rows nor that of the manifest may ever decrease.
func TestViewNeverMovesToAnOlderVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		var version uint64
		var manifest int64
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			rows := Rows{Version: rapid.Uint64Range(1, 20).Draw(t, "version")}
			if rapid.Bool().Draw(t, "has_manifest") {
				rows.Manifest = &Manifest{Version: rapid.Int64Range(1, 20).Draw(t, "manifest")}
			}
			v.Update(rows, time.Duration(rapid.IntRange(0, 100).Draw(t, "confirmed")))
			if v.Rows().Version < version {
				t.Fatalf("rows version decreased from %d to %d", version, v.Rows().Version)
			}
			version = v.Rows().Version
			if m := v.Rows().Manifest; m != nil {
				if m.Version < manifest {
					t.Fatalf("manifest version decreased from %d to %d", manifest, m.Version)
				}
				manifest = m.Version
			}
		}
	})
}
