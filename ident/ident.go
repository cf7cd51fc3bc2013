// Package ident defines the identifier types that the other packages share, so that
// the decision cores, the wire format and the processes identify the same things in
// the same way. The types have no behaviour beyond formatting and ordering.
package ident

import (
	"cmp"
	"fmt"
)

// Incarnation identifies one start of a process until its end. It is drawn at random
// at each start, so that a restarted process is never mistaken for its predecessor
// at the same address.
type Incarnation string

// Team is the name of a client account, the owner of jobs and of sections of the
// operators' document.
type Team string

// FailureDomain is the name of a set of VMs that is taken out of service and
// returned to service as a whole.
type FailureDomain string

// Service is the name of a kind of backend server. A task runs only on a backend
// server of the service that its job names.
type Service string

// Epoch is the number of a row of the placement table. A higher epoch is newer.
type Epoch uint64

// DocVersion is the version of the operators' document. A higher version is newer; a
// process never goes back to a lower one.
type DocVersion uint64

// RequestID identifies one pending request within one process. The process assigns
// it, and the decision core returns it in the action that answers the request.
type RequestID uint64

// JobKey identifies a job permanently: the team and the key that the caller chose.
type JobKey struct {
	Team Team
	Key  string
}

// String formats the key for logs and reports.
func (k JobKey) String() string { return fmt.Sprintf("%s/%s", k.Team, k.Key) }

// Compare orders keys by team, then by key. Decision cores use it to iterate over maps
// in a deterministic order.
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
