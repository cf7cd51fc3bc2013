// Package audit defines the rows of the audit trail and their queries. Every
// accepted and refused change of the operators' document leaves a row: who,
// what, when, the expected version and the outcome. An accepted change and its
// row are one transaction.
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

// Outcome says how a change ended.
type Outcome string

// The outcomes.
const (
	Accepted     Outcome = "accepted"
	Conflict     Outcome = "conflict"     // somebody else's change came first
	Invalid      Outcome = "invalid"      // the text or the document has faults
	Forbidden    Outcome = "forbidden"    // the team does not own the section
	Unauthorized Outcome = "unauthorized" // missing or wrong token
	Unannounced  Outcome = "unannounced"  // too few agents acknowledged the announcement
	Unavailable  Outcome = "unavailable"  // the platform gave no answer; nothing was changed
	Unknown      Outcome = "unknown"      // the answer was lost; the change id tells
)

// Action says what was asked for.
type Action string

// The actions.
const (
	Apply   Action = "apply"
	Delete  Action = "delete"
	Force   Action = "force-placement"
	Present Action = "present-token"
)

// Row is one row of the audit trail.
type Row struct {
	// ID is the id of the change.
	ID string `json:"id"`
	// UnixMS is the wall clock of the entry that decided, in milliseconds.
	UnixMS int64 `json:"unix_ms"`
	// Entry is the incarnation that decided.
	Entry ident.Incarnation `json:"entry,omitempty"`
	// By is the team and token id; for refused tokens it is the remote host.
	By      string  `json:"by"`
	Action  Action  `json:"action"`
	Section string  `json:"section,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Expect is the version that the change was made from.
	Expect ident.DocVersion `json:"expect,omitempty"`
	// Version is the document version of an accepted change, or that of the
	// winner of a conflict.
	Version ident.DocVersion `json:"version,omitempty"`
	// Reason is what the operator gave as reason, Detail why a change was
	// refused.
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Forced is set if the change did without the announcement.
	Forced bool `json:"forced,omitempty"`
	// Count is the number of like refusals that the row stands for.
	Count int `json:"count,omitempty"`
}

// Key returns the key of the row. Keys sort by time; rows of one millisecond
// sort by id.
func (r *Row) Key() string { return fmt.Sprintf("%s%015d-%s", Prefix, r.UnixMS, r.ID) }

// KeyAt returns a key that sorts before all rows at or after the time.
func KeyAt(t time.Time) string { return fmt.Sprintf("%s%015d", Prefix, max(t.UnixMilli(), 0)) }

// Encode returns the stored form.
func (r *Row) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads the stored form.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("audit row: %w", err)
	}
	return r, nil
}

// Query selects rows. Zero fields select everything.
type Query struct {
	// Since is the earliest time.
	Since time.Time
	// By selects a team, or one of its tokens as team/id.
	By string
	// Section selects a section, or with a trailing slash a kind.
	Section string
	Outcome Outcome
	// Limit is the number of newest rows that are returned.
	Limit int
}

// Bounds of the Limit of a query.
const (
	// DefaultLimit holds for queries without a limit.
	DefaultLimit = 100
	// MaxLimit is the largest limit.
	MaxLimit = 1000
)

// Bounded returns the query with a limit within the bounds.
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

func matchesSection(want, have string) bool {
	if strings.HasSuffix(want, "/") {
		return strings.HasPrefix(have, want)
	}
	return want == have
}
