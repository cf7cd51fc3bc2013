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

// announceTimeout bounds one announcement; entries answer from memory.
const announceTimeout = 500 * time.Millisecond

// Announce tells the entries at the addresses about a member. It returns the
// members that they know, and how many of them answered.
func Announce(ctx context.Context, client *http.Client, addresses []string, self directory.Member) (members []directory.Member, answered int) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, address := range addresses {
		if address == self.Address {
			continue
		}
		wait.Go(func() {
			peer := linkpbconnect.NewEntryPeerClient(client, "http://"+address, rpc.ClientOptions())
			res, err := peer.Announce(ctx, connect.NewRequest(&linkpb.AnnounceRequest{Member: MemberMessage(&self)}))
			if err != nil {
				return // seeds may be stale or down; the count tells
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			for _, m := range res.Msg.GetMembers() {
				members = append(members, MemberOf(m))
			}
		})
	}
	wait.Wait()
	return members, answered
}
