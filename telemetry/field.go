package telemetry

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Keys of the fields of a log line. docs/OPERATIONS.md lists them.
const (
	fieldJob         = "job"
	fieldTeam        = "team"
	fieldIndex       = "index"
	fieldIncarnation = "incarnation"
	fieldPeer        = "peer"
	fieldDomain      = "failure_domain"
	fieldOutcome     = "outcome"
	fieldReason      = "reason"
	fieldDetail      = "detail"
	fieldEpoch       = "epoch"
	fieldDocVersion  = "document_version"
	fieldAddress     = "address"
	fieldBuild       = "build"
	fieldElapsed     = "elapsed_ms"
	fieldCount       = "count"
	fieldListener    = "listener"
	fieldBytes       = "bytes"
	fieldError       = "error"
)

// Field is one typed field of a log line.
type Field struct {
	name  string
	value any
}

// addTo adds the field to a line. Values with several parts, such as a job's key, are
// expanded only here, so that a line below the log level costs nothing.
func (f Field) addTo(to log.Fields) {
	switch v := f.value.(type) {
	case ident.JobKey:
		to[fieldJob] = v.String()
		to[fieldTeam] = string(v.Team)
	case ident.TaskID:
		to[fieldJob] = v.Job.String()
		to[fieldTeam] = string(v.Job.Team)
		to[fieldIndex] = v.Index
	case job.Outcome:
		addOutcome(to, v)
	case time.Duration:
		to[f.name] = float64(v) / float64(time.Millisecond)
	default:
		to[f.name] = v
	}
}

func addOutcome(to log.Fields, o job.Outcome) {
	to[fieldOutcome] = o.Kind.String()
	if o.Reason != "" {
		to[fieldReason] = string(o.Reason)
	}
	if o.Detail != "" {
		to[fieldDetail] = o.Detail
	}
}

// Job is the job that the line is about, with its team.
func Job(k ident.JobKey) Field { return Field{fieldJob, k} }

// Task is the task that the line is about, with its job and team.
func Task(t ident.TaskID) Field { return Field{fieldJob, t} }

// Incarnation is the incarnation of the process that writes the line.
func Incarnation(i ident.Incarnation) Field { return Field{fieldIncarnation, string(i)} }

// Peer is the incarnation of another process that the line is about.
func Peer(i ident.Incarnation) Field { return Field{fieldPeer, string(i)} }

// Domain is a failure domain.
func Domain(d ident.FailureDomain) Field { return Field{fieldDomain, string(d)} }

// Outcome is the outcome of a job with its reason and detail.
func Outcome(o job.Outcome) Field { return Field{fieldOutcome, o} }

// Reason is the reason of a refusal that isn't a job's outcome.
func Reason(r job.Reason) Field { return Field{fieldReason, string(r)} }

// Epoch is a placement epoch.
func Epoch(e ident.Epoch) Field { return Field{fieldEpoch, uint64(e)} }

// DocVersion is a version of the operators' document.
func DocVersion(v ident.DocVersion) Field { return Field{fieldDocVersion, uint64(v)} }

// Address is the address of a listener or peer.
func Address(a netip.AddrPort) Field { return Field{fieldAddress, a.String()} }

// Build says which build of the program runs.
func Build(text string) Field { return Field{fieldBuild, text} }

// Elapsed is how long something took. It is written in milliseconds.
func Elapsed(d time.Duration) Field { return Field{fieldElapsed, d} }

// Listener names the listener of a process that the message is about.
func Listener(name string) Field { return Field{fieldListener, name} }

// Bytes is an amount of memory in bytes.
func Bytes(n int64) Field { return Field{fieldBytes, n} }

// Count is the number of the things that the message is about.
func Count(n int) Field { return Field{fieldCount, n} }

// Err is the error that the line reports. For a nil error the field is empty.
func Err(err error) Field {
	if err == nil {
		return Field{fieldError, ""}
	}
	return Field{fieldError, err.Error()}
}
