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
func (d *Controller) entriesLoop(ctx context.Context) {
	var renewed time.Duration
	for {
		if renewed == 0 || d.now()-renewed >= membership.EntryRowRenewal*time.Second {
			if d.renewRow(ctx) {
				renewed = d.now()
			}
		}
		d.lookUpEntries(ctx)
		if !pause.For(ctx, d.cfg.EntriesInterval) {
			d.removeRow()
			return
		}
	}
}

func (d *Controller) renewRow(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, d.cfg.ReadTimeout)
	defer stop()
	value, err := membership.EncodeEntry(membership.EntryRow{
		Incarnation: d.cfg.Self, Address: d.cfg.Address, Domain: d.cfg.Domain, RenewedUnix: time.Now().Unix(),
	})
	if err == nil {
		err = d.cfg.Table.Commit(ctx, store.Write{
			Key: membership.EntryKey(d.cfg.Cell, d.cfg.Self), Expect: store.AnyVersion, Value: value,
		})
	}
	if err != nil {
		d.cfg.Log.Warn("this entry's row can't be renewed", telemetry.Err(err))
	}
	return err == nil
}

// removeRow deletes this entry's row at a planned stop. If that fails, the row
// expires.
func (d *Controller) removeRow() {
	ctx, stop := context.WithTimeout(context.Background(), d.cfg.CallTimeout)
	defer stop()
	err := d.cfg.Table.Commit(ctx, store.Write{
		Key: membership.EntryKey(d.cfg.Cell, d.cfg.Self), Expect: store.AnyVersion, Delete: true,
	})
	if err != nil {
		d.cfg.Log.Warn("this entry's row can't be removed and will expire", telemetry.Err(err))
	}
}

func (d *Controller) lookUpEntries(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, d.cfg.ReadTimeout)
	defer stop()
	rows, err := d.cfg.Table.Scan(ctx, membership.EntryPrefix(d.cfg.Cell), "", maxEntries)
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
		if err := d.cfg.Table.Commit(ctx, store.Write{Key: row.Key, Expect: row.Version, Delete: true}); err != nil {
			d.cfg.Log.Debug("an expired entry row can't be deleted", telemetry.Err(err))
		}
	}
	d.inbox.Put(entriesListed{addresses})
}
