package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/rpc/linkpb"
)

// longRows are operators' rows with a manifest of 1,400 routes.
func longRows(version uint64) operator.Rows {
	m := &operator.Manifest{Version: int64(version)}
	for i := range 1400 {
		m.Routes = append(m.Routes, operator.Route{Name: fmt.Sprintf("route-%d", i), Host: "site.example", PathPrefix: fmt.Sprintf("/jobs-%d/", i)})
	}
	return operator.Rows{Version: version, Manifest: m, Withdrawn: []ident.FailureDomain{"north"}}
}

// maxHeartbeatBytes is far more than a heartbeat with a few withdrawn domains needs, and
// far less than a manifest of a thousand routes.
const maxHeartbeatBytes = 500

// The manifest goes to no agent: each version would cost every entry the encoding of all
// routes for every agent, ahead of the heartbeats that keep leases alive.
func TestHeartbeatsCarryNoManifest(t *testing.T) {
	d := newOfflineEntry(t)
	d.links.addMember(directory.Member{Role: directory.RoleAgent, Address: "a", Incarnation: "i"})
	d.chooseSubset()
	for version := uint64(1); version <= 3; version++ {
		d.view.update(longRows(version), clock.Now())
		b := d.links.agents["a"].heartbeat()
		if n := proto.Size(b); n > maxHeartbeatBytes {
			t.Errorf("a heartbeat has %d bytes with version %d, want at most %d", n, version, maxHeartbeatBytes)
		}
		if got := b.GetOperator().GetWithdrawnDomains(); len(got) != 1 || got[0] != "north" {
			t.Errorf("a heartbeat names the withdrawn domains %v, want north", got)
		}
	}
}

// An entry that can't reach the store asks its peers again and again. Those that have the
// same version confirm it without sending the manifest.
func TestPeersSendTheManifestOnlyIfItIsNewer(t *testing.T) {
	d := newOfflineEntry(t)
	d.view.update(longRows(7), clock.Now())
	for _, c := range []struct {
		version  uint64
		manifest bool
	}{{6, true}, {7, false}} {
		res, err := Peer{d}.Operator(t.Context(), connect.NewRequest(&linkpb.OperatorRequest{Version: c.version}))
		if err != nil {
			t.Fatal(err)
		}
		rows := res.Msg.GetRows()
		if rows.GetVersion() != 7 || len(rows.GetManifest()) > 0 != c.manifest {
			t.Errorf("a peer with version %d got version %d and a manifest of %d bytes, want version 7, manifest %v",
				c.version, rows.GetVersion(), len(rows.GetManifest()), c.manifest)
		}
	}
}

// Only an entry that stays behind asks an agent for the manifest, and only one agent at a
// time, however many of them name the newer version.
func TestOneAgentAtATimeIsAskedForRows(t *testing.T) {
	var r rowsRequests
	asked := 0
	const agents, step = 80, 10 * time.Millisecond
	for now := time.Second; now < 2*time.Second; now += step {
		for range agents {
			if r.due(8, 7, now) {
				asked++
				if now < time.Second+rowsBehindDelay {
					t.Errorf("an agent was asked %v after it named the version, want %v at the earliest", now-time.Second, rowsBehindDelay)
				}
			}
		}
	}
	if limit := int(time.Second/rowsRequestInterval) + 1; asked == 0 || asked > limit {
		t.Errorf("%d requests within a second, want 1 to %d", asked, limit)
	}
	r.updated()
	if r.due(8, 8, 3*time.Second) {
		t.Error("an agent with the same version was asked")
	}
}

// Rows of an agent that has no manifest would make the entry take its own manifest for
// that of the newer version, and never read the newer one.
func TestRowsOfAnAgentWithoutManifestAreInvalid(t *testing.T) {
	if _, err := rowsOfAgent(&linkpb.OperatorRows{Version: 8, WithdrawnDomains: []string{"north"}}); err == nil {
		t.Error("rows without a manifest were accepted")
	}
	rows := longRows(8)
	full, err := link.OperatorMessage(&rows)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := rowsOfAgent(full); err != nil || got.Manifest.Version != 8 {
		t.Errorf("got rows %d and error %v, want rows 8", got.Version, err)
	}
}

func TestAllPeersAreAskedInTurn(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e"}
	asked := map[string]bool{}
	for attempt := range 2 {
		peers := nextPeers(addresses, attempt*rowsPeers, rowsPeers)
		if len(peers) != rowsPeers {
			t.Fatalf("%d peers asked at once, want %d", len(peers), rowsPeers)
		}
		for _, p := range peers {
			asked[p] = true
		}
	}
	if len(asked) != len(addresses) {
		t.Errorf("two attempts asked %d of %d peers", len(asked), len(addresses))
	}
	if got := nextPeers(addresses[:2], 4, rowsPeers); len(got) != 2 {
		t.Errorf("%d of 2 peers asked", len(got))
	}
}
