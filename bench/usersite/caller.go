package usersite

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"foxtaildock.example/dock/work"
)

// Reply is an entry's answer to a job.
type Reply struct {
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	// State is the state of the job in a successful answer.
	State string
}

// Caller sends jobs to entries. It reuses its connections.
type Caller struct{ client http.Client }

// Submit sends a job of equal tasks to an entry and waits for its answer until the
// timeout, which is also the deadline of the job.
func (c *Caller) Submit(ctx context.Context, entry, id string, tasks int, estimate time.Duration, timeout time.Duration) Reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.do(jobRequest(entry, Prefix, id, tasks, estimate, timeout).WithContext(ctx))
}

// Demand is the demand of each task of a caller's job.
var Demand = work.Demand{CPUMilli: 1000, MemoryMB: 64}

// jobRequest returns the request that submits a job of equal tasks to an entry, on the
// route with the given path prefix.
func jobRequest(entry, prefix, id string, tasks int, estimate, timeout time.Duration) *http.Request {
	body, err := json.Marshal(map[string]any{
		"spec": "work", "bestEffort": true,
		"steps": []map[string]any{{
			"count": tasks, "cpu": Demand.CPUMilli, "memMb": Demand.MemoryMB, "estimateMs": estimate.Milliseconds(),
		}},
	})
	if err != nil {
		panic(err) // numbers and strings can always be encoded
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address and the id are the bench's own
	}
	req.Host = Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	return req
}

// Cancel asks an entry to cancel a job.
func (c *Caller) Cancel(ctx context.Context, entry, id string) Reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry+Prefix+id, nil)
	if err != nil {
		return Reply{}
	}
	req.Host = Host
	return c.do(req)
}

func (c *Caller) do(req *http.Request) Reply {
	res, err := c.client.Do(req)
	if err != nil {
		return Reply{}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Reply{}
	}
	var body struct {
		State string `json:"state"`
	}
	if res.StatusCode == http.StatusOK && json.Unmarshal(text, &body) != nil {
		return Reply{}
	}
	return Reply{Status: res.StatusCode, State: body.State}
}
