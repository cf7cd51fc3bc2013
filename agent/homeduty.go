package agent

import (
	"context"
	"sync"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/mailbox"
)

// homeLoop runs the home core in an event loop and performs its actions.
type homeLoop struct {
	agent   *Agent
	core    *home.Home
	box     *mailbox.Box[home.Event]
	ids     requestIDs
	replies *pending[home.Action]

	mu        sync.Mutex
	lastLoad  home.Load
	lastStats home.Stats

	// backlog holds answers of the gate in this process for which the mailbox
	// was full. Only the goroutines of the two event loops use it.
	backlogMu sync.Mutex
	backlog   []home.Event
}

func newHomeLoop(a *Agent, pool dispatch.Pool) *homeLoop {
	return &homeLoop{
		agent:   a,
		core:    home.New(a.cfg.Home, pool),
		box:     mailbox.New[home.Event](mailboxSize),
		replies: newPending[home.Action](),
	}
}

func (h *homeLoop) run(ctx context.Context) {
	h.box.RunAdaptive(ctx, h.interval, h.step, h.tick)
}

func (h *homeLoop) interval() time.Duration { return tickInterval(h.core.Load().Active > 0) }

// tick processes the backlog and lets time pass for the home and for the
// announcement of the backend server.
func (h *homeLoop) tick() {
	for _, e := range h.takeBacklog() {
		h.step(e)
	}
	h.agent.gate.backend.expire()
	h.step(home.Tick{})
}

// deliver passes an answer from the gate in this process to the home. It never
// blocks: if the gate's loop waited for the home's while that waits for the
// gate's, both would be deadlocked.
func (h *homeLoop) deliver(e home.Event) {
	if h.box.Offer(e) {
		return
	}
	h.backlogMu.Lock()
	h.backlog = append(h.backlog, e)
	h.backlogMu.Unlock()
}

func (h *homeLoop) takeBacklog() []home.Event {
	h.backlogMu.Lock()
	defer h.backlogMu.Unlock()
	taken := h.backlog
	h.backlog = nil
	return taken
}

func (h *homeLoop) step(e home.Event) {
	for _, action := range h.core.Step(h.agent.Now(), e) {
		h.perform(action)
	}
	h.mu.Lock()
	h.lastLoad = h.core.Load()
	h.lastStats = h.core.Stats()
	h.mu.Unlock()
}

func (h *homeLoop) perform(action home.Action) {
	calls := h.agent.calls
	switch action := action.(type) {
	case home.Reply:
		h.replies.answer(action.Request, action)
	case home.ReplyState:
		h.replies.answer(action.Request, action)
	case home.Redirect:
		h.replies.answer(action.Request, action)
	case home.AnswerSeal:
		h.replies.answer(action.Request, action)
	case home.RequestSeal:
		calls.seal(action)
	case home.Execute:
		h.execute(action)
	case home.Revoke:
		calls.revoke(action)
	case home.Handover:
		calls.handover(action)
	}
}

// execute sends tasks to the gate of this process or of another agent. Tasks
// that the gate of this process has no room for are reported to the home as not
// sent.
func (h *homeLoop) execute(e home.Execute) {
	if e.Agent != h.agent.cfg.Self {
		h.agent.calls.execute(e)
		return
	}
	if h.agent.gate.executeLocal(e) {
		return
	}
	for i := range e.Tasks {
		h.deliver(notSent(&e, i))
	}
}

func (h *homeLoop) load() home.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastLoad
}

func (h *homeLoop) counters() home.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastStats
}
