package manifest

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/operator"
)

// valid returns a manifest without findings: two routes and one service.
func valid() *Manifest {
	route := func(name string) Route {
		return Route{Kind: `"unsafe"`, Route: operator.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Service: "s", Attempts: 3,
			Timeout: 1500 * time.Millisecond, TargetLatency: 60 * time.Millisecond, Stretch: 1.6,
		}}
	}
	return &Manifest{
		Version: 7, Routes: []Route{route("a"), route("b")},
		Services: []Service{{Name: "s", Settings: map[string]string{"size": "1"}}},
		Limits:   operator.Limits{MaxBodyBytes: 4000, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

// Each case is a fault that would otherwise first be seen once the manifest is in force.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		failure string
		change  func(m *Manifest, r *Route) // r is the second route
		want    []string                    // severity, place and field
	}{
		{"a sound manifest is refused", func(*Manifest, *Route) {}, nil},
		{"values that mean not given, or the bounds, are refused", func(m *Manifest, r *Route) {
			r.Timeout, r.Stretch, r.Priority, r.Attempts, m.Limits = 0, 1, MaxPriority, MaxAttempts, operator.Limits{}
		}, nil},
		{"an IP address is refused as host", func(_ *Manifest, r *Route) { r.Host = "[fe80::1]" }, nil},
		{"entries never take version 0", func(m *Manifest, _ *Route) { m.Version = 0 }, []string{"error manifest version"}},
		{"metrics of a route without name can't be told apart", func(_ *Manifest, r *Route) { r.Name = "" }, []string{"error route 2 name"}},
		{"two routes share a name", func(_ *Manifest, r *Route) { r.Name = "a" }, []string{`error route 2 "a" name`}},
		{"two services share a name", func(m *Manifest, _ *Route) { m.Services = append(m.Services, m.Services[0]) }, []string{`error service 2 "s" name`}},
		{"a service has no name", func(m *Manifest, _ *Route) { m.Services = append(m.Services, Service{}) }, []string{"error service 2 name"}},
		{"a route without host matches nothing", func(_ *Manifest, r *Route) { r.Host = "" }, []string{`error route 2 "b" host`}},
		{"a route without prefix takes whole paths as ids", func(_ *Manifest, r *Route) { r.PathPrefix = "" }, []string{`error route 2 "b" path prefix`}},
		{"an open prefix matches other paths", func(_ *Manifest, r *Route) { r.PathPrefix = "/b" }, []string{`error route 2 "b" path prefix`}},
		{"a relative prefix matches nothing", func(_ *Manifest, r *Route) { r.PathPrefix = "b/" }, []string{`error route 2 "b" path prefix`}},
		{"jobs of a route without service find no server", func(_ *Manifest, r *Route) { r.Service = "" }, []string{`error route 2 "b" service`}},
		{"a service is misspelt", func(_ *Manifest, r *Route) { r.Service = "S" }, []string{`error route 2 "b" service`}},
		{"a listed service gets no jobs", func(m *Manifest, _ *Route) { m.Services = append(m.Services, Service{Name: "x"}) }, []string{`warning service 2 "x" name`}},
		{"a later route is hidden", func(_ *Manifest, r *Route) { r.PathPrefix = "/a/" }, []string{`error route 2 "b" path prefix`}},
		{"the host has upper case", func(_ *Manifest, r *Route) { r.Host = "H.example" }, []string{`error route 2 "b" host`}},
		{"the IP address has upper case", func(_ *Manifest, r *Route) { r.Host = "FE80::1" }, []string{`error route 2 "b" host`}},
		{"the host has a space", func(_ *Manifest, r *Route) { r.Host = "h. example" }, []string{`error route 2 "b" host`}},
		{"the host has a port", func(_ *Manifest, r *Route) { r.Host = "h.example:80" }, []string{`error route 2 "b" host`}},
		{"the prefix has a query", func(_ *Manifest, r *Route) { r.PathPrefix = "/b?x=/" }, []string{`error route 2 "b" path prefix`}},
		{"the prefix has a space", func(_ *Manifest, r *Route) { r.PathPrefix = "/b /" }, []string{`error route 2 "b" path prefix`}},
		{"the timeout is negative", func(_ *Manifest, r *Route) { r.Timeout = -1 }, []string{`error route 2 "b" timeout`}},
		{"the timeout is longer than entries wait", func(_ *Manifest, r *Route) { r.Timeout = MaxTimeout + 1 }, []string{`error route 2 "b" timeout`}},
		{"jobs time out before their target", func(_ *Manifest, r *Route) { r.Timeout = time.Millisecond }, []string{`error route 2 "b" timeout`}},
		{"jobs time out by default before their target", func(_ *Manifest, r *Route) { r.Timeout, r.TargetLatency = 0, time.Hour }, []string{`error route 2 "b" timeout`}},
		{"the target is negative", func(_ *Manifest, r *Route) { r.TargetLatency = -1 }, []string{`error route 2 "b" target latency`}},
		{"the objective is earlier than the run time", func(_ *Manifest, r *Route) { r.Stretch = 0.9 }, []string{`error route 2 "b" stretch`}},
		{"the objective overflows", func(_ *Manifest, r *Route) { r.Stretch = 1e9 }, []string{`error route 2 "b" stretch`}},
		{"the stretch is negative", func(_ *Manifest, r *Route) { r.Stretch = -1 }, []string{`error route 2 "b" stretch`}},
		{"the stretch is no number", func(_ *Manifest, r *Route) { r.Stretch = math.NaN() }, []string{`error route 2 "b" stretch`}},
		{"a route without objective can't be ordered", func(_ *Manifest, r *Route) { r.Stretch, r.TargetLatency = 0, 0 }, []string{`warning route 2 "b" target latency`}},
		{"0 attempts act as 1", func(_ *Manifest, r *Route) { r.Attempts = 0 }, []string{`error route 2 "b" attempts`}},
		{"a task is tried without end", func(_ *Manifest, r *Route) { r.Attempts = 1 << 40 }, []string{`error route 2 "b" attempts`}},
		{"the priority is negative", func(_ *Manifest, r *Route) { r.Priority = -1 }, []string{`error route 2 "b" priority`}},
		{"the priority overflows in messages to agents", func(_ *Manifest, r *Route) { r.Priority = 1 << 31 }, []string{`error route 2 "b" priority`}},
		{"the header limit is negative", func(m *Manifest, _ *Route) { m.Limits.MaxHeaderBytes = -1 }, []string{"error limits maximum header"}},
		{"the largest specification doesn't fit", func(m *Manifest, _ *Route) { m.Limits.MaxBodyBytes = 3999 }, []string{"error limits maximum body"}},
		{"connections end before their header may", func(m *Manifest, _ *Route) { m.Limits.HeaderTimeout = 2 * time.Second }, []string{"error limits header timeout"}},
		{"the idle timeout is negative", func(m *Manifest, _ *Route) { m.Limits.IdleTimeout = -1 }, []string{"error limits idle timeout"}},
	} {
		m := valid()
		c.change(m, &m.Routes[1])
		var got []string
		for _, f := range Check(m) {
			got = append(got, fmt.Sprintf("%s %v %s", f.Severity, f.Place, f.Field))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.failure, got, c.want)
		}
	}
}

// What can't be decoded is 0; a second finding about the 0 would mislead. A warning about
// a field says nothing about its value.
func TestInvalidFieldsAreReportedOnce(t *testing.T) {
	m := valid()
	m.Routes[0], m.Routes[1].Attempts, m.Routes[1].Priority = Route{}, 0, -1
	m.Decoding = []Finding{
		{Error, Place{RouteSection, 1, ""}, None, "3", "an object"},
		{Error, Place{RouteSection, 2, "b"}, Attempts, "string", "a whole number"},
		{Warning, Place{RouteSection, 2, "b"}, Priority, "", ""},
	}
	got := Check(m)
	if len(got) != 4 || !slices.Equal(got[:3], m.Decoding) || got[3].Field != Priority {
		t.Errorf("got %v, want the findings of the decoder and one about the priority", got)
	}
}

// A change that isn't shown is sent unseen; a version that isn't higher is never in force.
func TestCompare(t *testing.T) {
	inForce, m := valid(), valid()
	m.Version = 8
	if changes, findings := Compare(inForce, m); len(changes)+len(findings) > 0 {
		t.Errorf("the same manifest with a higher version: got %v, %v", changes, findings)
	}
	m.Routes[0].Name, m.Routes[1].Timeout, m.Routes[1].Kind = "c", time.Second, ""
	m.Services[0].Settings = map[string]string{"speed": "2"}
	m.Limits.MaxBodyBytes = 5000
	m.Version = 7
	hidden := m.Routes[1]
	hidden.Timeout = time.Minute
	m.Routes = append(m.Routes, hidden)
	got, findings := Compare(inForce, m)
	b, s := Place{Section: RouteSection, Name: "b"}, Place{Section: ServiceSection, Name: "s"}
	want := []Change{
		{Difference: Removed, Place: Place{Section: RouteSection, Name: "a"}},
		{Difference: Added, Place: Place{Section: RouteSection, Name: "c"}},
		{Changed, b, Kind, `"unsafe"`, ""}, {Changed, b, Timeout, "1.5s", "1s"},
		{Changed, s, "speed", "", "2"}, {Changed, s, "size", "1", ""},
		{Changed, Place{Section: LimitsSection}, MaxBodyBytes, "4000", "5000"},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got changes %v, want %v", got, want)
	}
	if Errors(findings) != 1 || findings[0].Field != Version {
		t.Errorf("got %v, want an error about the version", findings)
	}
}
