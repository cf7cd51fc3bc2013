package manifest

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
)

// Check returns all findings about a manifest: those of the decoder, then its own in the
// order of the manifest. It doesn't judge what the decoder has found invalid.
func Check(m *Manifest) []Finding {
	c := &checker{findings: slices.Clone(m.Decoding), invalid: map[invalidField]bool{}}
	for _, f := range m.Decoding {
		if f.Severity != Error {
			continue
		}
		c.invalid[invalidField{f.Place.Section, f.Place.Number, f.Field}] = true
	}
	c.place = Place{Section: Whole}
	c.require(Version, m.Version >= 1, m.Version, "a whole number of at least 1")
	listed := c.services(m)
	withObjective := servicesWithObjective(m.Routes)
	names, targets := map[string]int{}, map[target]int{}
	for i := range m.Routes {
		r := &m.Routes[i]
		c.place = Place{RouteSection, i + 1, r.Name}
		c.uniqueName(names, r.Name)
		c.target(targets, r)
		c.service(listed, r)
		c.numbers(r)
		c.objective(r, withObjective[r.Service])
	}
	c.place = Place{Section: LimitsSection}
	c.limits(&m.Limits)
	return c.findings
}

// Errors returns the number of errors among findings.
func Errors(findings []Finding) int {
	n := 0
	for i := range findings {
		if findings[i].Severity == Error {
			n++
		}
	}
	return n
}

// checker collects findings about one place after the other.
type checker struct {
	findings []Finding
	place    Place
	invalid  map[invalidField]bool
}

// invalidField is a field for which the decoder has found no valid value. The name of an
// entry isn't part of it, since the name may be the invalid field.
type invalidField struct {
	section Section
	number  int
	field   Field
}

func (c *checker) add(s Severity, f Field, found any, want string) {
	at := invalidField{c.place.Section, c.place.Number, f}
	whole := invalidField{c.place.Section, c.place.Number, None}
	if !c.invalid[at] && !c.invalid[whole] {
		c.findings = append(c.findings, Finding{s, c.place, f, fmt.Sprint(found), want})
	}
}

// require adds an error unless ok is true.
func (c *checker) require(f Field, ok bool, found any, want string) {
	if !ok {
		c.add(Error, f, found, want)
	}
}

// services checks the list of services and returns their names.
func (c *checker) services(m *Manifest) map[string]int {
	used := map[ident.Service]bool{}
	for i := range m.Routes {
		used[m.Routes[i].Service] = true
	}
	listed := map[string]int{}
	for i, s := range m.Services {
		c.place = Place{ServiceSection, i + 1, s.Name}
		c.uniqueName(listed, s.Name)
		if s.Name != "" && !used[ident.Service(s.Name)] {
			c.add(Warning, Name, "no route that names it", "a route, or no such service")
		}
	}
	return listed
}

// uniqueName checks a name against those before it, and adds it to them.
func (c *checker) uniqueName(before map[string]int, name string) {
	first, duplicate := before[name]
	switch {
	case name == "":
		c.add(Error, Name, "nothing", "a name")
	case duplicate:
		c.add(Error, Name, fmt.Sprintf("the name of %s %d", c.place.Section, first), "a name of its own")
	default:
		before[name] = c.place.Number
	}
}

func (c *checker) service(listed map[string]int, r *Route) {
	_, known := listed[string(r.Service)]
	switch {
	case r.Service == "":
		c.add(Error, ServiceName, "nothing", "the name of a service")
	case !known:
		c.add(Error, ServiceName, fmt.Sprintf("%q", r.Service), "a service that the manifest lists")
	}
}

// target is what a route matches.
type target struct{ host, prefix string }

// target checks whether a request can match the route.
func (c *checker) target(before map[target]int, r *Route) {
	switch {
	case r.Host == "":
		c.add(Error, Host, "nothing", "a host")
	case !possibleHost(r.Host):
		c.add(Error, Host, fmt.Sprintf("%q, which no request has", r.Host), "lower-case letters, digits, dots and hyphens without a port, or an IP address")
	}
	switch {
	case r.PathPrefix == "":
		c.add(Error, PathPrefix, "nothing", `a path that begins and ends with "/"`)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		c.add(Error, PathPrefix, fmt.Sprintf("%q", r.PathPrefix), `a path that begins and ends with "/"`)
	}
	if !possiblePrefix(r.PathPrefix) {
		c.add(Error, PathPrefix, fmt.Sprintf("%q, which no request has", r.PathPrefix), `a path without spaces, "?", "#" and "%"`)
	}
	at := target{r.Host, r.PathPrefix}
	if first, duplicate := before[at]; duplicate {
		c.add(Error, PathPrefix, fmt.Sprintf("host and prefix of route %d, which counts", first), "a host and prefix of its own")
		return
	}
	if r.Host != "" && r.PathPrefix != "" {
		before[at] = c.place.Number
	}
}

// possibleHost reports whether the host of a request, without its port, can be h.
func possibleHost(h string) bool {
	if _, err := netip.ParseAddr(strings.Trim(h, "[]")); err == nil {
		return h == strings.ToLower(h)
	}
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789.-_"
	return !strings.ContainsFunc(h, func(r rune) bool { return !strings.ContainsRune(allowed, r) })
}

// possiblePrefix reports whether p has only characters of a path. Entries compare it with
// the decoded path, without the query.
func possiblePrefix(p string) bool {
	return !strings.ContainsAny(p, "?#%") && !strings.ContainsFunc(p, func(r rune) bool {
		return unicode.IsSpace(r) || unicode.IsControl(r)
	})
}

// numbers checks the ranges of the numbers of a route.
func (c *checker) numbers(r *Route) {
	c.duration(Timeout, r.Timeout)
	c.duration(TargetLatency, r.TargetLatency)
	// A timeout of 0 stands for the default.
	if timeout := cmp.Or(r.Timeout, DefaultTimeout); timeout > 0 && timeout < r.TargetLatency {
		c.add(Error, Timeout, timeout, fmt.Sprintf("at least the target latency of %v", r.TargetLatency))
	}
	switch {
	case math.IsNaN(r.Stretch) || r.Stretch < 0 || r.Stretch > MaxStretch:
		c.add(Error, Stretch, r.Stretch, fmt.Sprintf("0, or 1 to %d", MaxStretch))
	case r.Stretch > 0 && r.Stretch < 1:
		c.add(Error, Stretch, r.Stretch, "0 or at least 1: a job can't end before its expected run time")
	}
	c.require(Attempts, r.Attempts >= 1 && r.Attempts <= MaxAttempts, r.Attempts, fmt.Sprintf("1 to %d", MaxAttempts))
	c.require(Priority, r.Priority >= 0 && r.Priority <= MaxPriority, int(r.Priority), fmt.Sprintf("0 to %d", MaxPriority))
}

// duration checks a timeout or a latency. 0 means that it isn't given.
func (c *checker) duration(f Field, d time.Duration) {
	c.require(f, d >= 0 && d <= MaxTimeout, d, fmt.Sprintf("0s to %v", MaxTimeout))
}

func hasObjective(r *Route) bool { return r.Stretch > 0 || r.TargetLatency > 0 }

// servicesWithObjective returns the services of which a route has a latency objective.
func servicesWithObjective(routes []Route) map[ident.Service]bool {
	services := map[ident.Service]bool{}
	for i := range routes {
		if hasObjective(&routes[i]) {
			services[routes[i].Service] = true
		}
	}
	return services
}

// objective warns of a route without a latency objective beside routes with one: its jobs
// have no deadline by which they could be ordered among the others.
func (c *checker) objective(r *Route, others bool) {
	if others && !hasObjective(r) {
		c.add(Warning, TargetLatency, "no latency objective, so its jobs can't be ordered by deadline", "an objective, as another route of the service has")
	}
}

// limits checks the limits of requests. 0 means that a limit isn't given.
func (c *checker) limits(l *operator.Limits) {
	c.require(MaxHeaderBytes, l.MaxHeaderBytes >= 0, l.MaxHeaderBytes, "0 or more bytes")
	c.duration(HeaderTimeout, l.HeaderTimeout)
	c.duration(IdleTimeout, l.IdleTimeout)
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Error, HeaderTimeout, l.HeaderTimeout, fmt.Sprintf("at most the idle timeout of %v", l.IdleTimeout))
	}
	c.require(MaxBodyBytes, l.MaxBodyBytes == 0 || l.MaxBodyBytes >= MaxJobSpec, l.MaxBodyBytes,
		fmt.Sprintf("0 for the default, or at least the largest job specification of %d bytes", MaxJobSpec))
}
