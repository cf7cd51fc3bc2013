// Package httpjson has the JSON-over-HTTP helpers that the stand-ins and their
// clients share.
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
	// maxBodyBytes bounds the body of one request or response.
	maxBodyBytes = 64 << 20
	// shutdownTimeout bounds the graceful shutdown in Serve.
	shutdownTimeout = 2 * time.Second
	// maxErrorBytes bounds the part of a response body that goes into an error.
	maxErrorBytes = 300
)

// Read decodes the JSON body of a request. If that fails, it responds with status
// 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write sends v as a JSON response.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Call sends in as JSON, if it is not nil, and decodes a successful response into
// out, if that is not nil. It returns a *StatusError for a status other than 2xx.
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

// Serve serves on the listener until the context ends, and then shuts the server
// down. It returns nil after a shutdown.
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
