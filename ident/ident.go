// Package ident holds the small identifier types that every other package
// shares. They carry no behaviour beyond formatting, so that the decision
// cores, the wire format and the shells name the same things in the same way.
package ident

import (
	"cmp"
	"fmt"
)

// Incarnation names one life of a process. It is random and new at each start,
// so that two lives at the same address are never mistaken for each other.
type Incarnation string

// Team names a customer of the system, the owner of jobs and of document
// sections.
type Team string

// FailureDomain names a set of workers that is taken out of service and
// returned as a whole.
type FailureDomain string

// Service names a kind of backend server. Tasks name the service they need.
type Service string

// Epoch numbers the rows of the placement table. A higher epoch is newer.
type Epoch uint64

// DocVersion numbers the states of the operators' document. A higher version is
// newer; a process never goes back to a lower one.
type DocVersion uint64

// RequestID names one pending request inside one process. Shells assign it, and
// cores return it in the action that answers the request.
type RequestID uint64

// JobKey identifies a job for ever: the team and the key the caller chose.
type JobKey struct {
	Team Team
	Key  string
}

// String formats the key for logs and reports.
func (k JobKey) String() string { return fmt.Sprintf("%s/%s", k.Team, k.Key) }

// Compare orders keys by team, then by key. Cores use it to walk maps in an
// order that does not depend on the run.
func (k JobKey) Compare(o JobKey) int {
	if c := cmp.Compare(k.Team, o.Team); c != 0 {
		return c
	}
	return cmp.Compare(k.Key, o.Key)
}

// TaskID identifies one task of one job.
type TaskID struct {
	Job   JobKey
	Index int
}

// String formats the task for logs and reports.
func (t TaskID) String() string { return fmt.Sprintf("%s#%d", t.Job, t.Index) }

// Compare orders tasks by job, then by index.
func (t TaskID) Compare(o TaskID) int {
	if c := t.Job.Compare(o.Job); c != 0 {
		return c
	}
	return cmp.Compare(t.Index, o.Index)
}
