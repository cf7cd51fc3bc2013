package operator

import (
	"fmt"
	"strings"
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

// linearMatch is the definition of Match: the longest prefix of all routes of the host,
// and the first of several equal ones.
func linearMatch(m *Manifest, host, path string) (Route, bool) {
	best := -1
	for i := range m.Routes {
		r := &m.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best < 0 || len(r.PathPrefix) > len(m.Routes[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return m.Routes[best], true
}

func TestMatchFindsWhatASearchOfAllRoutesFinds(t *testing.T) {
	path := rapid.StringMatching(`/[ab/]{0,5}`)
	host := rapid.SampledFrom([]string{"a.example", "b.example"})
	rapid.Check(t, func(t *rapid.T) {
		m := &Manifest{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			m.Routes = append(m.Routes, Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "prefix")})
		}
		for range 5 {
			h, p := host.Draw(t, "request host"), path.Draw(t, "request path")
			got, found := m.Match(h, p)
			want, wanted := linearMatch(m, h, p)
			if got != want || found != wanted {
				t.Fatalf("%s%s: got route %q, %v, want %q, %v", h, p, got.Name, found, want.Name, wanted)
			}
		}
	})
}

// longManifest has 2,000 routes of as many hosts, and as many prefixes of one host.
func longManifest() *Manifest {
	m := &Manifest{}
	for i := range 2000 {
		m.Routes = append(m.Routes,
			Route{Name: fmt.Sprint("h", i), Host: fmt.Sprintf("h%d.example", i), PathPrefix: "/jobs/"},
			Route{Name: fmt.Sprint("p", i), Host: "shared.example", PathPrefix: fmt.Sprintf("/jobs-%d/", i)})
	}
	return m
}

// BenchmarkMatchLongManifest is the cost that a long manifest adds to each request. It
// has to stay below 1 us.
func BenchmarkMatchLongManifest(b *testing.B) {
	m := longManifest()
	for b.Loop() {
		if _, found := m.Match("shared.example", "/jobs-1999/0123456789abcdef"); !found {
			b.Fatal("no route found")
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
