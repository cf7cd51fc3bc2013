package document

import (
	"foxtaildock.example/dock/ident"
)

// TeamContent is the text of a team/ section: who may act for the team.
type TeamContent struct {
	Owner ident.Team `toml:"owner"`
	// Contact is whom to ask, for people only.
	Contact string       `toml:"contact"`
	Tokens  []TokenEntry `toml:"tokens"`
}

// Role says what a token is good for.
type Role string

// The roles of tokens.
const (
	// RoleCaller lets the bearer submit, look up and cancel jobs of the team.
	RoleCaller Role = "caller"
	// RoleOperator lets the bearer change the sections that the team owns.
	RoleOperator Role = "operator"
)

// TokenEntry is what the document keeps of a token.
type TokenEntry struct {
	// ID tells the tokens of a team apart; it is the second part of the token.
	ID string `toml:"id"`
	// Role is what the token is good for.
	Role Role `toml:"role"`
	// Salt and SHA256 are hexadecimal; see HashSecret.
	Salt   string `toml:"salt"`
	SHA256 string `toml:"sha256"`
}

// LimitsContent is the text of a limits/ section: what one team may use over
// all entries of a cell. Zero means no limit of that sort.
type LimitsContent struct {
	Owner ident.Team `toml:"owner"`
	// StartsPerSecond bounds the tasks that are admitted per second, over a
	// longer time.
	StartsPerSecond int `toml:"starts_per_second"`
	// Burst is the number of tasks that may be admitted at once after a pause.
	Burst int `toml:"burst"`
	// Running bounds the tasks that are admitted and not finished.
	Running int `toml:"running"`
	// Queued bounds the jobs that wait for admission at one entry.
	Queued int `toml:"queued"`
	// Weight is the team's share when slots are short, relative to others.
	// Zero counts as 1.
	Weight int `toml:"weight"`
}

// ServiceContent is the text of a service/ section.
type ServiceContent struct {
	Owner       ident.Team `toml:"owner"`
	Description string     `toml:"description"`
	// Teams lists who may submit jobs for the service; empty means everyone.
	Teams []ident.Team `toml:"teams"`
	// UsualRunMS is the usual run time of one task in milliseconds, used
	// until run times have been seen. Zero means unknown.
	UsualRunMS int `toml:"usual_run_ms"`
	// MaxSize is the largest declared size of a task that any worker can
	// run; larger ones are refused at once. Zero means no bound.
	MaxSize int `toml:"max_size"`
}

// DomainState says whether a failure domain may start tasks.
type DomainState string

// The states of failure domains.
const (
	// DomainInService is also the state of a domain without a section.
	DomainInService DomainState = "in-service"
	// DomainWithdrawn stops new starts and lets running tasks finish.
	DomainWithdrawn DomainState = "withdrawn"
)

// DomainContent is the text of a domain/ section.
type DomainContent struct {
	Owner ident.Team  `toml:"owner"`
	State DomainState `toml:"state"`
	// Reason is shown in reports and refusals.
	Reason string `toml:"reason"`
	// RampSeconds is the time over which a restored domain takes up its full
	// share of work. Zero means the default.
	RampSeconds int `toml:"ramp_seconds"`
}

// DrainContent is the text of a drain/ section. Its subject is the address or
// the incarnation of the agent beside the backend server.
type DrainContent struct {
	Owner  ident.Team `toml:"owner"`
	Reason string     `toml:"reason"`
}

// content is the typed text of one section.
type content interface {
	owner() ident.Team
	check(*checker) []Problem
}

func (c *TeamContent) owner() ident.Team    { return c.Owner }
func (c *LimitsContent) owner() ident.Team  { return c.Owner }
func (c *ServiceContent) owner() ident.Team { return c.Owner }
func (c *DomainContent) owner() ident.Team  { return c.Owner }
func (c *DrainContent) owner() ident.Team   { return c.Owner }

// newContent returns an empty content of the kind.
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
