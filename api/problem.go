package api

import (
	"encoding/json"
	"fmt"
	"net/http"

	"foxtaildock.example/dock/job"
)

// Problem says why a request was not taken. Nothing of such a request was
// started.
type Problem struct {
	// Status is the HTTP status of the answer.
	Status int
	// Reason is the reason under which the refusal is counted.
	Reason job.Reason
	// Field names the offending field, if one can be named.
	Field string
	// Message is one sentence that says what is wrong and what would be right.
	Message string
}

// Error formats the problem as one line.
func (p *Problem) Error() string {
	if p.Field == "" {
		return p.Message
	}
	return p.Field + ": " + p.Message
}

// invalid builds the problem of a field that is not as it must be.
func invalid(field, format string, args ...any) *Problem {
	return &Problem{
		Status:  http.StatusBadRequest,
		Reason:  job.ReasonInvalid,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	}
}

// tooLarge builds the problem of a field beyond its bound.
func tooLarge(field, format string, args ...any) *Problem {
	p := invalid(field, format, args...)
	p.Status = http.StatusRequestEntityTooLarge
	return p
}

// WriteProblem answers a request with an ErrorAnswer.
func WriteProblem(w http.ResponseWriter, p *Problem) error {
	return writeJSON(w, p.Status, ErrorAnswer{Error: p.Message, Field: p.Field})
}

// writeJSON answers with a JSON document.
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
