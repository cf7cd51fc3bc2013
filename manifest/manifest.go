// Package manifest checks a manifest of operators before it is sent to the platform's
// store, and compares it with the version in force. It works on typed values and has no
// I/O. Package platform decodes the values and has the names of the fields on the wire.
package manifest

import (
	"fmt"
	"math"
	"time"

	"foxtaildock.example/dock/operator"
)

// Ranges of the numbers in a manifest.
const (
	// DefaultTimeout applies to a route without a timeout.
	DefaultTimeout = time.Minute
	// MaxTimeout bounds timeouts and target latencies. Entries take no caller to wait for
	// longer.
	MaxTimeout = time.Hour
	// MaxStretch keeps a latency objective within the range of a duration: estimates of
	// run times go up to a day, and a duration ends at 292 years.
	MaxStretch = 1000
	// MaxAttempts is far above what a task needs; a larger number is a mistake.
	MaxAttempts = 1000
	// MaxPriority is the largest priority that the messages between entries and agents
	// carry.
	MaxPriority = math.MaxInt32
	// MaxJobSpec is the size of the largest specification of a job, in bytes.
	MaxJobSpec = 4000
)

// Manifest is a decoded manifest.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   operator.Limits
	// Decoding are the findings of the decoder: values of a wrong type, numbers that
	// overflow and unknown fields. A field with a wrong value is zero.
	Decoding []Finding
}

// Route is a route with the fields that entries read, and Kind, which they ignore.
type Route struct {
	operator.Route
	Kind string
}

// Service is a service that the manifest lists. Entries don't read its settings. They
// are the texts of its other fields by name.
type Service struct {
	Name     string
	Settings map[string]string
}

// Field identifies a field of a manifest. Fields that this system doesn't know have
// their name on the wire.
type Field string

// The fields that this system knows.
const (
	None           Field = ""
	Version        Field = "version"
	Name           Field = "name"
	Host           Field = "host"
	PathPrefix     Field = "path prefix"
	ServiceName    Field = "service"
	Kind           Field = "kind"
	Priority       Field = "priority"
	Attempts       Field = "attempts"
	Timeout        Field = "timeout"
	Stretch        Field = "stretch"
	TargetLatency  Field = "target latency"
	MaxHeaderBytes Field = "maximum header"
	MaxBodyBytes   Field = "maximum body"
	HeaderTimeout  Field = "header timeout"
	IdleTimeout    Field = "idle timeout"
)

// Section is a part of a manifest.
type Section string

// The sections. Whole is the manifest itself.
const (
	Whole          Section = "manifest"
	RouteSection   Section = "route"
	ServiceSection Section = "service"
	LimitsSection  Section = "limits"
)

// Place is a part of a manifest: the manifest itself, its limits, a route or a service.
type Place struct {
	Section Section
	// Number counts routes and services from 1. It is 0 for the other sections, and
	// where the name identifies the entry.
	Number int
	Name   string
}

// String returns the place as shown to operators.
func (p Place) String() string {
	switch {
	case p.Section == Whole, p.Section == LimitsSection:
		return string(p.Section)
	case p.Number == 0:
		return fmt.Sprintf("%s %q", p.Section, p.Name)
	case p.Name == "":
		return fmt.Sprintf("%s %d", p.Section, p.Number)
	}
	return fmt.Sprintf("%s %d %q", p.Section, p.Number, p.Name)
}

// Severity tells errors from warnings.
type Severity string

// The severities. A manifest with warnings alone can be sent.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one thing that is wrong or doubtful.
type Finding struct {
	Severity Severity
	Place    Place
	// Field is None if the finding concerns the whole entry.
	Field Field
	// Found and Want are texts for operators.
	Found, Want string
}
