package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/ident"
)

// answerOf returns an answer of a backend server with the given headers.
func answerOf(status int, team, job, index string) *http.Response {
	h := http.Header{}
	h.Set(headerTeam, team)
	h.Set(headerJob, job)
	h.Set(headerIndex, index)
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader("block 7"))}
}

func TestAnswerMustNameItsTask(t *testing.T) {
	s := gate.Send{Task: ident.TaskID{Job: ident.JobKey{Team: "till", Key: "book"}, Index: 2}}
	cases := []struct {
		what             string
		status           int
		team, job, index string
		ok               bool
	}{
		{"its own", 200, "till", "book", "2", true},
		{"another index", 200, "till", "book", "3", false},
		{"another job", 200, "till", "cook", "2", false},
		{"another team", 200, "mill", "book", "2", false},
		{"no name", 200, "", "", "", false},
		{"an error", 500, "till", "book", "2", false},
	}
	for _, c := range cases {
		got := outcome(s, answerOf(c.status, c.team, c.job, c.index), nil)
		if got.OK != c.ok {
			t.Errorf("%s: ok is %v, want %v (%s)", c.what, got.OK, c.ok, got.Detail)
		}
		if got.OK && string(got.Body) != "block 7" {
			t.Errorf("%s: body %q", c.what, got.Body)
		}
	}
}

func TestNotStartedNeedsHeaderOn503(t *testing.T) {
	cases := []struct {
		status int
		header string
		want   bool
	}{
		{503, "true", true},
		{503, "", false},
		{503, "no", false},
		{500, "true", false},
		{200, "true", false},
	}
	for _, c := range cases {
		resp := answerOf(c.status, "till", "book", "2")
		resp.Header.Set(headerNotStarted, c.header)
		if got := isNotStarted(resp); got != c.want {
			t.Errorf("status %d, header %q: %v, want %v", c.status, c.header, got, c.want)
		}
	}
}
