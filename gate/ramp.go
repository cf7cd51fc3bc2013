package gate

import (
	"time"

	"foxtaildock.example/dock/permit"
)

// ramp limits the slots of a backend server that came back into service, so that
// the work which waits elsewhere doesn't all arrive at once.
type ramp struct {
	from   time.Duration
	length time.Duration
}

// usable returns how many of the slots may be busy now. It is one slot at the
// start of the ramp and all of them at its end.
func (r ramp) usable(now time.Duration, slots int) int {
	passed := now - r.from
	if r.length <= 0 || passed >= r.length {
		return slots
	}
	return min(slots, 1+int(int64(slots)*int64(passed)/int64(r.length)))
}

// setPermit takes a permit and starts the ramp if it brings the backend server
// back into service. The first permit of a process starts none: a new agent
// brings an idle backend server that nothing has been waiting for.
func (g *Gate) setPermit(now time.Duration, p permit.Permit) {
	known := g.permit.Until > 0
	if known && !g.permit.InService && p.InService {
		g.ramp = ramp{from: now, length: p.Ramp}
	}
	g.permit = p
	g.usable = g.ramp.usable(now, g.slots)
}
