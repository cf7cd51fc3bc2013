package document

import (
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// DefaultRampSeconds is the ramp time of a restored domain whose section does
// not set ramp_seconds.
const DefaultRampSeconds = 2

// View is the typed form of one document version. It is immutable and safe for
// concurrent use.
type View struct {
	Version  ident.DocVersion
	teams    map[ident.Team]TeamContent
	limits   map[ident.Team]LimitsContent
	services map[ident.Service]ServiceContent
	domains  map[ident.FailureDomain]DomainContent
	drains   map[string]DrainContent
	owners   map[Name]ident.Team
}

// NewView parses and checks a whole document. Its error is a *CheckError.
func NewView(d *Document) (*View, error) {
	v := &View{
		Version:  d.Version,
		teams:    make(map[ident.Team]TeamContent),
		limits:   make(map[ident.Team]LimitsContent),
		services: make(map[ident.Service]ServiceContent),
		domains:  make(map[ident.FailureDomain]DomainContent),
		drains:   make(map[string]DrainContent),
		owners:   make(map[Name]ident.Team),
	}
	var problems []Problem
	for _, s := range d.Sections() {
		c, ps := parse(s.Name, s.Text)
		problems = append(problems, ps...)
		if len(ps) == 0 {
			v.add(s.Name.Subject(), c)
			v.owners[s.Name] = c.owner()
		}
	}
	if len(problems) == 0 {
		problems = crossCheck(d, v)
	}
	if len(problems) > 0 {
		return nil, &CheckError{Problems: problems}
	}
	return v, nil
}

func (v *View) add(subject string, c content) {
	switch c := c.(type) {
	case *TeamContent:
		v.teams[ident.Team(subject)] = *c
	case *LimitsContent:
		v.limits[ident.Team(subject)] = *c
	case *ServiceContent:
		v.services[ident.Service(subject)] = *c
	case *DomainContent:
		v.domains[ident.FailureDomain(subject)] = *c
	case *DrainContent:
		v.drains[subject] = *c
	}
}

// HasTeam reports whether the team has a section.
func (v *View) HasTeam(t ident.Team) bool {
	_, ok := v.teams[t]
	return ok
}

// Teams returns all teams, sorted by name.
func (v *View) Teams() []ident.Team { return slices.Sorted(maps.Keys(v.teams)) }

// Limits returns the limits of the team. A team without a limits/ section has
// no limits and the weight 1.
func (v *View) Limits(t ident.Team) LimitsContent {
	l := v.limits[t]
	l.Weight = max(l.Weight, 1)
	return l
}

// Service returns the section of a service, and false if it has none. Backend
// servers may announce services that have no section.
func (v *View) Service(s ident.Service) (ServiceContent, bool) {
	c, ok := v.services[s]
	return c, ok
}

// MaySubmit reports whether the team may submit jobs for the service. Every
// team may for a service without a section.
func (v *View) MaySubmit(t ident.Team, s ident.Service) bool {
	c, ok := v.services[s]
	return !ok || len(c.Teams) == 0 || slices.Contains(c.Teams, t)
}

// Domain returns the section of a failure domain. One without a section is in
// service.
func (v *View) Domain(d ident.FailureDomain) DomainContent {
	c, ok := v.domains[d]
	if !ok {
		c.State = DomainInService
	}
	if c.RampSeconds == 0 {
		c.RampSeconds = DefaultRampSeconds
	}
	return c
}

// Domains returns the failure domains that have a section, sorted by name.
func (v *View) Domains() []ident.FailureDomain { return slices.Sorted(maps.Keys(v.domains)) }

// Ramp returns the time over which the load of a restored domain's backend
// servers rises to its full level.
func (v *View) Ramp(d ident.FailureDomain) time.Duration {
	return time.Duration(v.Domain(d).RampSeconds) * time.Second
}

// Drain returns the drain/ section for the agent's address or incarnation,
// and false if the backend server is not drained.
func (v *View) Drain(agent ident.Incarnation, address string) (DrainContent, bool) {
	if c, ok := v.drains[address]; ok {
		return c, true
	}
	c, ok := v.drains[string(agent)]
	return c, ok
}

// InService reports whether the backend server of the agent may start tasks.
func (v *View) InService(d ident.FailureDomain, agent ident.Incarnation, address string) bool {
	if v.Domain(d).State != DomainInService {
		return false
	}
	_, drained := v.Drain(agent, address)
	return !drained
}

// Owner returns the team that may change a section, as given in its text.
func (v *View) Owner(n Name) ident.Team { return v.owners[n] }

// hasOperator reports whether the team has a token that may change sections.
func (v *View) hasOperator(t ident.Team) bool {
	return slices.ContainsFunc(v.teams[t].Tokens, func(e TokenEntry) bool { return e.Role == RoleOperator })
}
