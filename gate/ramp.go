package gate

import (
	"time"

	"foxtaildock.example/dock/permit"
)

// ramp limits the usable slots of a backend server that came back into service,
// so that tasks waiting elsewhere don't all start there at once.
type ramp struct {
	from   time.Duration
	length time.Duration
}

// usable returns how many of the slots may be busy now. The number grows linearly
// from one at the start of the ramp to all slots at its end.
func (r ramp) usable(now time.Duration, slots int) int {
	passed := now - r.from
	if r.length <= 0 || passed >= r.length {
		return slots
	}
	return min(slots, 1+int(int64(slots)*int64(passed)/int64(r.length)))
}

// setPermit installs a permit and starts the ramp if the permit brings the backend
// server back into service. The first permit of a process starts no ramp: the
// backend server of a new agent is idle and no task has been waiting for it.
func (g *Gate) setPermit(now time.Duration, p permit.Permit) {
	known := g.permit.Until > 0
	if known && !g.permit.InService && p.InService {
		g.ramp = ramp{from: now, length: p.Ramp}
	}
	g.permit = p
	g.usable = g.ramp.usable(now, g.slots)
}
