package telemetry

import (
	"time"
)

// Keys of the fields of log lines about runs, sessions and the state of a process on
// the users' platform.
const (
	fieldRun          = "run"
	fieldJobID        = "job"
	fieldRoute        = "route"
	fieldBackend      = "backend_server"
	fieldAge          = "age_ms"
	fieldExpiry       = "expiry_ms"
	fieldRemaining    = "remaining_ms"
	fieldFencingToken = "fencing_token"
	fieldCall         = "call"
	fieldRowsVersion  = "rows_version"
	fieldManifest     = "manifest_version"
	fieldWithdrawn    = "withdrawn"
	fieldFirstStart   = "first_start_ms"
	fieldRuns         = "runs"
	fieldCrashes      = "crashes"
	fieldRetryAfter   = "retry_after_ms"
	fieldDependency   = "dependency"
	fieldExpectedWait = "expected_wait_ms"
	fieldAllowedWait  = "allowed_wait_ms"
	fieldHeadWait     = "head_wait_ms"
	fieldCapacity     = "capacity_millicores"
	fieldAgents       = "agents"
	fieldRate         = "rate_millicores"
	fieldRateAge      = "rate_age_ms"
	fieldReserved     = "reserved_millicores"
	fieldProspect     = "prospect"
	fieldWanted       = "wanted"
	fieldUsable       = "usable"
	fieldOpened       = "opened"
	fieldReleased     = "released"
	fieldOpenConns    = "open_connections"
	fieldBusyConns    = "busy_connections"
	fieldSpeed        = "speed"
)

// Run is the run that the line is about: job, step, index and number.
func Run(name string) Field { return Field{fieldRun, name} }

// JobID is the id of the job that the line is about, as its caller chose it. Unlike
// Job it has no team.
func JobID(id string) Field { return Field{fieldJobID, id} }

// Route is the route of a job.
func Route(name string) Field { return Field{fieldRoute, name} }

// Crashes is the number of backend servers that went down under a task.
func Crashes(n int) Field { return Field{fieldCrashes, n} }

// Backend is the incarnation of a backend server.
func Backend(incarnation string) Field { return Field{fieldBackend, incarnation} }

// Speed is how much longer tasks take on a backend server than expected, 0 if unknown.
func Speed(factor float64) Field { return Field{fieldSpeed, factor} }

// Age is the age of the information that a decision is based on.
func Age(d time.Duration) Field { return Field{fieldAge, d} }

// Remaining is the least time until a backend server ends.
func Remaining(d time.Duration) Field { return Field{fieldRemaining, d} }

// Expiry is the end of a lease on the backend server's clock.
func Expiry(d time.Duration) Field { return Field{fieldExpiry, d} }

// FencingToken is a fencing token.
func FencingToken(token int64) Field { return Field{fieldFencingToken, token} }

// Call is the number of a call.
func Call(number uint64) Field { return Field{fieldCall, number} }

// RowsVersion is the store's version of the operators' rows.
func RowsVersion(v uint64) Field { return Field{fieldRowsVersion, v} }

// ManifestVersion is the version of the manifest.
func ManifestVersion(v int64) Field { return Field{fieldManifest, v} }

// Withdrawn is true if the failure domain is out of service.
func Withdrawn(yes bool) Field { return Field{fieldWithdrawn, yes} }

// OutcomeText is the outcome of a run or a job as one word.
func OutcomeText(outcome string) Field { return Field{fieldOutcome, outcome} }

// ReasonText is the reason of a decision.
func ReasonText(reason string) Field { return Field{fieldReason, reason} }

// FirstStart is the time from a job's arrival to its first offer.
func FirstStart(d time.Duration) Field { return Field{fieldFirstStart, d} }

// Runs is the number of runs that a job took.
func Runs(n int) Field { return Field{fieldRuns, n} }

// RetryAfter is the time after which a rejected caller should retry.
func RetryAfter(d time.Duration) Field { return Field{fieldRetryAfter, d} }

// Dependency is the name of a dependency that became unavailable or available again.
func Dependency(name string) Field { return Field{fieldDependency, name} }

// ExpectedWait is how long a job was expected to wait.
func ExpectedWait(d time.Duration) Field { return Field{fieldExpectedWait, d} }

// AllowedWait is how long a job could have waited and still have met its deadline.
func AllowedWait(d time.Duration) Field { return Field{fieldAllowedWait, d} }

// HeadWait is how long the first job in the queue of the same priority had waited.
func HeadWait(d time.Duration) Field { return Field{fieldHeadWait, d} }

// Capacity is the capacity of the backend servers in use, in thousandths of a core.
func Capacity(milli int64) Field { return Field{fieldCapacity, milli} }

// Agents is the number of agents that an entry knows.
func Agents(n int) Field { return Field{fieldAgents, n} }

// Rate is the CPU rate that work of a priority is expected to get, in thousandths of a core.
func Rate(milli int64) Field { return Field{fieldRate, milli} }

// RateAge is the age of the figures behind a rate.
func RateAge(d time.Duration) Field { return Field{fieldRateAge, d} }

// Reserved is the CPU capacity that is left to more urgent work, in thousandths of a core.
func Reserved(milli int64) Field { return Field{fieldReserved, milli} }

// Prospect is what a job may expect: in time, late but useful, or hopeless.
func Prospect(name string) Field { return Field{fieldProspect, name} }

// Wanted is the number of agents that an entry wants to use.
func Wanted(n int) Field { return Field{fieldWanted, n} }

// Usable is the number of agents that an entry can use.
func Usable(n int) Field { return Field{fieldUsable, n} }

// Opened is the number of links that an entry has opened.
func Opened(n int) Field { return Field{fieldOpened, n} }

// Released is the number of links that an entry has closed since it doesn't need them.
func Released(n int) Field { return Field{fieldReleased, n} }

// OpenConnections is the number of open connections of callers.
func OpenConnections(n int) Field { return Field{fieldOpenConns, n} }

// BusyConnections is the number of callers' connections with a request in progress.
func BusyConnections(n int) Field { return Field{fieldBusyConns, n} }
