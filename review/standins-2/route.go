package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["cancel-removed-route"] = cancelOnRemovedRoute }

// ackMs is the bound of the settings within which a cancel is confirmed.
const ackMs = 4 * time.Second

// cancelOnRemovedRoute: while a job runs, the operator removes its queue. The client then
// cancels the job.
func cancelOnRemovedRoute(rec *recorder) ([]string, error) {
	s, err := prepare(rec, spread(6))
	defer func() { s.close(err != nil) }()
	if err != nil {
		return nil, err
	}
	j := &job{id: newID(), tasks: []int{4, 4, 4, 4, 4, 4}, work: 2500 * time.Millisecond, limit: 18 * time.Second}
	posted := s.submit(s.entries[0], j)
	if err = s.awaitRuns(j.id, 1, time.Second); err != nil {
		return nil, err
	}
	if trouble {
		m := manifest(7)
		m["routes"] = m["routes"].([]any)[1:]
		s.store.put("op", "config", m)
		rec.add("operator: manifest 7 without the queue of the job is confirmed")
		time.Sleep(2500 * time.Millisecond)
	}
	sent := now()
	var acked time.Duration
	for i := 0; acked == 0 && now() < sent+ackMs; i++ {
		a := s.cancel(s.entries[i%3], j.id)
		if a.status/100 == 2 || a.status == http.StatusGone {
			acked = a.at
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	counted := acked
	if counted == 0 {
		counted = sent + ackMs
		rec.add("the cancel has waited ackMs for its confirmation")
	}
	<-posted
	var list []string
	for _, r := range s.allRuns() {
		if strings.HasPrefix(r.task, j.id+".") && r.began > counted+cancelMs {
			list = append(list, fmt.Sprintf("UNASKED: %s started %.3f s after its job's first DELETE (acknowledged: %v); the bound is %v + %v", r.String(), (r.began-sent).Seconds(), acked > 0, ackMs, cancelMs))
		}
	}
	return list, nil
}
