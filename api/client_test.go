package api

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// fakeEntry is an entry that records submissions and answers each one by the next
// step of a script. The last step repeats.
type fakeEntry struct {
	*httptest.Server
	mu     sync.Mutex
	got    []JobRequest
	script []http.HandlerFunc
}

func newFakeEntry(t *testing.T, script ...http.HandlerFunc) *fakeEntry {
	f := &fakeEntry{script: script}
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request JobRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	f.mu.Lock()
	step := f.script[min(len(f.got), len(f.script)-1)]
	f.got = append(f.got, request)
	f.mu.Unlock()
	step(w, r)
}

// takeReceived returns the recorded submissions and clears them.
func (f *fakeEntry) takeReceived() []JobRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	got := f.got
	f.got = nil
	return got
}

func answerWith(status int, a JobAnswer) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = writeJSON(w, status, a) }
}

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

var completeAnswer = answerWith(200, JobAnswer{Outcome: OutcomeComplete})

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newTestClient(t *testing.T, o ClientOptions) *Client {
	c, err := NewClient(o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testJob() JobRequest {
	return JobRequest{Team: "tills", Key: "k", Service: "s", DeadlineMS: 60_000, FirstAttempt: true, Tasks: []TaskRequest{{}}}
}

func TestSubmitSetsFirstAttemptOnFirstSendingOnly(t *testing.T) {
	refused := answerWith(503, JobAnswer{Outcome: OutcomeRefused, RetryAfterMS: 1})
	unresolved := answerWith(502, JobAnswer{Outcome: OutcomeFailed, Reason: "unresolved", RetryAfterMS: 1})
	lost := answerWith(502, JobAnswer{})
	e := newFakeEntry(t, dropConnection, neverAnswer, lost, refused, unresolved, completeAnswer)
	c := newTestClient(t, ClientOptions{Entries: []string{e.URL}, AnswerTimeout: 100 * time.Millisecond})
	answer, err := c.Submit(context.Background(), testJob())
	if err != nil || answer.Outcome != OutcomeComplete {
		t.Fatalf("%+v, %v", answer, err)
	}
	got := e.takeReceived()
	if len(got) < 6 { // on a slow machine further attempts may time out
		t.Fatalf("%d attempts, want 6 or more", len(got))
	}
	for i, r := range got {
		if r.FirstAttempt != (i == 0) || !r.FirstAttemptAt.Equal(got[0].FirstAttemptAt) || r.Key != "k" {
			t.Errorf("attempt %d: %+v", i, r)
		}
		if i > 0 && r.DeadlineMS >= got[i-1].DeadlineMS {
			t.Errorf("attempt %d: deadline_ms is %d, want less than before", i, r.DeadlineMS)
		}
	}
}

// A first attempt that is sent again after a refusal must have a new time. With
// the old time a home would keep refusing it, since another home that was lost
// after that time may have run the job.
func TestSubmitRenewsFirstAttemptAtWhileNothingCanHaveRun(t *testing.T) {
	refused := answerWith(429, JobAnswer{Outcome: OutcomeRefused, RetryAfterMS: 1})
	failed := answerWith(502, JobAnswer{Outcome: OutcomeFailed, MayHaveRun: true, RetryAfterMS: 1})
	e := newFakeEntry(t, refused, failed, refused, completeAnswer)
	if _, err := newTestClient(t, ClientOptions{Entries: []string{e.URL}}).Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	got := e.takeReceived()
	if len(got) != 4 {
		t.Fatalf("%d attempts, want 4", len(got))
	}
	if !got[1].FirstAttemptAt.After(got[0].FirstAttemptAt) {
		t.Error("the second attempt with first_attempt has the first_attempt_at of the first")
	}
	for i := 2; i < len(got); i++ {
		if !got[i].FirstAttemptAt.Equal(got[1].FirstAttemptAt) {
			t.Errorf("attempt %d changed first_attempt_at, want that of the last attempt with first_attempt", i+1)
		}
	}
}

func TestSubmitKeepsFirstAttemptIfNothingWasSent(t *testing.T) {
	e := newFakeEntry(t, completeAnswer)
	c := newTestClient(t, ClientOptions{Entries: []string{closedAddress(t), e.URL}})
	for range 2 { // one of the two requests goes to the closed address first
		if _, err := c.Submit(context.Background(), testJob()); err != nil {
			t.Fatal(err)
		}
	}
	for i, r := range e.takeReceived() {
		if !r.FirstAttempt {
			t.Errorf("attempt %d: first_attempt is false, though nothing was sent before", i)
		}
	}
}

func TestSubmitStopsAfterMaxAttemptsOrDeadline(t *testing.T) {
	e := newFakeEntry(t, dropConnection)
	c := newTestClient(t, ClientOptions{Entries: []string{e.URL}, MaxAttempts: 3})
	var noAnswer *NoAnswerError
	if _, err := c.Submit(context.Background(), testJob()); !errors.As(err, &noAnswer) || noAnswer.Attempts != 3 {
		t.Errorf("got %v, want a NoAnswerError after 3 attempts", err)
	}
	short := testJob()
	short.DeadlineMS = 1
	e.takeReceived()
	_, err := c.Submit(context.Background(), short)
	if sent := len(e.takeReceived()); !errors.As(err, &noAnswer) || sent != 1 {
		t.Errorf("got %v after %d attempts, want a NoAnswerError after one", err, sent)
	}
}

func TestSubmitDoesNotRetryFinalAnswers(t *testing.T) {
	for _, step := range []http.HandlerFunc{
		answerWith(409, JobAnswer{Outcome: OutcomeRefused, Reason: "key-reused"}),
		answerWith(502, JobAnswer{Outcome: OutcomeFailed, Reason: "task-error"}),
		func(w http.ResponseWriter, _ *http.Request) { _ = WriteProblem(w, invalid("key", "is missing")) },
	} {
		e := newFakeEntry(t, step)
		c := newTestClient(t, ClientOptions{Entries: []string{e.URL}})
		answer, err := c.Submit(context.Background(), testJob())
		if sent := len(e.takeReceived()); sent != 1 || (answer == nil) != isRequestError(err) {
			t.Errorf("%d attempts, want 1: %+v, %v", sent, answer, err)
		}
	}
}

func TestSubmitHonoursRetryAfter(t *testing.T) {
	stopping := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3600")
		_ = WriteProblem(w, &Problem{Status: http.StatusServiceUnavailable, Message: "the entry is stopping"})
	}
	e := newFakeEntry(t, stopping)
	c := newTestClient(t, ClientOptions{Entries: []string{e.URL}})
	var noAnswer *NoAnswerError
	_, err := c.Submit(context.Background(), testJob())
	if sent := len(e.takeReceived()); !errors.As(err, &noAnswer) || sent != 1 {
		t.Errorf("%d attempts, want 1 since the retry-after time is beyond the deadline: %v", sent, err)
	}
}

func TestWaitContinuesAfterAnswerTimeouts(t *testing.T) {
	e := newFakeEntry(t, neverAnswer, neverAnswer, neverAnswer, completeAnswer)
	c := newTestClient(t, ClientOptions{Entries: []string{e.URL}, AnswerTimeout: 20 * time.Millisecond, MaxAttempts: 2})
	answer, err := c.Wait(context.Background(), "tills", "k")
	if err != nil || answer.Outcome != OutcomeComplete {
		t.Errorf("%+v, %v", answer, err)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := newRetryBudget()
	spent := 0
	for b.spend() {
		spent++
	}
	if spent != int(maxRetryTokens) {
		t.Errorf("%d retries from a full budget, want maxRetryTokens", spent)
	}
	for range 5 {
		b.earn()
	}
	if !b.spend() || b.spend() {
		t.Error("want exactly one retry earned by five requests")
	}
}

func TestSubmitKeepsFirstAttemptWhileNothingCanHaveRun(t *testing.T) {
	refused := answerWith(429, JobAnswer{Outcome: OutcomeRefused, RetryAfterMS: 1})
	failed := answerWith(502, JobAnswer{Outcome: OutcomeFailed, MayHaveRun: true, RetryAfterMS: 1})
	e := newFakeEntry(t, refused, failed, refused, completeAnswer)
	if _, err := newTestClient(t, ClientOptions{Entries: []string{e.URL}}).Submit(context.Background(), testJob()); err != nil {
		t.Fatal(err)
	}
	want := []bool{true, true, false, false}
	got := e.takeReceived()
	if len(got) != len(want) {
		t.Fatalf("%d attempts, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i].FirstAttempt != want[i] {
			t.Errorf("attempt %d: first_attempt is %v, want %v", i+1, got[i].FirstAttempt, want[i])
		}
		if i > 0 && got[i].FirstAttemptAt.After(got[i-1].FirstAttemptAt) != want[i] {
			t.Errorf("attempt %d: first_attempt_at went from %v to %v", i+1, got[i-1].FirstAttemptAt, got[i].FirstAttemptAt)
		}
	}
}
