package agent

import (
	"errors"
	"net"
	"testing"

	"foxtaildock.example/dock/rpc"
)

func TestTasksGoElsewhereOnlyIfNoCallCanHaveArrived(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	cases := []struct {
		what       string
		err        error
		sentBefore bool
		want       ending
	}{
		{"no connection", dial, false, endUnsent},
		{"no connection, after a call that may have arrived", dial, true, endRetry},
		{"turned away unread", rpc.Busy(), false, endUnsent},
		{"turned away unread, after such a call", rpc.Busy(), true, endRetry},
		{"another incarnation at the first call", rpc.Replaced(), false, endUnsent},
		{"another incarnation after such a call", rpc.Replaced(), true, endLost},
		{"the stream broke", errStreamEnded, false, endRetry},
		{"the stream broke again", errStreamEnded, true, endRetry},
	}
	for _, c := range cases {
		if got := endOf(c.err, c.sentBefore); got != c.want {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
}
