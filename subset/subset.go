// Package subset decides with which agents an entry keeps sessions. A session costs
// heartbeats and updates at a fixed pace, so an entry keeps as many as its load needs,
// however many agents there are. The decisions have no I/O and no clock of their own.
//
// Each entry orders all agents by a hash of both addresses (rendezvous hashing), one of
// its own failure domain before every two of the others, and uses the first ones. So the subsets of the entries overlap evenly without coordination, change
// little when a process comes or goes, and each entry reaches several domains.
//
// Invariants:
//   - An agent that holds a run of the entry is never released.
//   - There are at most twice as many links as usable agents wanted, so that agents that
//     can't be reached are replaced, but a failed fleet isn't dialled as a whole.
package subset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// Agent is an agent that the entry knows of.
type Agent struct {
	Address string // host and port
	Domain  ident.FailureDomain
}

// Config describes the entry.
type Config struct {
	// Self is the address of the entry.
	Self   string
	Domain ident.FailureDomain
	// Min is the smallest number of usable agents that the entry wants; 0 means
	// minWanted.
	Min int
	// Max is the largest number of usable agents that the entry's processor allows; 0
	// means that there is no limit. A Max below Min has the effect of Min.
	Max int
}

const (
	// minWanted is the smallest number of usable agents that an entry wants: enough that
	// some of them have room while their load is uneven.
	minWanted = 24
	// coverage is how many entries each agent should be used by on average, so that the
	// load of unequal entries spreads over all agents.
	coverage = 4
	// widenStep is the factor by which an entry whose jobs find no room widens its
	// subset, and widenInterval the shortest time between two steps.
	widenStep     = 1.5
	widenInterval = time.Second
	// maxWiden limits the product of all steps.
	maxWiden = 4
	// narrowAfter is how long no job has to wait before the subset is narrowed again:
	// longer than most bursts.
	narrowAfter = 10 * time.Second
	// openingTime is how long a new link counts as usable although its session isn't
	// open yet.
	openingTime = time.Second
	// slack is the share of surplus links that are kept, so that an agent that is away
	// for a moment causes no change.
	slack = 0.25
)

// Chooser holds the agents that an entry knows of, and decides which ones it uses.
type Chooser struct {
	cfg Config
	// near and far are the agents of the entry's own domain and of the others, in the
	// order of their hashes.
	near, far []ranked
	agents    map[string]ranked // by address
	widen     float64
	widenedAt time.Duration
	neededAt  time.Duration // when a job last found no room
}

type ranked struct {
	Agent
	hash uint64
}

// New returns a chooser that knows no agents.
func New(cfg Config) *Chooser {
	if cfg.Min == 0 {
		cfg.Min = minWanted
	}
	return &Chooser{cfg: cfg, agents: map[string]ranked{}, widen: 1}
}

// hash returns the rank of an agent for this entry. Other entries rank it differently.
func (c *Chooser) hash(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.cfg.Self))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(address))
	return mix(h.Sum64())
}

// mix spreads differences in the last bytes of the input over all bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Address, b.Address))
}

// list returns the list that the agent belongs to.
func (c *Chooser) list(a Agent) *[]ranked {
	if a.Domain == c.cfg.Domain {
		return &c.near
	}
	return &c.far
}

// Add adds an agent, or updates its domain. An agent whose domain is empty keeps the
// domain that was known before.
func (c *Chooser) Add(a Agent) {
	known, exists := c.agents[a.Address]
	if exists && (a.Domain == "" || a.Domain == known.Domain) {
		return
	}
	c.Remove(a.Address)
	r := ranked{Agent: a, hash: c.hash(a.Address)}
	c.agents[a.Address] = r
	list := c.list(a)
	at, _ := slices.BinarySearchFunc(*list, r, compareRanked)
	*list = slices.Insert(*list, at, r)
}

// Remove removes an agent.
func (c *Chooser) Remove(address string) {
	r, exists := c.agents[address]
	if !exists {
		return
	}
	delete(c.agents, address)
	list := c.list(r.Agent)
	if at, found := slices.BinarySearchFunc(*list, r, compareRanked); found {
		*list = slices.Delete(*list, at, at+1)
	}
}

// farPerNear is the number of agents of other domains that follow each one of the
// entry's own domain in the order. Agents of all domains are then reached by entries of
// others, which matters when a domain is cut off or withdrawn.
const farPerNear = 2

// Agents returns the known agents in the order in which the entry uses them.
func (c *Chooser) Agents() []Agent {
	order := make([]Agent, 0, len(c.near)+len(c.far))
	near, far := c.near, c.far
	for len(near)+len(far) > 0 {
		order, near = appendFirst(order, near, 1)
		order, far = appendFirst(order, far, farPerNear)
	}
	return order
}

// appendFirst moves up to n agents from the front of a list to the end of another.
func appendFirst(to []Agent, from []ranked, n int) ([]Agent, []ranked) {
	n = min(n, len(from))
	for _, r := range from[:n] {
		to = append(to, r.Agent)
	}
	return to, from[n:]
}

// Link is an agent with which the entry has a session or tries to open one.
type Link struct {
	Address string
	// Usable is true if the session is open and the backend server accepts tasks.
	Usable bool
	// Idle is true if the agent holds no run of the entry.
	Idle bool
	// Pinned is true if the agent itself has asked for the session.
	Pinned   bool
	OpenedAt time.Duration // when the entry began to use the agent
}

// State is the state of the entry on which a decision is based.
type State struct {
	Links []Link
	// Entries is the number of entries that are known, including this one.
	Entries int
	// NoRoom is true if jobs have to wait since no linked agent has room for them.
	NoRoom bool
}

// Decision says which agents to begin to use and which links to close. Wanted is the
// number of usable agents that it aims at, and Usable the number that there are.
type Decision struct {
	Open           []Agent
	Release        []string
	Wanted, Usable int
}

// Decide returns the changes for the present state. It is called a few times a second.
func (c *Chooser) Decide(now time.Duration, s State) Decision {
	c.updateWiden(now, s.NoRoom)
	d := Decision{Wanted: c.wanted(s.Entries)}
	counted := 0
	for _, l := range s.Links {
		if l.Usable {
			d.Usable++
		}
		if l.Usable || now-l.OpenedAt < openingTime {
			counted++
		}
	}
	if counted < d.Wanted {
		d.Open = c.open(s.Links, min(d.Wanted-counted, 2*d.Wanted-len(s.Links)))
		return d
	}
	if surplus := counted - d.Wanted; float64(surplus) > slack*float64(d.Wanted) && now-c.neededAt >= narrowAfter {
		d.Release = c.release(s.Links, surplus)
	}
	return d
}

func (c *Chooser) updateWiden(now time.Duration, noRoom bool) {
	if noRoom {
		c.neededAt = now
		if now-c.widenedAt >= widenInterval {
			c.widen = min(c.widen*widenStep, maxWiden)
			c.widenedAt = now
		}
		return
	}
	if now-c.neededAt >= narrowAfter {
		c.widen = 1
	}
}

// wanted returns the number of usable agents that the entry wants.
func (c *Chooser) wanted(entries int) int {
	share := float64(coverage*len(c.agents)) / float64(max(1, entries))
	n := int(math.Ceil(max(float64(c.cfg.Min), share) * c.widen))
	if c.cfg.Max > 0 {
		n = min(n, max(c.cfg.Max, c.cfg.Min))
	}
	return min(n, len(c.agents))
}

// open returns the first n agents in order that aren't linked.
func (c *Chooser) open(links []Link, n int) []Agent {
	linked := make(map[string]bool, len(links))
	for _, l := range links {
		linked[l.Address] = true
	}
	var agents []Agent
	for _, a := range c.Agents() {
		if len(agents) >= n {
			break
		}
		if !linked[a.Address] {
			agents = append(agents, a)
		}
	}
	return agents
}

// release returns the addresses of up to n idle links, the last in order first.
func (c *Chooser) release(links []Link, n int) []string {
	idle := make(map[string]bool, len(links))
	for _, l := range links {
		idle[l.Address] = l.Idle && !l.Pinned
	}
	var addresses []string
	for _, a := range slices.Backward(c.Agents()) {
		if len(addresses) >= n {
			break
		}
		if idle[a.Address] {
			addresses = append(addresses, a.Address)
		}
	}
	return addresses
}
