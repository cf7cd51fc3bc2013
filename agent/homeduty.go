package agent

import (
	"context"
	"sync"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/mailbox"
)

// homeDuty runs the home core and does what it says.
type homeDuty struct {
	agent   *Agent
	core    *home.Home
	box     *mailbox.Box[home.Event]
	ids     requestIDs
	replies *pending[home.Action]

	mu    sync.Mutex
	state home.Load
	stats home.Stats

	// backlog holds answers of the gate in this process that found the box
	// full. Only the duty's own goroutines and the gate's touch it.
	backlogMu sync.Mutex
	backlog   []home.Event
}

func newHomeDuty(a *Agent, pool dispatch.Pool) *homeDuty {
	return &homeDuty{
		agent:   a,
		core:    home.New(a.cfg.Home, pool),
		box:     mailbox.New[home.Event](boxSize),
		replies: newPending[home.Action](),
	}
}

func (h *homeDuty) run(ctx context.Context) {
	h.box.RunAdaptive(ctx, h.interval, h.step, h.tick)
}

func (h *homeDuty) interval() time.Duration { return tickOf(h.core.Load().Active > 0) }

func (h *homeDuty) tick() {
	for _, e := range h.takeBacklog() {
		h.step(e)
	}
	h.agent.gate.backend.expire()
	h.step(home.Tick{})
}

// deliver passes an answer from the gate of this process. It never blocks: the
// gate must not wait for the home while the home waits for the gate.
func (h *homeDuty) deliver(e home.Event) {
	if h.box.Offer(e) {
		return
	}
	h.backlogMu.Lock()
	h.backlog = append(h.backlog, e)
	h.backlogMu.Unlock()
}

func (h *homeDuty) takeBacklog() []home.Event {
	h.backlogMu.Lock()
	defer h.backlogMu.Unlock()
	taken := h.backlog
	h.backlog = nil
	return taken
}

func (h *homeDuty) step(e home.Event) {
	for _, action := range h.core.Step(h.agent.Now(), e) {
		h.perform(action)
	}
	h.mu.Lock()
	h.state = h.core.Load()
	h.stats = h.core.Stats()
	h.mu.Unlock()
}

func (h *homeDuty) perform(action home.Action) {
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

// execute sends tasks to the gate of this process or of another.
func (h *homeDuty) execute(e home.Execute) {
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

func (h *homeDuty) load() home.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *homeDuty) counters() home.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}
