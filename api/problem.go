package api

import (
	"encoding/json"
	"fmt"
	"net/http"

	"foxtaildock.example/dock/job"
)

// Problem is the error of a request that was not accepted. Nothing of such a
// request was started.
type Problem struct {
	// Status is the HTTP status of the answer.
	Status int
	// Reason is the reason under which metrics count the refusal.
	Reason job.Reason
	// Field is the name of the invalid field, if the problem is about one.
	Field string
	// Message says what is wrong and what is expected, in one sentence.
	Message string
}

// Error formats the problem as one line.
func (p *Problem) Error() string {
	if p.Field == "" {
		return p.Message
	}
	return p.Field + ": " + p.Message
}

// invalid returns the problem of an invalid field, with status 400.
func invalid(field, format string, args ...any) *Problem {
	return &Problem{
		Status:  http.StatusBadRequest,
		Reason:  job.ReasonInvalid,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	}
}

// tooLarge returns the problem of a field beyond its size limit, with status 413.
func tooLarge(field, format string, args ...any) *Problem {
	p := invalid(field, format, args...)
	p.Status = http.StatusRequestEntityTooLarge
	return p
}

// WriteProblem answers a request with an ErrorAnswer. The error is one of
// encoding or writing.
func WriteProblem(w http.ResponseWriter, p *Problem) error {
	return writeJSON(w, p.Status, ErrorAnswer{Error: p.Message, Field: p.Field})
}

// writeJSON answers a request with a JSON document.
func writeJSON(w http.ResponseWriter, status int, document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return fmt.Errorf("encoding an answer: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(append(body, '\n')); err != nil {
		return fmt.Errorf("writing an answer: %w", err)
	}
	return nil
}
