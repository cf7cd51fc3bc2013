package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Client is one connection of a client, which is kept between requests.
type Client struct {
	log     *Record
	name    string
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClient returns a connection that the first request opens.
func NewClient(log *Record, name, address string) *Client {
	return &Client{log: log, name: name, address: address}
}

// Reply is the answer to a request. Status is 0 if there was none.
type Reply struct {
	Status int
	State  string
	Err    error
}

// Job is a job of a client that needn't be kept.
type Job struct {
	ID     string
	Prefix string
	Spec   string
	Steps  []map[string]any
	Wait   time.Duration // how long the client waits for the answer
}

// Tasks returns a step of equal tasks.
func Tasks(count, cpu int, estimate time.Duration, after ...int) map[string]any {
	m := map[string]any{"count": count, "cpu": cpu, "memMb": 64, names["estimate"]: estimate.Milliseconds()}
	if len(after) > 0 {
		m["after"] = after
	}
	return m
}

// linkTime is how much later than its deadline an answer may arrive over the link.
const linkTime = 200 * time.Millisecond

const host = "books.example"

// Text returns the request that submits the job.
func (j Job) Text() string {
	body, err := json.Marshal(map[string]any{"spec": j.Spec, names["notStored"]: true, "steps": j.Steps})
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		j.Prefix, j.ID, host, j.Wait.Milliseconds(), len(body), body)
}

// Submit submits a job and waits for its answer.
func (c *Client) Submit(j Job) Reply { return c.do("POST", j.Prefix+j.ID, j.Text(), j.Wait) }

// Cancel cancels a job.
func (c *Client) Cancel(prefix, id string, wait time.Duration) Reply {
	return c.do("DELETE", prefix+id, fmt.Sprintf("DELETE %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n\r\n", prefix, id, host, wait.Milliseconds()), wait)
}

func (c *Client) do(method, path, text string, wait time.Duration) Reply {
	c.log.Note("send   %s: %s %s", c.name, method, path)
	r := c.exchange(method, text, wait)
	if r.Status == 0 {
		c.log.Note("answer %s: %s %s: none (%v)", c.name, method, path, r.Err)
	} else {
		c.log.Note("answer %s: %s %s: %d %s", c.name, method, path, r.Status, r.State)
	}
	return r
}

func (c *Client) exchange(method, text string, wait time.Duration) Reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return Reply{Err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(wait + linkTime))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.Close()
		return Reply{Err: err}
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.Close()
		return Reply{Err: err}
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		c.Close()
		return Reply{Err: errors.New("answer cut: " + err.Error())}
	}
	if res.Close {
		c.Close()
	}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(body, &state) != nil {
		state.State = strings.TrimSpace(string(body))
	}
	return Reply{Status: res.StatusCode, State: state.State}
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
