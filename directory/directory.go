// Package directory is the registry of the entry and agent processes on the path where
// jobs are answered at their end. Each process writes one row about itself to a table of
// the store when it starts, and entries watch the table. For jobs whose record an agent
// keeps, package membership tracks the agents instead.
package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"foxtaildock.example/dock/ident"
)

// Role is the kind of a process. Its values are stored in the rows.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member describes one process. Its JSON form is the value of the process's row.
type Member struct {
	Incarnation ident.Incarnation   `json:"incarnation"`
	Role        Role                `json:"role"`
	Address     string              `json:"address"`
	Domain      ident.FailureDomain `json:"failure_domain"`
}

// Key returns the key of the member's row. A later process of the same role at the same
// address overwrites the row of an earlier one.
func (m *Member) Key() string { return string(m.Role) + "/" + m.Address }

// Row is one row of the store's table.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Page is the result of a read: all rows of the table, or the rows that changed since an
// earlier read. Version is the store's version as of which it was read.
type Page struct {
	Rows    []Row
	Version uint64
}

// Table is the table of members in the store. Its errors say why a call got no usable
// answer.
type Table interface {
	// List returns all rows and the version as of which they were read.
	List(ctx context.Context) (Page, error)
	// Changes waits for rows that changed after the version. An error means that
	// all rows have to be read again with List.
	Changes(ctx context.Context, after uint64) (Page, error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, key string, value []byte) error
}

// Encode returns the value of a member's row, as JSON.
func Encode(m *Member) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encoding member %s: %w", m.Address, err)
	}
	return text, nil
}

// maxNameBytes is the longest name in a member's row.
const maxNameBytes = 200

// Decode parses the value of a member's row. It returns an error if that isn't JSON, if
// the role is unknown, if a name is too long or the incarnation is missing, or if the address
// isn't an IP address with a port.
func Decode(value []byte) (Member, error) {
	var m Member
	if json.Unmarshal(value, &m) != nil { // the error may quote all of the value
		return Member{}, fmt.Errorf("found %d bytes that aren't a member, want a JSON object", len(value))
	}
	if m.Role != RoleEntry && m.Role != RoleAgent {
		return Member{}, fmt.Errorf("role %.40q, want %s or %s", m.Role, RoleEntry, RoleAgent)
	}
	if m.Incarnation == "" || len(m.Incarnation) > maxNameBytes || len(m.Domain) > maxNameBytes {
		return Member{}, fmt.Errorf("incarnation %.40q and failure domain %.40q, want names of up to %d bytes", m.Incarnation, m.Domain, maxNameBytes)
	}
	if address, err := netip.ParseAddrPort(m.Address); err != nil || address.Port() == 0 {
		return Member{}, fmt.Errorf("address %.40q, want an IP address with a port", m.Address)
	}
	return m, nil
}
