package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const goodJob = `{"team":"tills","key":"book-7","service":"serials","deadline_ms":2000,
"first_attempt":true,"first_attempt_at":"2026-03-01T11:59:59Z",
"tasks":[{"index":0,"payload":"QUI=","declared_run_ms":80,"size":1},{"index":1}]}`

func TestDecodeJobAcceptsCompleteJob(t *testing.T) {
	spec, attempt, p := DecodeJob(strings.NewReader(goodJob), testNow)
	if p != nil {
		t.Fatal(p)
	}
	if spec.Key.String() != "tills/book-7" || spec.Service != "serials" || spec.Deadline != 2*time.Second ||
		len(spec.Tasks) != 2 || string(spec.Tasks[0].Payload) != "AB" || spec.Tasks[0].DeclaredRun != 80*time.Millisecond {
		t.Errorf("decoded job is %+v", spec)
	}
	if !attempt.First || !attempt.FirstAt.Equal(testNow.Add(-time.Second)) {
		t.Errorf("decoded first attempt is %+v", attempt)
	}
}

func TestDecodeJobRejectsAndNamesTheField(t *testing.T) {
	tasks := func(list string) string {
		return goodJob[:strings.Index(goodJob, `"tasks"`)] + `"tasks":[` + list + `]}`
	}
	change := func(old, new string) string { return strings.Replace(goodJob, old, new, 1) }
	payload := strings.Repeat("A", (job.MaxTaskPayload+3)/3*4)
	many := strings.TrimSuffix(strings.Repeat(`{"index":0},`, job.MaxTasks+1), ",")
	cases := []struct {
		name, body, field, message string
		status                     int
	}{
		{"empty body", "", "", "empty", 400},
		{"cut off", goodJob[:40], "", "ends too early", 400},
		{"malformed", change(":2000", ":20x00"), "", fmt.Sprintf("at byte %d", strings.Index(goodJob, ":2000")+4), 400},
		{"two documents", goodJob + "{}", "", "behind the JSON document", 400},
		{"wrong type", change(":2000", `:"2000"`), "deadline_ms", "JSON string at byte", 400},
		{"unknown field", change(`"size"`, `"sizes"`), "sizes", "unknown field", 400},
		{"not base64", change("QUI=", "!"), "tasks.payload", "not base64", 400},
		{"not a time", change("2026-03-01T11:59:59Z", "yesterday"), "first_attempt_at", "RFC 3339", 400},
		{"no team", change("tills", ""), "team", "missing", 400},
		{"slash in key", change("book-7", "book/7"), "key", "not allowed", 400},
		{"long key", change("book-7", strings.Repeat("k", 129)), "key", "129 bytes", 400},
		{"no service", change("serials", ""), "service", "missing", 400},
		{"no deadline", change(`"deadline_ms":2000,`, ""), "deadline_ms", "missing", 400},
		{"expired deadline", change(":2000", ":0"), "deadline_ms", "expired", 400},
		{"long deadline", change(":2000", ":300001"), "deadline_ms", "at most 300000", 400},
		{"huge deadline", change(":2000", ":9223372036854775807"), "deadline_ms", "at most", 400},
		{"no first attempt", change(`"first_attempt_at":"2026-03-01T11:59:59Z",`, ""), "first_attempt_at", "missing", 400},
		{"far future", change("2026-03-01T11:59:59Z", "2026-03-01T12:00:31Z"), "first_attempt_at", "in the future", 400},
		{"no tasks", tasks(""), "tasks", "empty", 400},
		{"too many tasks", tasks(many), "tasks", "at most 1000", 413},
		{"missing index", tasks(`{"index":0},{}`), "tasks[1].index", "missing", 400},
		{"duplicate index", tasks(`{"index":0},{"index":0}`), "tasks[1].index", "twice", 400},
		{"index out of range", tasks(`{"index":0},{"index":2}`), "tasks[1].index", "0 to 1", 400},
		{"negative index", tasks(`{"index":-1}`), "tasks[0].index", "is -1", 400},
		{"out of order", tasks(`{"index":1},{"index":0}`), "tasks[0].index", "0 belongs here", 400},
		{"large payload", tasks(`{"index":0,"payload":"` + payload + `"}`), "tasks[0].payload", "at most 65536", 413},
		{"large sum", tasks(fullTasks(job.MaxJobPayload/job.MaxTaskPayload + 1)), "tasks", "at most 8388608", 413},
		{"negative run time", tasks(`{"index":0,"declared_run_ms":-1}`), "tasks[0].declared_run_ms", "out of bounds", 400},
		{"negative size", tasks(`{"index":0,"size":-1}`), "tasks[0].size", "out of bounds", 400},
		{"large body", tasks(strings.Repeat(" ", MaxBodyBytes)), "", "larger than", 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec, _, p := DecodeJob(strings.NewReader(c.body), testNow)
			if p == nil {
				t.Fatalf("accepted with key %+v, want a problem", spec.Key)
			}
			if spec != nil || p.Status != c.status || p.Field != c.field || !strings.Contains(p.Message, c.message) {
				t.Errorf("got %d %q %q, want %d %q ...%q...", p.Status, p.Field, p.Message, c.status, c.field, c.message)
			}
		})
	}
}

// fullTasks returns a JSON list of n tasks with the largest payload.
func fullTasks(n int) string {
	payload := strings.Repeat("AAAA", job.MaxTaskPayload/3) + "AA=="
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf(`{"index":%d,"payload":"%s"}`, i, payload)
	}
	return strings.Join(list, ",")
}

func TestDecodeJobAcceptsLargestJob(t *testing.T) {
	body := goodJob[:strings.Index(goodJob, `"tasks"`)] + `"tasks":[` + fullTasks(job.MaxJobPayload/job.MaxTaskPayload) + `]}`
	if _, _, p := DecodeJob(strings.NewReader(body), testNow); p != nil {
		t.Error(p)
	}
}

func TestWriteOutcome(t *testing.T) {
	key := ident.JobKey{Team: "tills", Key: "book-7"}
	complete := job.Outcome{Kind: job.Complete, Home: "a-1", Results: []job.Result{{Index: 0, Body: []byte("AB")}}}
	cases := []struct {
		outcome    job.Outcome
		status     int
		retryAfter string
		mayHaveRun bool
	}{
		{complete, 200, "", true},
		{job.Refuse(job.ReasonQuota, 1200*time.Millisecond, ""), 429, "2", false},
		{job.Refuse(job.ReasonOverloaded, time.Microsecond, ""), 503, "1", false},
		{job.Refuse(job.ReasonKeyReused, 0, ""), 409, "", false},
		{job.Refuse(job.ReasonCannotRun, 0, ""), 422, "", false},
		{job.Refuse(job.ReasonTooOld, 0, ""), 410, "", false},
		{job.Refuse(job.ReasonUnauthorized, 0, ""), 401, "", false},
		{job.Fail(job.ReasonTaskError, 0, ""), 502, "", true},
		{job.Fail(job.ReasonDeadline, 0, ""), 504, "", true},
		{job.Fail(job.ReasonOverloaded, 0, ""), 502, "", true},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		if err := WriteOutcome(w, key, &c.outcome); err != nil {
			t.Fatal(err)
		}
		var answer JobAnswer
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
			t.Fatal(err)
		}
		if w.Code != c.status || w.Header().Get("Retry-After") != c.retryAfter || answer.MayHaveRun != c.mayHaveRun ||
			answer.Outcome != c.outcome.Kind.String() || len(answer.Results) != len(c.outcome.Results) {
			t.Errorf("%v: got %d %q %+v", c.outcome, w.Code, w.Header().Get("Retry-After"), answer)
		}
		if (answer.RetryAfterMS > 0) != (c.retryAfter != "") {
			t.Errorf("%v: retry_after_ms is %d, Retry-After %q", c.outcome, answer.RetryAfterMS, c.retryAfter)
		}
	}
}

func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(goodJob))
	f.Add([]byte(`{"team":"a","key":"b","service":"c","deadline_ms":1,"first_attempt_at":"2026-03-01T12:00:00Z","tasks":[{"index":0}]}`))
	f.Add([]byte(`{"tasks":[{"index":null,"payload":null}]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"TEAM":"a","team":"b"}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, attempt, p := DecodeJob(strings.NewReader(string(body)), testNow)
		if p != nil {
			if spec != nil || p.Message == "" || (p.Status != http.StatusBadRequest && p.Status != http.StatusRequestEntityTooLarge) {
				t.Errorf("problem without a message, with a spec or with another status than 400 and 413: %+v", p)
			}
			return
		}
		if attempt.FirstAt.IsZero() || spec.Deadline <= 0 || spec.Deadline > job.MaxDeadline || len(spec.Tasks) == 0 {
			t.Errorf("accepted with a value out of bounds: %+v", spec)
		}
		for i := range spec.Tasks {
			if spec.Tasks[i].Index != i {
				t.Errorf("task %d has index %d", i, spec.Tasks[i].Index)
			}
		}
		if _, p := CheckKey(string(spec.Key.Team), spec.Key.Key); p != nil {
			t.Errorf("accepted with an invalid key: %v", p)
		}
	})
}
