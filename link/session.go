package link

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
)

// errSilent ends a session whose agent has been silent for too long.
var errSilent = errors.New("no word from the agent")

// Session is the entry's end of one session with an agent.
type Session struct {
	Out chan *linkpb.ToAgent
	end context.CancelCauseFunc
}

// outSize bounds the messages that wait to be sent to one agent. A session that
// falls behind by more is closed, and the next one starts from what the agent holds.
const outSize = 1024

// Send queues a message. It closes the session if the agent falls behind.
func (s *Session) Send(m *linkpb.ToAgent) {
	select {
	case s.Out <- m:
	default:
		s.end(errors.New("the agent falls behind"))
	}
}

// End closes the session.
func (s *Session) End(cause error) { s.end(cause) }

// Handlers are what a session calls. They are called by one goroutine each.
type Handlers struct {
	// Received takes each message of the agent.
	Received func(*Session, *linkpb.FromAgent)
	// Beat returns the next heartbeat.
	Beat func() *linkpb.Heartbeat
}

// Times of a session.
type Times struct {
	// Beat is the pause between heartbeats.
	Beat time.Duration
	// Silence is how long the agent may be silent before the session is closed.
	Silence time.Duration
}

// Run opens a session with the agent at the address and returns once it has
// ended, with the cause. Each session has a connection of its own, so that a
// silent one is never used again. It is closed below HTTP, since the end of a
// stream alone waits for a peer that may be gone.
func Run(ctx context.Context, address string, hello *linkpb.Hello, times Times, h Handlers) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	client, conns := rpc.NewSessionClient()
	stop := context.AfterFunc(ctx, conns.Close)
	defer stop()
	defer conns.Close()
	watch := time.AfterFunc(times.Silence, func() { end(errSilent) })
	defer watch.Stop()
	stream := linkpbconnect.NewAgentLinkClient(client, "http://"+address, rpc.ClientOptions()).Attach(ctx)
	if err := stream.Send(&linkpb.ToAgent{Hello: hello}); err != nil {
		return fmt.Errorf("opening the session: %w", cause(ctx, err))
	}
	s := &Session{Out: make(chan *linkpb.ToAgent, outSize), end: end}
	go s.send(ctx, stream, times.Beat, h.Beat)
	for {
		m, err := stream.Receive()
		if err != nil {
			return fmt.Errorf("session: %w", cause(ctx, err))
		}
		watch.Reset(times.Silence)
		h.Received(s, m)
	}
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// send is the one goroutine that writes to the stream.
func (s *Session) send(ctx context.Context, stream *connect.BidiStreamForClient[linkpb.ToAgent, linkpb.FromAgent], pause time.Duration, beat func() *linkpb.Heartbeat) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		var m *linkpb.ToAgent
		select {
		case <-ctx.Done():
			return
		case m = <-s.Out:
		case <-ticker.C:
			m = &linkpb.ToAgent{Heartbeat: beat()}
		}
		if err := stream.Send(m); err != nil {
			s.end(fmt.Errorf("sending: %w", err))
			return
		}
	}
}
