package usersite

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Outcome is how a request on a Connection ended.
type Outcome int

// The outcomes.
const (
	// Answered: the whole response was received.
	Answered Outcome = iota
	// Refused: no connection was accepted, or it ended before the whole request was sent.
	Refused
	// Cut: the whole request was sent, and the connection ended without a whole response.
	Cut
	// TimedOut: there was no whole response within the caller's timeout.
	TimedOut
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "cut without an answer", "timed out"}[o]
}

// Exchange records one request for a job and how it ended.
type Exchange struct {
	Entry   int
	Job     string
	Sent    time.Time
	Ended   time.Time
	Outcome Outcome
	Reply   Reply // empty without a whole response
}

// Connection is a caller's keep-alive connection to an entry. Unlike Caller, it never
// sends a request again, and it keeps its connection open until the entry ends it. Its
// methods must not be called concurrently.
type Connection struct {
	// Priority selects the route. A site without Config.Priorities has only that of 0.
	Priority int

	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewConnection returns a connection to the address, which the first request opens.
func NewConnection(address string) *Connection { return &Connection{address: address} }

// Submit sends the job of equal tasks and waits for its answer until the timeout, which
// is also the deadline of the job. It opens a connection if none is open. The exchange
// has no entry number yet.
func (c *Connection) Submit(id string, tasks int, estimate, timeout time.Duration) Exchange {
	x := Exchange{Job: id, Sent: time.Now()}
	x.Outcome, x.Reply = c.exchange(jobRequest(c.address, prefixes[c.Priority], id, tasks, estimate, timeout), timeout)
	x.Ended = time.Now()
	if x.Outcome != Answered {
		c.Close()
	}
	return x
}

// answerSlack is how long a caller waits for the answer after the deadline of its job.
const answerSlack = time.Second

func (c *Connection) exchange(req *http.Request, timeout time.Duration) (Outcome, Reply) {
	if c.conn == nil && !c.open() {
		return Refused, Reply{}
	}
	if err := c.conn.SetDeadline(time.Now().Add(timeout + answerSlack)); err != nil {
		return Refused, Reply{}
	}
	if err := req.Write(c.conn); err != nil {
		return Refused, Reply{}
	}
	reply, last, err := c.readReply(req)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut, Reply{}
	case err != nil:
		return Cut, Reply{}
	}
	if last {
		c.Close()
	}
	return Answered, reply
}

// dialTimeout is how long a caller waits until its connection is accepted.
const dialTimeout = 500 * time.Millisecond

func (c *Connection) open() bool {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

// readReply reads one response, and reports whether it is the last of its connection.
func (c *Connection) readReply(req *http.Request) (reply Reply, last bool, err error) {
	res, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return Reply{}, false, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Reply{}, false, err
	}
	var body struct {
		State string `json:"state"`
	}
	if res.StatusCode == http.StatusOK {
		err = json.Unmarshal(text, &body)
	}
	return Reply{Status: res.StatusCode, State: body.State}, res.Close, err
}

// Close closes the connection, if it is open. The next request opens a new one.
func (c *Connection) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
	c.reader = nil
}
