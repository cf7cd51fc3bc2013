package backend

import (
	"context"
	"net/http"
	"time"

	"foxtaildock.example/bench/httpjson"

	"foxtaildock.example/dock/pause"
)

const (
	// PathAnnounce is the path of announcements on the agent's local listener.
	PathAnnounce = "/v1/announce"
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval = time.Second
	// firstRetry is the time between announcements until the first succeeds.
	firstRetry = 50 * time.Millisecond
)

// Announce sends the announcement to the agent once a second until the context
// ends. Failures are retried, more often until the first success.
func Announce(ctx context.Context, agent string, announcement Announcement) {
	client := &http.Client{Timeout: AnnounceInterval}
	defer client.CloseIdleConnections()
	interval := firstRetry
	for ctx.Err() == nil {
		err := httpjson.Call(ctx, client, http.MethodPost, "http://"+agent+PathAnnounce, announcement, nil)
		if err == nil {
			interval = AnnounceInterval
		}
		pause.For(ctx, interval)
	}
}
