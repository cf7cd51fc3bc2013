package agent

import (
	"errors"
	"net"
	"testing"

	"foxtaildock.example/dock/rpc"
)

func TestTasksMayMoveOnlyIfNoCallMayHaveArrived(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	cases := []struct {
		what       string
		err        error
		sentBefore bool
		want       ending
	}{
		{"no connection", dial, false, endUnsent},
		{"no connection, after a call that may have arrived", dial, true, endRetry},
		{"refused as busy", rpc.Busy(), false, endUnsent},
		{"refused as busy, after a call that may have arrived", rpc.Busy(), true, endRetry},
		{"another incarnation at the first call", rpc.NewReplacedError(), false, endUnsent},
		{"another incarnation after a call that may have arrived", rpc.NewReplacedError(), true, endLost},
		{"stream ended early", errStreamEnded, false, endRetry},
		{"stream ended early again", errStreamEnded, true, endRetry},
	}
	for _, c := range cases {
		if got := endingOf(c.err, c.sentBefore); got != c.want {
			t.Errorf("%s: ending %d, want %d", c.what, got, c.want)
		}
	}
}
