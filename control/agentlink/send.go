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

// searchPage bounds the entry rows that one look-up reads.
const searchPage = 64

// sendLoop sends heartbeats to one address until the context ends. After a failure
// it opens a new connection, since the old one may never answer again, and retries
// soon, then with pauses that double up to RetryMax.
func (l *Link) sendLoop(ctx context.Context, address string) {
	defer l.senders.Done()
	transport := l.cfg.NewClient()
	wait := time.Duration(rand.Int64N(int64(l.cfg.Interval)))
	retry := l.cfg.Interval / firstRetryDivisor
	for pause.For(ctx, wait) {
		started := time.Now()
		if l.sendHeartbeat(ctx, newClient(transport, address), address) {
			wait = max(l.cfg.Interval-time.Since(started), 0)
			retry = l.cfg.Interval / firstRetryDivisor
			continue
		}
		transport.CloseIdleConnections()
		transport = l.cfg.NewClient()
		wait = retry
		retry = min(2*retry, l.cfg.RetryMax)
	}
	transport.CloseIdleConnections()
}

// firstRetryDivisor divides Interval to give the pause before the first retry.
const firstRetryDivisor = 5

func newClient(c *http.Client, address string) dockpbconnect.EntryServiceClient {
	return dockpbconnect.NewEntryServiceClient(c, "http://"+address, rpc.ClientOptions())
}

// sendHeartbeat sends one heartbeat and reports whether it was answered.
func (l *Link) sendHeartbeat(ctx context.Context, client dockpbconnect.EntryServiceClient, address string) bool {
	d := prepareHeartbeat{address: address, reply: make(chan preparedHeartbeat, 1)}
	if !l.inbox.Put(d) {
		return false
	}
	var next preparedHeartbeat
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
	return l.inbox.Put(heartbeatAnswer{address: address, sentAt: next.at, response: resp.Msg})
}

// search looks up the entries in the table once.
func (l *Link) search() {
	defer l.senders.Done()
	ctx, stop := context.WithTimeout(l.ctx, l.cfg.SearchInterval)
	defer stop()
	var found []string
	// A random pause spreads the reads of agents that all start at once.
	if pause.For(ctx, time.Duration(rand.Int64N(int64(l.cfg.Interval)))) {
		found = l.readEntries(ctx)
	}
	l.inbox.Put(entriesListed{addresses: found})
}

func (l *Link) readEntries(ctx context.Context) []string {
	rows, err := l.cfg.Table.Scan(ctx, membership.EntryPrefix(l.cfg.Cell), "", searchPage)
	if err != nil {
		l.cfg.Log.Warn("the entry rows can't be read from the table", telemetry.Err(err))
		return nil
	}
	var found []string
	for i := range rows {
		r, err := membership.DecodeEntry(rows[i].Value)
		if err != nil {
			l.cfg.Log.Warn("an entry row can't be decoded", telemetry.Err(err))
			continue
		}
		found = append(found, r.Address)
	}
	return found
}
