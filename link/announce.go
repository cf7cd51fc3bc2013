package link

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
)

// announceTimeout limits one announcement. It is short, since entries answer from
// memory.
const announceTimeout = 500 * time.Millisecond

// Announce tells the entries at the addresses about the member self. It returns the
// members that those entries know, with duplicates, and how many entries answered.
func Announce(ctx context.Context, client *http.Client, addresses []string, self directory.Member) (members []directory.Member, answered int) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, address := range addresses {
		if address == self.Address {
			continue
		}
		group.Go(func() {
			peer := linkpbconnect.NewEntryPeerClient(client, "http://"+address, rpc.ClientOptions())
			res, err := peer.Announce(ctx, connect.NewRequest(&linkpb.AnnounceRequest{Member: MemberMessage(&self)}))
			if err != nil {
				return // addresses may be stale or entries down; the caller sees the count
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			for _, m := range res.Msg.GetMembers() {
				members = append(members, MemberOf(m))
			}
		})
	}
	group.Wait()
	return members, answered
}
