package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// One listener had requests that didn't end and used the timeout up. Meanwhile the next one
// took requests, which were cut when its turn came.
func TestNoListenerTakesRequestsWhileAnotherShutsDown(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	hanging := serveOn(t, func(http.ResponseWriter, *http.Request) { close(began); <-release })
	other := serveOn(t, func(http.ResponseWriter, *http.Request) {})
	go func() {
		if res, err := http.Get("http://" + hanging.socket.Addr().String()); err == nil {
			_ = res.Body.Close()
		}
	}()
	<-began
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		shutdownAll(context.Background(), []*listener{hanging, other})
	}()
	await(t, "the other listener refuses connections", func() bool {
		c, err := net.Dial("tcp", other.socket.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	select {
	case <-ended:
		t.Error("the shutdown ended before the request in progress did")
	default:
	}
	close(release)
	<-ended
}

func serveOn(t *testing.T, h http.HandlerFunc) *listener {
	t.Helper()
	l, err := listen("test", netip.MustParseAddrPort("127.0.0.1:0"), h)
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan error, 1)
	go l.serve(failed)
	return l
}
