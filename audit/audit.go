// Package audit defines the rows of the audit trail and their queries. Every
// accepted or refused change of the operators' document is recorded in a row
// that says who changed what and when, the expected version and the outcome. An
// accepted change and its row are committed in one transaction. Package control
// stores the rows.
package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"foxtaildock.example/dock/ident"
)

// Prefix is the common prefix of the keys of audit rows.
const Prefix = "audit/"

// Outcome is the outcome of a change.
type Outcome string

// The outcomes.
const (
	Accepted     Outcome = "accepted"
	Conflict     Outcome = "conflict"     // the section was changed after the expected version
	Invalid      Outcome = "invalid"      // the text or the resulting document has errors
	Forbidden    Outcome = "forbidden"    // the team does not own the section
	Unauthorized Outcome = "unauthorized" // missing or wrong token
	Unannounced  Outcome = "unannounced"  // too few agents acknowledged the announcement
	Unavailable  Outcome = "unavailable"  // the platform was unavailable; nothing was changed
	Unknown      Outcome = "unknown"      // the platform's answer was lost; look up the change ID to find out
)

// Action is what the request asked for.
type Action string

// The actions.
const (
	Apply          Action = "apply"           // create or change a section
	Delete         Action = "delete"          // delete a section
	ForcePlacement Action = "force-placement" // force a new placement
	PresentToken   Action = "present-token"   // any request refused because of its token
)

// Row is one row of the audit trail.
type Row struct {
	// ID is the ID of the change.
	ID string `json:"id"`
	// UnixMS is the time of the decision by the wall clock of the deciding entry,
	// in Unix milliseconds.
	UnixMS int64 `json:"unix_ms"`
	// Entry is the incarnation of the deciding entry.
	Entry ident.Incarnation `json:"entry,omitempty"`
	// By is the identity as team/id or, for refused tokens, the remote host.
	By      string  `json:"by"`
	Action  Action  `json:"action"`
	Section string  `json:"section,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Expect is the version that the change is based on.
	Expect ident.DocVersion `json:"expect,omitempty"`
	// Version is the document version of an accepted change or, for a conflict,
	// of the change that won.
	Version ident.DocVersion `json:"version,omitempty"`
	// Reason is the reason that the operator gave. Detail says why a change was
	// refused.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Forced is true if the change was made without announcing it to the agents.
	Forced bool `json:"forced,omitempty"`
	// Count is the number of equal refusals that the row represents.
	Count int `json:"count,omitempty"`
}

// Key returns the key of the row. Keys sort by time, and within one millisecond
// by ID.
func (r *Row) Key() string { return fmt.Sprintf("%s%015d-%s", Prefix, r.UnixMS, r.ID) }

// KeyAt returns a key that sorts before the keys of all rows at or after the
// time, and after those of all earlier rows.
func KeyAt(t time.Time) string { return fmt.Sprintf("%s%015d", Prefix, max(t.UnixMilli(), 0)) }

// Encode returns the stored form of the row, which is JSON.
func (r *Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode returns the row of a stored form. It returns an error if value is not
// the JSON of a row.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("audit row: %w", err)
	}
	return r, nil
}

// Query selects rows. Zero fields select everything.
type Query struct {
	// Since is the time of the earliest rows that are selected.
	Since time.Time
	// By selects a team, or one of its tokens as team/id.
	By string
	// Section selects a section, or with a trailing slash all sections of a kind.
	Section string
	Outcome Outcome
	// Limit is the maximum number of rows; the newest ones are returned.
	Limit int
}

// Limits on Query.Limit.
const (
	// DefaultLimit is the limit of queries that set none.
	DefaultLimit = 100
	// MaxLimit is the maximum limit.
	MaxLimit = 1000
)

// Bounded returns the query with its limit set to DefaultLimit if it has none,
// and reduced to MaxLimit if it is larger.
func (q Query) Bounded() Query {
	if q.Limit <= 0 {
		q.Limit = DefaultLimit
	}
	q.Limit = min(q.Limit, MaxLimit)
	return q
}

// Matches reports whether the query selects the row.
func (q Query) Matches(r *Row) bool {
	if !q.Since.IsZero() && r.UnixMS < q.Since.UnixMilli() {
		return false
	}
	if q.By != "" && r.By != q.By && !strings.HasPrefix(r.By, q.By+"/") {
		return false
	}
	if q.Section != "" && !matchesSection(q.Section, r.Section) {
		return false
	}
	return q.Outcome == "" || q.Outcome == r.Outcome
}

// matchesSection reports whether a section is the wanted one or, if want ends
// in a slash, of the wanted kind.
func matchesSection(want, have string) bool {
	if strings.HasSuffix(want, "/") {
		return strings.HasPrefix(have, want)
	}
	return want == have
}
