package document

import (
	"foxtaildock.example/dock/ident"
)

// TeamContent is the content of a team/ section: the tokens of the team.
type TeamContent struct {
	Owner ident.Team `toml:"owner"`
	// Contact is the person or group to ask. The system does not use it.
	Contact string       `toml:"contact"`
	Tokens  []TokenEntry `toml:"tokens"`
}

// Role says what a token permits.
type Role string

// The roles of tokens.
const (
	// RoleCaller permits the bearer to submit, look up and cancel jobs of the
	// team.
	RoleCaller Role = "caller"
	// RoleOperator permits the bearer to change the sections that the team owns.
	RoleOperator Role = "operator"
)

// TokenEntry is the record of a token in the document. It does not contain the
// secret.
type TokenEntry struct {
	// ID identifies the token within its team; it is the second part of the
	// token.
	ID string `toml:"id"`
	// Role says what the token permits.
	Role Role `toml:"role"`
	// Salt and SHA256 are in hexadecimal; see HashSecret.
	Salt   string `toml:"salt"`
	SHA256 string `toml:"sha256"`
}

// LimitsContent is the content of a limits/ section: what one team may use
// across all entries of a cell. Zero means no limit of that kind.
type LimitsContent struct {
	Owner ident.Team `toml:"owner"`
	// StartsPerSecond is the maximum average rate at which tasks are admitted.
	StartsPerSecond int `toml:"starts_per_second"`
	// Burst is the number of tasks that may be admitted at once after a pause.
	Burst int `toml:"burst"`
	// Running is the maximum number of tasks that are admitted and not finished.
	Running int `toml:"running"`
	// Queued is the maximum number of jobs that wait for admission at one entry.
	Queued int `toml:"queued"`
	// Weight is the team's relative share of the slots when they are scarce.
	// Zero counts as 1.
	Weight int `toml:"weight"`
}

// ServiceContent is the content of a service/ section.
type ServiceContent struct {
	Owner       ident.Team `toml:"owner"`
	Description string     `toml:"description"`
	// Teams lists the teams that may submit jobs for the service; empty means
	// every team.
	Teams []ident.Team `toml:"teams"`
	// UsualRunMS is the usual run time of one task in milliseconds, used
	// until run times have been measured. Zero means unknown.
	UsualRunMS int `toml:"usual_run_ms"`
	// MaxSize is the largest declared size of a task that any backend server
	// can run; larger tasks are refused immediately. Zero means no limit.
	MaxSize int `toml:"max_size"`
}

// DomainState says whether a failure domain may start tasks.
type DomainState string

// The states of failure domains.
const (
	// DomainInService lets tasks start. It is also the state of a domain without
	// a section.
	DomainInService DomainState = "in-service"
	// DomainWithdrawn stops new starts; running tasks finish.
	DomainWithdrawn DomainState = "withdrawn"
)

// DomainContent is the content of a domain/ section.
type DomainContent struct {
	Owner ident.Team  `toml:"owner"`
	State DomainState `toml:"state"`
	// Reason is shown in reports and refusals.
	Reason string `toml:"reason"`
	// RampSeconds is the time in seconds over which a restored domain is given
	// an increasing share of work up to its full share. Zero means
	// DefaultRampSeconds.
	RampSeconds int `toml:"ramp_seconds"`
}

// DrainContent is the content of a drain/ section, which takes one backend
// server out of service. The section's subject is the address or the
// incarnation of the agent beside the backend server.
type DrainContent struct {
	Owner  ident.Team `toml:"owner"`
	Reason string     `toml:"reason"`
}

// content is the decoded text of one section.
type content interface {
	owner() ident.Team
	check(*checker) []Problem
}

func (c *TeamContent) owner() ident.Team    { return c.Owner }
func (c *LimitsContent) owner() ident.Team  { return c.Owner }
func (c *ServiceContent) owner() ident.Team { return c.Owner }
func (c *DomainContent) owner() ident.Team  { return c.Owner }
func (c *DrainContent) owner() ident.Team   { return c.Owner }

// newContent returns an empty content of the kind, or nil if there is no such
// kind.
func newContent(k Kind) content {
	switch k {
	case KindTeam:
		return &TeamContent{}
	case KindLimits:
		return &LimitsContent{}
	case KindService:
		return &ServiceContent{}
	case KindDomain:
		return &DomainContent{}
	case KindDrain:
		return &DrainContent{}
	}
	return nil
}
