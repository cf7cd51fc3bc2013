package api

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// MaxBodyBytes is the largest body of a submission, in bytes. It has room for the
// largest sum of payloads in base64 and about 1 KB more for each task.
const MaxBodyBytes = 12 << 20

// Bounds on what a task declares. They only keep the numbers in range, since the
// declared values may be far off anyway.
const (
	maxDeclaredRun = 24 * time.Hour
	maxSize        = 1 << 20
)

// AttemptInfo is what the caller says about the first attempt of a submission.
type AttemptInfo struct {
	// First is true if the caller says that the key was never sent before.
	First bool
	// FirstAt is when the key was first sent, by the caller's clock.
	FirstAt time.Time
}

// jobBody is a JobRequest with pointers, which tell a missing field from one that
// is zero.
type jobBody struct {
	Team           string     `json:"team"`
	Key            string     `json:"key"`
	Service        string     `json:"service"`
	DeadlineMS     *int64     `json:"deadline_ms"`
	FirstAttempt   bool       `json:"first_attempt"`
	FirstAttemptAt *time.Time `json:"first_attempt_at"`
	Tasks          []taskBody `json:"tasks"`
}

// taskBody is a TaskRequest with a pointer for the same purpose.
type taskBody struct {
	Index         *int   `json:"index"`
	Payload       []byte `json:"payload"`
	DeclaredRunMS int64  `json:"declared_run_ms"`
	Size          int    `json:"size"`
}

// DecodeJob reads and checks a JobRequest. The time of the first attempt must not
// be more than job.ClockSkew after now, the wall-clock time. Whether it is too
// long ago is left to the job's home, which may still have the answer.
func DecodeJob(r io.Reader, now time.Time) (*job.Spec, AttemptInfo, *Problem) {
	text, problem := readBody(r)
	if problem != nil {
		return nil, AttemptInfo{}, problem
	}
	body, problem := parseBody(text)
	if problem != nil {
		return nil, AttemptInfo{}, problem
	}
	spec, problem := body.spec()
	if problem != nil {
		return nil, AttemptInfo{}, problem
	}
	attempt, problem := body.attempt(now)
	if problem != nil {
		return nil, AttemptInfo{}, problem
	}
	return spec, attempt, nil
}

func readBody(r io.Reader) ([]byte, *Problem) {
	text, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	var tooMany *http.MaxBytesError
	if errors.As(err, &tooMany) || len(text) > MaxBodyBytes {
		return nil, tooLarge("", "the body is larger than %d bytes; split the job", MaxBodyBytes)
	}
	if err != nil {
		p := invalid("", "the body could not be read whole: %v", err)
		p.Status = http.StatusRequestTimeout
		return nil, p
	}
	return text, nil
}

func parseBody(text []byte) (*jobBody, *Problem) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	body := &jobBody{}
	if err := d.Decode(body); err != nil {
		return nil, jsonProblem(err, d.InputOffset())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("", "there is something behind the JSON document, at byte %d", d.InputOffset())
	}
	return body, nil
}

// jsonProblem turns an error of encoding/json into a problem that names the field
// or the byte offset of the fault.
func jsonProblem(err error, offset int64) *Problem {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	var wrongBase64 base64.CorruptInputError
	var wrongTime *time.ParseError
	switch {
	case errors.Is(err, io.EOF):
		return invalid("", "the body is empty; send a JSON document")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return invalid("", "malformed JSON: the document ends too early")
	case errors.As(err, &syntax):
		return invalid("", "malformed JSON at byte %d: %v", syntax.Offset, syntax)
	case errors.As(err, &wrongType):
		return invalid(wrongType.Field, "is a JSON %s at byte %d, which does not fit", wrongType.Value, wrongType.Offset)
	case errors.As(err, &wrongBase64):
		return invalid("tasks.payload", "is not base64: %v, in the document that ends at byte %d", wrongBase64, offset)
	case errors.As(err, &wrongTime):
		return invalid("first_attempt_at", "is not a time in RFC 3339 such as 2026-03-01T12:00:00Z")
	}
	if name, ok := unknownField(err); ok {
		return invalid(name, "is an unknown field; the fields are listed in docs/openapi.yaml")
	}
	return invalid("", "malformed JSON: %v", err)
}

// unknownField returns the field name in the error of DisallowUnknownFields,
// which has no type of its own, and reports whether err is that error.
func unknownField(err error) (string, bool) {
	name, ok := strings.CutPrefix(err.Error(), "json: unknown field ")
	return strings.Trim(name, `"`), ok
}

// spec checks the body, except for the first attempt, and returns it as a job.
func (b *jobBody) spec() (*job.Spec, *Problem) {
	if p := b.checkNames(); p != nil {
		return nil, p
	}
	deadline, p := b.deadline()
	if p != nil {
		return nil, p
	}
	tasks, p := b.tasks()
	if p != nil {
		return nil, p
	}
	return &job.Spec{
		Key:      ident.JobKey{Team: ident.Team(b.Team), Key: b.Key},
		Service:  ident.Service(b.Service),
		Tasks:    tasks,
		Deadline: deadline,
	}, nil
}

func (b *jobBody) deadline() (time.Duration, *Problem) {
	switch {
	case b.DeadlineMS == nil:
		return 0, invalid("deadline_ms", "is missing; give the time for the whole job in milliseconds")
	case *b.DeadlineMS <= 0:
		p := invalid("deadline_ms", "has expired; nothing was started")
		p.Reason = job.ReasonDeadline
		return 0, p
	case *b.DeadlineMS > job.MaxDeadline.Milliseconds():
		return 0, invalid("deadline_ms", "is too long; at most %d", job.MaxDeadline.Milliseconds())
	}
	return time.Duration(*b.DeadlineMS) * time.Millisecond, nil
}

func (b *jobBody) attempt(now time.Time) (AttemptInfo, *Problem) {
	if b.FirstAttemptAt == nil || b.FirstAttemptAt.IsZero() {
		return AttemptInfo{}, invalid("first_attempt_at", "is missing; give the time at which the key was first sent, in RFC 3339")
	}
	if b.FirstAttemptAt.After(now.Add(job.ClockSkew)) {
		return AttemptInfo{}, invalid("first_attempt_at", "is more than %s in the future; check the caller's clock", job.ClockSkew)
	}
	return AttemptInfo{First: b.FirstAttempt, FirstAt: *b.FirstAttemptAt}, nil
}
