package telemetry

import (
	"time"
)

// Names of the fields of lines about runs, sessions and what a process believes.
const (
	fieldRun      = "run"
	fieldRequest  = "job"
	fieldRoute    = "route"
	fieldBackend  = "backend_server"
	fieldAge      = "age_ms"
	fieldExpiry   = "expiry_ms"
	fieldFence    = "fencing_token"
	fieldCall     = "call"
	fieldRows     = "rows_version"
	fieldManifest = "manifest_version"
	fieldTakenOut = "withdrawn"
	fieldFirst    = "first_start_ms"
	fieldRuns     = "runs"
	fieldRetry    = "retry_after_ms"
	fieldWhat     = "dependency"
	fieldExpected = "expected_wait_ms"
	fieldAllowed  = "allowed_wait_ms"
	fieldHead     = "head_wait_ms"
	fieldCapacity = "capacity_millicores"
	fieldAgents   = "agents"
)

// Run names the run of a task that the line concerns: job, step, index, number.
func Run(name string) Field { return Field{fieldRun, name} }

// Request names the job that the line concerns by the id that its caller chose.
func Request(id string) Field { return Field{fieldRequest, id} }

// Route names the route of a job.
func Route(name string) Field { return Field{fieldRoute, name} }

// Backend names the incarnation of a backend server.
func Backend(incarnation string) Field { return Field{fieldBackend, incarnation} }

// Age gives the age of what a decision rests on.
func Age(d time.Duration) Field { return Field{fieldAge, d} }

// Expiry gives the end of a lease on the backend server's clock.
func Expiry(d time.Duration) Field { return Field{fieldExpiry, d} }

// Fence gives a fencing token.
func Fence(token int64) Field { return Field{fieldFence, token} }

// Call gives the number of a call.
func Call(number uint64) Field { return Field{fieldCall, number} }

// RowsVersion gives the store's version of the operators' rows.
func RowsVersion(v uint64) Field { return Field{fieldRows, v} }

// ManifestVersion gives the version of the manifest.
func ManifestVersion(v int64) Field { return Field{fieldManifest, v} }

// Withdrawn says whether the failure domain is out of service.
func Withdrawn(yes bool) Field { return Field{fieldTakenOut, yes} }

// Result gives the outcome of a run or a job in a word.
func Result(outcome string) Field { return Field{fieldOutcome, outcome} }

// Why gives the reason of a decision.
func Why(reason string) Field { return Field{fieldReason, reason} }

// FirstStart gives the time from a job's arrival to its first offer.
func FirstStart(d time.Duration) Field { return Field{fieldFirst, d} }

// Runs gives how many runs a job took.
func Runs(n int) Field { return Field{fieldRuns, n} }

// RetryAfter gives when a rejected caller should come back.
func RetryAfter(d time.Duration) Field { return Field{fieldRetry, d} }

// Dependency names what was lost or regained.
func Dependency(name string) Field { return Field{fieldWhat, name} }

// ExpectedWait gives how long a job was expected to wait.
func ExpectedWait(d time.Duration) Field { return Field{fieldExpected, d} }

// AllowedWait gives how long a job could have waited and still have ended in time.
func AllowedWait(d time.Duration) Field { return Field{fieldAllowed, d} }

// HeadWait gives how long the first job of the same priority had waited.
func HeadWait(d time.Duration) Field { return Field{fieldHead, d} }

// Capacity gives the room of the backend servers in use, in thousandths of a core.
func Capacity(milli int64) Field { return Field{fieldCapacity, milli} }

// Agents gives how many agents an entry knows.
func Agents(n int) Field { return Field{fieldAgents, n} }
