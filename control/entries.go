package control

import (
	"context"
	"maps"
	"slices"
	"time"
)

// maxExchangePeers bounds the agents that one exchange reports.
const maxExchangePeers = 128

// entryForgetAfter is how long an entry may be silent and unlisted before it is
// removed.
const entryForgetAfter = time.Minute

func (d *Controller) entryAddresses() []string { return slices.Sorted(maps.Keys(d.entries)) }

// addEntry starts exchanges with an entry unless they are already running.
func (d *Controller) addEntry(address string) {
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

// expireEntries drops the demand of entries that are silent, and removes entries
// that are silent and no longer listed.
func (d *Controller) expireEntries(now time.Duration) {
	for _, address := range d.entryAddresses() {
		s := d.entries[address]
		if s.heard && now-s.heardAt >= entrySilentAfter {
			s.heard = false
			d.entriesChangedAt = now
			d.listener.SetDemand(s.incarnation, nil)
		}
		if now-max(s.heardAt, s.listedAt) >= entryForgetAfter {
			s.stop()
			delete(d.entries, address)
		}
	}
}
