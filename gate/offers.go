package gate

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// offerBook keeps which homes have waiting tasks, and which idle slots are kept
// for which home.
type offerBook struct {
	lease time.Duration
	wants []wanting
	given []offer
}

// wanting is one home with waiting tasks.
type wanting struct {
	home  ident.Incarnation
	count int
	since time.Duration // when the oldest of them began to wait
}

// offer is a number of slots kept for one home.
type offer struct {
	home  ident.Incarnation
	slots int
	until time.Duration
}

func newOfferBook(lease time.Duration) offerBook { return offerBook{lease: lease} }

// want notes or replaces what a home waits for.
func (b *offerBook) want(now time.Duration, e Want) {
	w := wanting{home: e.Home, count: e.Count, since: now - e.Oldest}
	for i := range b.wants {
		if b.wants[i].home == e.Home {
			b.wants[i] = w
			return
		}
	}
	b.wants = append(b.wants, w)
}

// kept returns the number of slots kept for homes.
func (b *offerBook) kept() int {
	total := 0
	for i := range b.given {
		total += b.given[i].slots
	}
	return total
}

// keptFor returns the number of slots kept for one home.
func (b *offerBook) keptFor(home ident.Incarnation) int {
	total := 0
	for i := range b.given {
		if b.given[i].home == home {
			total += b.given[i].slots
		}
	}
	return total
}

// use takes one kept slot of the home, if there is one.
func (b *offerBook) use(home ident.Incarnation) {
	for i := range b.given {
		if b.given[i].home == home && b.given[i].slots > 0 {
			b.given[i].slots--
			return
		}
	}
}

// creditOnAnswer keeps one slot for a home that is being answered anyway, if it
// has waiting tasks.
func (b *offerBook) creditOnAnswer(now time.Duration, home ident.Incarnation) int {
	for i := range b.wants {
		if b.wants[i].home == home && b.wants[i].count > 0 {
			b.keep(now, i, 1)
			return 1
		}
	}
	return 0
}

// give keeps up to idle slots for the homes that have waited longest and
// returns the offers to be sent.
func (b *offerBook) give(now time.Duration, idle int) []Offer {
	var out []Offer
	for idle > 0 {
		i := b.oldest()
		if i < 0 {
			break
		}
		n := min(idle, b.wants[i].count)
		out = append(out, Offer{Home: b.wants[i].home, Slots: n})
		b.keep(now, i, n)
		idle -= n
	}
	return out
}

// oldest returns the index of the home that has waited longest, or -1.
func (b *offerBook) oldest() int {
	best := -1
	for i := range b.wants {
		if b.wants[i].count == 0 {
			continue
		}
		if best < 0 || b.wants[i].since < b.wants[best].since {
			best = i
		}
	}
	return best
}

func (b *offerBook) keep(now time.Duration, i, n int) {
	b.given = append(b.given, offer{home: b.wants[i].home, slots: n, until: now + b.lease})
	b.wants[i].count -= n
}

// expire returns slots whose home did not use them in time.
func (b *offerBook) expire(now time.Duration) {
	kept := b.given[:0]
	for _, o := range b.given {
		if o.slots > 0 && now < o.until {
			kept = append(kept, o)
		}
	}
	b.given = kept
}
