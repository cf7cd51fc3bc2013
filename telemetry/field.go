package telemetry

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Names of the fields of a log line. docs/OPERATIONS.md lists them.
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
	fieldVersion     = "document_version"
	fieldAddress     = "address"
	fieldElapsed     = "elapsed_ms"
	fieldCount       = "count"
	fieldError       = "error"
)

// Field is one typed field of a log line.
type Field struct {
	name  string
	value any
}

// addTo puts the field into a line. A field with several parts expands here, so
// that a line that isn't written costs nothing.
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

// Job names the job that the line concerns.
func Job(k ident.JobKey) Field { return Field{fieldJob, k} }

// Task names the task, and thereby the job, that the line concerns.
func Task(t ident.TaskID) Field { return Field{fieldJob, t} }

// Incarnation names the process that writes the line.
func Incarnation(i ident.Incarnation) Field { return Field{fieldIncarnation, string(i)} }

// Peer names another process that the line concerns.
func Peer(i ident.Incarnation) Field { return Field{fieldPeer, string(i)} }

// Domain names a failure domain.
func Domain(d ident.FailureDomain) Field { return Field{fieldDomain, string(d)} }

// Outcome gives the outcome of a job with its reason and detail.
func Outcome(o job.Outcome) Field { return Field{fieldOutcome, o} }

// Reason gives the reason of a refusal that isn't a job's outcome.
func Reason(r job.Reason) Field { return Field{fieldReason, string(r)} }

// Epoch gives a placement epoch.
func Epoch(e ident.Epoch) Field { return Field{fieldEpoch, uint64(e)} }

// DocVersion gives a version of the operators' document.
func DocVersion(v ident.DocVersion) Field { return Field{fieldVersion, uint64(v)} }

// Address gives the address of a listener or peer.
func Address(a netip.AddrPort) Field { return Field{fieldAddress, a.String()} }

// Elapsed gives how long something took, in milliseconds.
func Elapsed(d time.Duration) Field { return Field{fieldElapsed, d} }

// Count gives how many there were of what the message names.
func Count(n int) Field { return Field{fieldCount, n} }

// Err gives the error that caused the line. A nil error adds an empty field.
func Err(err error) Field {
	if err == nil {
		return Field{fieldError, ""}
	}
	return Field{fieldError, err.Error()}
}
