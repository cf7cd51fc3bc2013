package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
)

// welcomeAgent answers the first message with a Welcome and sends nothing after it.
type welcomeAgent struct{}

func (welcomeAgent) Attach(ctx context.Context, s *connect.BidiStream[linkpb.ToAgent, linkpb.FromAgent]) error {
	if _, err := s.Receive(); err != nil {
		return err
	}
	if err := s.Send(&linkpb.FromAgent{Welcome: &linkpb.Welcome{Agent: "a"}}); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// silentProxy forwards connections to an agent until the channel silent is closed. It
// then keeps its connections open, but neither reads nor writes.
type silentProxy struct {
	listener net.Listener
	silent   chan struct{}
}

func (p *silentProxy) run(target string) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			return
		}
		go p.forward(out, in)
		go p.forward(in, out)
	}
}

func (p *silentProxy) forward(to io.Writer, from io.Reader) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			return
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A session on a connection that goes silent without being closed ends by its own
// time-out. A later one of the transport would not do, since tasks of a lost agent wait
// for the session to end.
func TestSilentSessionEndsByItsOwnTimeout(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(linkpbconnect.NewAgentLinkHandler(welcomeAgent{}, rpc.HandlerOptions()))
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(mux)
	go func() { _ = server.Serve(agent) }()
	defer func() { _ = server.Close() }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	proxy := &silentProxy{listener: listener, silent: make(chan struct{})}
	go proxy.run(agent.Addr().String())

	ended := make(chan error, 1)
	welcomed := make(chan struct{}, 1)
	go func() {
		ended <- Run(context.Background(), listener.Addr().String(), &linkpb.Hello{Entry: "e"},
			Times{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 200 * time.Millisecond},
			Handlers{
				Received:      func(*Session, *linkpb.FromAgent) { welcomed <- struct{}{}; close(proxy.silent) },
				NextHeartbeat: func() *linkpb.Heartbeat { return &linkpb.Heartbeat{} },
			})
	}()
	<-welcomed
	// Only the session's own time-out can end the call: the transport of a session has
	// no health checks.
	err = <-ended
	if !errors.Is(err, errSilent) {
		t.Fatalf("the session ended with %v, want %v", err, errSilent)
	}
}

// A process that was paused reads the messages that arrived meanwhile before it decides
// that an agent is silent. The sessions of a busy process would all end together
// otherwise, and it would be busier still with opening them again.
func TestAPausedProcessKeepsItsSessions(t *testing.T) {
	times := Times{HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: 300 * time.Millisecond}
	s := &silence{times: times}
	start := time.Now()
	s.received(start)
	resumed := start.Add(700 * time.Millisecond)
	next := s.check(resumed)
	if next != times.HeartbeatInterval {
		t.Fatalf("next check after %v, want one heartbeat interval", next)
	}
	s.received(resumed.Add(time.Millisecond))
	if next := s.check(resumed.Add(next)); next <= 0 {
		t.Fatal("the session ended although a message was read after the pause")
	}
}

func TestAnAgentThatStaysSilentAfterAPauseIsGivenUp(t *testing.T) {
	times := Times{HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: 300 * time.Millisecond}
	s := &silence{times: times}
	start := time.Now()
	s.received(start)
	resumed := start.Add(700 * time.Millisecond)
	if next := s.check(resumed.Add(s.check(resumed))); next != 0 {
		t.Fatalf("the session goes on for %v, want its end", next)
	}
}
