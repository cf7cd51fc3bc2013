package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/work"
)

// silentPeer is another entry. Its first calls fail, as while it is frozen or cut off.
type silentPeer struct {
	linkpbconnect.UnimplementedEntryPeerHandler
	mu     sync.Mutex
	silent bool
	told   []string
}

func (p *silentPeer) Cancel(_ context.Context, req *connect.Request[linkpb.CancelRequest]) (*connect.Response[linkpb.CancelResponse], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("silent"))
	}
	p.told = append(p.told, req.Msg.GetJob())
	return connect.NewResponse(&linkpb.CancelResponse{}), nil
}

func (p *silentPeer) set(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

func (p *silentPeer) toldOf() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.told)
}

// A cancel that an entry didn't answer, since it was frozen, was answered 410 and forgotten: the
// entry went on with the job when it was back (review/1).
func TestACancelReachesAnEntryThatWasSilent(t *testing.T) {
	d, peer, _ := newEntryWithPeer(t)
	for _, id := range []work.JobID{"a", "b"} {
		if !d.Cancel(t.Context(), id) {
			t.Fatalf("%s counts as unknown although an entry that doesn't answer may have it", id)
		}
	}
	peer.set(false)
	for began := time.Now(); len(peer.toldOf()) < 2; time.Sleep(time.Millisecond) {
		if time.Since(began) > 20*cancelRetry {
			t.Fatalf("the entry was told of %q, want all cancels", peer.toldOf())
		}
	}
	if d.Cancel(t.Context(), "c") {
		t.Error("a job that no entry has counts as found")
	}
}

// Entries that were replaced counted for good: the subset of agents became too small, each cancel
// waited for all of them, and all jobs counted as possibly theirs. One that is back gets cancels
// all the same.
func TestAnEntryThatIsGoneDoesNotCount(t *testing.T) {
	d, peer, address := newEntryWithPeer(t)
	d.links.peers.called(address, false, 0)
	for range goneFailures {
		d.links.peers.called(address, false, goneAfter)
	}
	if n := d.subsetState().Entries; n != 1 {
		t.Errorf("%d entries count, want 1 without the one that is gone", n)
	}
	if d.Cancel(t.Context(), "a") {
		t.Error("a job counts as found at an entry that is gone")
	}
	peer.set(false)
	d.Cancel(t.Context(), "b")
	for began := time.Now(); len(peer.toldOf()) == 0 || len(d.links.gonePeers()) > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 20*cancelRetry {
			t.Fatalf("the entry that is back was told of %q, and counts as gone: %v", peer.toldOf(), d.links.gonePeers())
		}
	}
	if n := d.subsetState().Entries; n != 2 {
		t.Errorf("%d entries count, want 2 with the one that is back", n)
	}
}

// newEntryWithPeer returns an entry that knows one other, which doesn't answer yet, and its
// address.
func newEntryWithPeer(t *testing.T) (*Dispatcher, *silentPeer, string) {
	t.Helper()
	peer := &silentPeer{silent: true}
	mux := http.NewServeMux()
	mux.Handle(linkpbconnect.NewEntryPeerHandler(peer, rpc.HandlerOptions()))
	server := httptest.NewUnstartedServer(mux)
	server.Config = rpc.NewServer(mux)
	server.Start()
	t.Cleanup(server.Close)
	d := newOfflineEntry(t)
	d.base = t.Context()
	go d.run(d.base)
	address := strings.TrimPrefix(server.URL, "http://")
	d.links.addMember(directory.Member{Role: directory.RoleEntry, Address: address, Incarnation: "p"})
	return d, peer, address
}

// busyTransport counts the calls that are under way at the same time, each of which takes a moment.
type busyTransport struct {
	whole    http.RoundTripper
	mu       sync.Mutex
	now, max int
}

func (b *busyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	b.count(1)
	defer b.count(-1)
	time.Sleep(5 * time.Millisecond)
	return b.whole.RoundTrip(r)
}

func (b *busyTransport) count(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now += n
	b.max = max(b.max, b.now)
}

// Many callers that cancelled jobs at the same time made as many calls to each other entry, which
// took the memory of the entry: 131 MB of 152 with 1,000 callers and nine entries.
func TestManyCancelsAtOnceMakeFewCalls(t *testing.T) {
	e := newEntries(t, 2)[0]
	busy := &busyTransport{whole: e.network.whole}
	e.links.peerClient.Transport = busy
	var wait sync.WaitGroup
	for i := range 4 * maxCancelsAtOnce {
		wait.Go(func() { e.Cancel(t.Context(), work.JobID(fmt.Sprintf("%016x", i))) })
	}
	wait.Wait()
	if busy.max > maxCancelsAtOnce+8 { // and a few others of the entry itself
		t.Errorf("%d calls were under way at once, want about %d", busy.max, maxCancelsAtOnce)
	}
	e.queryCore(func(c *schedule.Core) {
		if n := len(c.Cancelled()); n != 4*maxCancelsAtOnce {
			t.Errorf("%d cancels are remembered, want all %d", n, 4*maxCancelsAtOnce)
		}
	})
}
