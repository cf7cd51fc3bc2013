package dispatcher

import (
	"context"
	"errors"
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
	d.links.addMember(directory.Member{Role: directory.RoleEntry, Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: "p"})
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
