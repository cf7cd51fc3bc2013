// Package httpjson has the few JSON-over-HTTP helpers that the stand-ins and
// their controllers share.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// maxBodyBytes bounds the body of one request or answer.
	maxBodyBytes = 64 << 20
	// shutdownTimeout bounds the graceful end of Serve.
	shutdownTimeout = 2 * time.Second
	// maxErrorBytes bounds the part of an answer that goes into an error.
	maxErrorBytes = 300
)

// Read decodes the body of a request. It answers with 400 and returns false if
// that fails.
func Read(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write sends v as a JSON answer.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error names the status and the start of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Call sends in as JSON, if it is not nil, and decodes a successful answer into
// out, if that is not nil.
func Call(ctx context.Context, client *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(data[:min(len(data), maxErrorBytes)])}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// Serve serves on the listener until the context ends.
func Serve(ctx context.Context, l net.Listener, srv *http.Server) error {
	stopped := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(end) != nil {
			_ = srv.Close()
		}
	})
	defer stopped()
	err := srv.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
