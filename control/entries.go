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

func (c *Controller) entryAddresses() []string { return slices.Sorted(maps.Keys(c.entries)) }

// addEntry starts exchanges with an entry unless they are already running.
func (c *Controller) addEntry(address string) {
	now := c.now()
	if s, ok := c.entries[address]; ok {
		s.listedAt = now
		return
	}
	if address == "" || address == c.cfg.Address || len(c.entries) >= maxEntries {
		return
	}
	ctx, stop := context.WithCancel(c.ctx)
	c.entries[address] = &entryState{listedAt: now, stop: stop}
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		c.exchangeLoop(ctx, address)
	}()
}

// expireEntries drops the demand of entries that are silent, and removes entries
// that are silent and no longer listed.
func (c *Controller) expireEntries(now time.Duration) {
	for _, address := range c.entryAddresses() {
		s := c.entries[address]
		if s.heard && now-s.heardAt >= entrySilentAfter {
			s.heard = false
			c.entriesChangedAt = now
			c.listener.SetDemand(s.incarnation, nil)
		}
		if now-max(s.heardAt, s.listedAt) >= entryForgetAfter {
			s.stop()
			delete(c.entries, address)
		}
	}
}
