package agentlink

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
	"foxtaildock.example/dock/telemetry"
)

// searchPage is the number of entry rows that one look-up reads.
const searchPage = 64

// send sends heartbeats to one address until the context ends. After a failure
// it opens a new connection, since the old one may be silent for good, and tries
// again soon, then with pauses that double up to RetryMax.
func (l *Link) send(ctx context.Context, address string) {
	defer l.senders.Done()
	transport := l.cfg.NewClient()
	rest := time.Duration(rand.Int64N(int64(l.cfg.Interval)))
	retry := l.cfg.Interval / firstRetry
	for pause.For(ctx, rest) {
		started := time.Now()
		if l.beat(ctx, newClient(transport, address), address) {
			rest = max(l.cfg.Interval-time.Since(started), 0)
			retry = l.cfg.Interval / firstRetry
			continue
		}
		transport.CloseIdleConnections()
		transport = l.cfg.NewClient()
		rest = retry
		retry = min(2*retry, l.cfg.RetryMax)
	}
	transport.CloseIdleConnections()
}

// firstRetry is the part of the interval that passes before the first retry.
const firstRetry = 5

func newClient(c *http.Client, address string) dockpbconnect.EntryServiceClient {
	return dockpbconnect.NewEntryServiceClient(c, "http://"+address, rpc.ClientOptions())
}

// beat sends one heartbeat and reports whether it was answered.
func (l *Link) beat(ctx context.Context, client dockpbconnect.EntryServiceClient, address string) bool {
	d := draft{address: address, reply: make(chan drafted, 1)}
	if !l.box.Put(d) {
		return false
	}
	var next drafted
	select {
	case next = <-d.reply:
	case <-ctx.Done():
		return false
	}
	call, stop := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer stop()
	resp, err := client.Heartbeat(call, connect.NewRequest(next.request))
	if err != nil {
		l.cfg.Log.Debug("heartbeat not answered", telemetry.Err(err))
		return false
	}
	return l.box.Put(answered{address: address, sentAt: next.at, response: resp.Msg})
}

// search reads the table of entries once.
func (l *Link) search() {
	defer l.senders.Done()
	ctx, stop := context.WithTimeout(l.ctx, l.cfg.SearchInterval)
	defer stop()
	var found []string
	// The pause spreads the reads of a cell whose agents all start at once.
	if pause.For(ctx, time.Duration(rand.Int64N(int64(l.cfg.Interval)))) {
		found = l.readEntries(ctx)
	}
	l.box.Put(listed{addresses: found})
}

func (l *Link) readEntries(ctx context.Context) []string {
	rows, err := l.cfg.Table.Scan(ctx, membership.EntryPrefix(l.cfg.Cell), "", searchPage)
	if err != nil {
		l.cfg.Log.Warn("the table of entries can't be read", telemetry.Err(err))
		return nil
	}
	var found []string
	for i := range rows {
		r, err := membership.DecodeEntry(rows[i].Value)
		if err != nil {
			l.cfg.Log.Warn("unreadable entry row", telemetry.Err(err))
			continue
		}
		found = append(found, r.Address)
	}
	return found
}
