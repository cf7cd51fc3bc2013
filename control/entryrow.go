package control

import (
	"context"
	"time"

	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// entriesLoop renews this entry's row in the table and looks up the other
// entries.
func (c *Controller) entriesLoop(ctx context.Context) {
	var renewed time.Duration
	for {
		if renewed == 0 || c.now()-renewed >= membership.EntryRowRenewal*time.Second {
			if c.renewRow(ctx) {
				renewed = c.now()
			}
		}
		c.lookUpEntries(ctx)
		if !pause.For(ctx, c.cfg.EntriesInterval) {
			c.removeRow()
			return
		}
	}
}

func (c *Controller) renewRow(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, c.cfg.ReadTimeout)
	defer stop()
	value, err := membership.EncodeEntry(membership.EntryRow{
		Incarnation: c.cfg.Self, Address: c.cfg.Address, Domain: c.cfg.Domain, RenewedUnix: time.Now().Unix(),
	})
	if err == nil {
		err = c.cfg.Table.Commit(ctx, store.Write{
			Key: membership.EntryKey(c.cfg.Cell, c.cfg.Self), Expect: store.AnyVersion, Value: value,
		})
	}
	if err != nil {
		c.cfg.Log.Warn("this entry's row can't be renewed", telemetry.Err(err))
	}
	return err == nil
}

// removeRow deletes this entry's row at a planned stop. If that fails, the row
// expires.
func (c *Controller) removeRow() {
	ctx, stop := context.WithTimeout(context.Background(), c.cfg.CallTimeout)
	defer stop()
	err := c.cfg.Table.Commit(ctx, store.Write{
		Key: membership.EntryKey(c.cfg.Cell, c.cfg.Self), Expect: store.AnyVersion, Delete: true,
	})
	if err != nil {
		c.cfg.Log.Warn("this entry's row can't be removed and will expire", telemetry.Err(err))
	}
}

func (c *Controller) lookUpEntries(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, c.cfg.ReadTimeout)
	defer stop()
	rows, err := c.cfg.Table.Scan(ctx, membership.EntryPrefix(c.cfg.Cell), "", maxEntries)
	if err != nil {
		return
	}
	oldest := time.Now().Unix() - membership.EntryRowExpiry
	var addresses []string
	for _, row := range rows {
		r, err := membership.DecodeEntry(row.Value)
		if err == nil && r.RenewedUnix >= oldest {
			addresses = append(addresses, r.Address)
			continue
		}
		// Any entry deletes an expired or unreadable row. The version check
		// keeps a row that has been renewed meanwhile.
		if err := c.cfg.Table.Commit(ctx, store.Write{Key: row.Key, Expect: row.Version, Delete: true}); err != nil {
			c.cfg.Log.Debug("an expired entry row can't be deleted", telemetry.Err(err))
		}
	}
	c.inbox.Put(entriesListed{addresses})
}
