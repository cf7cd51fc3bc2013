package control

import (
	"context"
	"maps"
	"slices"
	"time"
)

// exchangePeers is the number of agents that one exchange tells of.
const exchangePeers = 128

// forgetEntry is how long an entry may be silent and unlisted before it is given
// up.
const forgetEntry = time.Minute

func (d *Duty) entryOrder() []string { return slices.Sorted(maps.Keys(d.entries)) }

// meet starts exchanges with an entry unless they go on already.
func (d *Duty) meet(address string) {
	now := d.now()
	if s, ok := d.entries[address]; ok {
		s.listedAt = now
		return
	}
	if address == "" || address == d.cfg.Address || len(d.entries) >= maxEntries {
		return
	}
	ctx, stop := context.WithCancel(d.ctx)
	d.entries[address] = &entryState{listedAt: now, stop: stop}
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		d.exchangeLoop(ctx, address)
	}()
}

// expireEntries forgets entries that are silent and listed nowhere.
func (d *Duty) expireEntries(now time.Duration) {
	for _, address := range d.entryOrder() {
		s := d.entries[address]
		if s.heard && now-s.heardAt >= silentEntry {
			s.heard = false
			d.entriesAt = now
			d.listener.SetDemand(s.incarnation, nil)
		}
		if now-max(s.heardAt, s.listedAt) >= forgetEntry {
			s.stop()
			delete(d.entries, address)
		}
	}
}
