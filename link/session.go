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

// errSilent is the cause of the end of a session whose agent has sent nothing for
// Times.SilenceTimeout.
var errSilent = errors.New("no message from the agent within the silence timeout")

// Session is the entry's end of one session with an agent.
type Session struct {
	// Out holds the messages that wait to be sent.
	Out chan *linkpb.ToAgent
	end context.CancelCauseFunc
}

// outQueueSize is the maximum number of messages that wait to be sent to one agent. A
// session that falls behind by more is closed; the next one starts from the runs that
// the agent says it holds.
const outQueueSize = 1024

// Send queues a message without blocking. It closes the session if the queue is full.
func (s *Session) Send(m *linkpb.ToAgent) {
	select {
	case s.Out <- m:
	default:
		s.end(errors.New("agent too slow: the send queue of its session is full"))
	}
}

// End closes the session. Run returns the cause.
func (s *Session) End(cause error) { s.end(cause) }

// Handlers are the callbacks of a session. Each is called from one goroutine only, but
// both may be called at the same time.
type Handlers struct {
	// Received handles one message of the agent.
	Received func(*Session, *linkpb.FromAgent)
	// NextHeartbeat returns the next heartbeat to send.
	NextHeartbeat func() *linkpb.Heartbeat
}

// Times are the intervals of a session.
type Times struct {
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long the agent may send nothing before the session is closed.
	SilenceTimeout time.Duration
}

// Run opens a session with the agent at the address and returns once it has ended.
// The error is never nil and wraps the cause. Each session has a connection of its own,
// so that one whose peer went silent is never reused. The connection is closed below
// HTTP, since closing only the stream waits for a peer that may be gone.
func Run(ctx context.Context, address string, hello *linkpb.Hello, times Times, h Handlers) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	client, conns := rpc.NewSessionClient()
	stop := context.AfterFunc(ctx, conns.Close)
	defer stop()
	defer conns.Close()
	silence := &silence{times: times}
	defer silence.watch(func() { end(errSilent) })()
	stream := linkpbconnect.NewAgentLinkClient(client, "http://"+address, rpc.ClientOptions()).Attach(ctx)
	if err := stream.Send(&linkpb.ToAgent{Hello: hello}); err != nil {
		return fmt.Errorf("opening the session: %w", cause(ctx, err))
	}
	s := &Session{Out: make(chan *linkpb.ToAgent, outQueueSize), end: end}
	go s.send(ctx, stream, times.HeartbeatInterval, h.NextHeartbeat)
	for {
		m, err := stream.Receive()
		if err != nil {
			return fmt.Errorf("session: %w", cause(ctx, err))
		}
		silence.received(time.Now())
		h.Received(s, m)
	}
}

// cause returns why the context was cancelled, or err if it wasn't.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// send sends the queued messages and the heartbeats until the session ends. It is the
// only writer of the stream.
func (s *Session) send(ctx context.Context, stream *connect.BidiStreamForClient[linkpb.ToAgent, linkpb.FromAgent], interval time.Duration, nextHeartbeat func() *linkpb.Heartbeat) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		var m *linkpb.ToAgent
		select {
		case <-ctx.Done():
			return
		case m = <-s.Out:
		case <-ticker.C:
			m = &linkpb.ToAgent{Heartbeat: nextHeartbeat()}
		}
		if err := stream.Send(m); err != nil {
			s.end(fmt.Errorf("sending to the agent: %w", err))
			return
		}
	}
}
