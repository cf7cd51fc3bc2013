package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["silent-caller"] = silentCaller }

// What the client does: it finds a channel broken when so many keep-alive probes got no answer.
const (
	probeInterval = 500 * time.Millisecond
	probes        = 3
)

// longestCut is the site's dose of a bridge cut.
const longestCut = 5500 * time.Millisecond

// silentCaller: a client of dakar has an open channel to the entry in thies, which runs its job.
// The two zones lose each other. The client's keep-alive probes show that the channel is
// broken, and it sends the job again, to the entry of its own zone.
func silentCaller(rec *recorder) ([]string, error) {
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
	for range 3 {
		list, playErr := s.playSilentCaller(path, l.Addr().String(), far, own)
		if err = playErr; err != nil {
			return nil, err
		}
		violations = append(violations, list...)
		time.Sleep(contact)
	}
	return violations, nil
}

// playSilentCaller plays the case once, with a channel of its own.
func (s *site) playSilentCaller(path *network, address string, far, own *process) ([]string, error) {
	channel := &http.Client{Transport: &http.Transport{}}
	defer channel.CloseIdleConnections()
	opener := &job{id: newID(), tasks: []int{1}, work: 60 * time.Millisecond, limit: 1500 * time.Millisecond}
	if status, err := s.sendOn(context.Background(), channel, address, far, opener); status != http.StatusOK {
		return nil, fmt.Errorf("the first job on the channel: status %d, %w", status, err)
	}
	j := &job{id: newID(), tasks: []int{4}, work: 4 * time.Second, limit: 7400 * time.Millisecond}
	open, broken := context.WithCancel(context.Background())
	defer broken()
	type result struct {
		status int
		err    error
	}
	first := make(chan result, 1)
	go func() {
		status, err := s.sendOn(open, channel, address, far, j)
		first <- result{status, err}
	}()
	if err := s.awaitRuns(j.id, j.tasks[0], time.Second); err != nil {
		return nil, err
	}
	if !trouble {
		if r := <-first; r.status != http.StatusOK {
			return nil, fmt.Errorf("a job without trouble: status %d, %w", r.status, r.err)
		}
		return overlaps(s, j.id), nil
	}
	path.cut()
	began := now()
	time.Sleep(probes * probeInterval)
	s.rec.add("client: %d keep-alive probes got no answer, the channel is broken", probes)
	broken()
	if r := <-first; r.err == nil {
		return nil, fmt.Errorf("a job was answered %d during the cut", r.status)
	}
	time.Sleep(retry)
	again := s.submit(own, j)
	time.Sleep(longestCut - (now() - began))
	path.heal()
	<-again
	time.Sleep(300 * time.Millisecond)
	return overlaps(s, j.id), nil
}
