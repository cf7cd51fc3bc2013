package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-copy"] = lateCopy }

// oneWay is the time from a client to an entry of another zone: 1 ms to clients and 0.9 ms
// between zones.
const oneWay = 1900 * time.Microsecond

// network is the path between a client and an entry. While it is cut, no byte passes, and what
// is sent waits. After the cut the oldest bytes are sent again; the end of the connection
// follows once they are acknowledged, a round trip later.
type network struct {
	target string
	mu     sync.Mutex
	healed chan struct{} // closed while the path is whole
	rec    *recorder
}

func newNetwork(target string, rec *recorder) *network {
	n := &network{target: target, healed: make(chan struct{}), rec: rec}
	close(n.healed)
	return n
}

func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.healed = make(chan struct{})
	n.rec.add("network: the entry is cut off from its clients")
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.healed)
	n.rec.add("network: the cut ends")
}

func (n *network) path() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.healed
}

func (n *network) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go n.forward(c)
	}
}

func (n *network) forward(client net.Conn) {
	entry, err := net.Dial("tcp", n.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go n.copy(client, entry, true)
	n.copy(entry, client, false)
}

// copy passes bytes on, in order, until the end of the connection.
func (n *network) copy(from, to net.Conn, fromClient bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			time.Sleep(oneWay)
			<-n.path()
			if fromClient {
				n.rec.add("network: %d bytes of a client reach the entry", count)
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			path := n.path()
			select {
			case <-path:
				time.Sleep(oneWay)
			default:
				<-path
				time.Sleep(2 * oneWay) // the bytes before it have to be acknowledged first
			}
			if fromClient {
				n.rec.add("network: the end of the client's connection reaches the entry")
			}
			return
		}
	}
}

// lateCopy: a client of dakar has an open channel to the entry in thies. The two zones can't
// reach each other for a while. The client gets no answer to a job and sends it again, to the
// entry of its own zone. The cut ends while that one runs it.
func lateCopy(rec *recorder) ([]string, error) {
	third := zones[2] // reaches both zones, and has all executors
	s, err := prepare(rec, []string{third, third, third, third, third, third, third, third})
	defer func() { s.close(err != nil) }()
	if err != nil {
		return nil, err
	}
	far, own := s.entries[0], s.entries[1] // in thies and dakar
	path := newNetwork(s.at(far.ip, "callers"), rec)
	l, err := net.Listen("tcp", s.at(s.address(2, 1), "callers"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	go path.serve(l)
	var violations []string
	for range lateCopies {
		list, playErr := s.playLateCopy(path, l.Addr().String(), far, own)
		if err = playErr; err != nil {
			return nil, err
		}
		violations = append(violations, list...)
		time.Sleep(contact)
	}
	return violations, nil
}

// lateCopies is how often the case is played in one run.
const lateCopies = 5

// playLateCopy plays the case once, with a channel of its own.
func (s *site) playLateCopy(path *network, address string, far, own *process) ([]string, error) {
	channel := &http.Client{Transport: &http.Transport{}}
	defer channel.CloseIdleConnections()
	opener := &job{id: newID(), tasks: []int{1}, work: 60 * time.Millisecond, limit: 1500 * time.Millisecond}
	if status, err := s.sendOn(context.Background(), channel, address, far, opener); status != http.StatusOK {
		return nil, fmt.Errorf("the first job on the channel: status %d, %w", status, err)
	}
	j := &job{id: newID(), tasks: []int{4}, work: 1200 * time.Millisecond, limit: 1500 * time.Millisecond}
	began := now()
	if trouble {
		path.cut()
	}
	status, err := s.sendOn(context.Background(), channel, address, far, j)
	switch {
	case trouble && err == nil:
		return nil, fmt.Errorf("a job was answered %d during the cut", status)
	case trouble:
		time.Sleep(retry)
		again := s.submit(own, j)
		time.Sleep(600 * time.Millisecond)
		path.heal()
		s.rec.add("network: the cut has lasted %.1f s", (now() - began).Seconds())
		<-again
	case status != http.StatusOK:
		return nil, fmt.Errorf("a job without trouble: status %d, %w", status, err)
	}
	time.Sleep(500 * time.Millisecond)
	return overlaps(s, j.id), nil
}

// sendOn sends a job on a channel that stays open until the context ends.
func (s *site) sendOn(open context.Context, channel *http.Client, address string, entry *process, j *job) (status int, err error) {
	ctx, cancel := context.WithTimeout(open, j.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+prefix+j.id, strings.NewReader(j.body()))
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(j.limit.Milliseconds()))
	s.rec.add("client: POST of %s to %s on its open channel", j.id, entry.name)
	res, err := channel.Do(req)
	if err != nil {
		s.rec.add("client: POST of %s: no answer, channel closed", j.id)
		return 0, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	s.rec.add("client: POST of %s answered: status %d", j.id, res.StatusCode)
	return res.StatusCode, nil
}

// overlaps returns the pairs of runs of one task of a job that ran at the same time.
func overlaps(s *site, id string) []string {
	byTask := map[string][]runState{}
	for _, r := range s.allRuns() {
		if strings.HasPrefix(r.task, id+".") {
			byTask[r.task] = append(byTask[r.task], r)
		}
	}
	var list []string
	for _, runs := range byTask {
		slices.SortFunc(runs, func(a, b runState) int { return int(a.began - b.began) })
		for i := 1; i < len(runs); i++ {
			if a, b := &runs[i-1], &runs[i]; a.end == 0 || b.began < a.end {
				list = append(list, fmt.Sprintf("TWICE: %s, and %s", a.String(), b.String()))
			}
		}
	}
	slices.Sort(list)
	return list
}
