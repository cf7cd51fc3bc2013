// Package directory says where the processes of the system are. Each process
// writes one row about itself at its start; entries follow the rows.
package directory

import (
	"context"
	"encoding/json"
	"fmt"

	"foxtaildock.example/dock/ident"
)

// Role is what a process does.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Member is one process.
type Member struct {
	Incarnation ident.Incarnation   `json:"incarnation"`
	Role        Role                `json:"role"`
	Address     string              `json:"address"`
	Domain      ident.FailureDomain `json:"failure_domain"`
}

// Key is the row's key. A later process at an address replaces the earlier one.
func (m *Member) Key() string { return string(m.Role) + "/" + m.Address }

// Row is one row of the store's table.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Page is a read of the table, or the changes since one.
type Page struct {
	Rows    []Row
	Version uint64
}

// Table is the table of members in the store. Errors say why a call got no
// answer that counts.
type Table interface {
	// List returns all rows and the version as of which they were read.
	List(ctx context.Context) (Page, error)
	// Changes waits for rows that changed after the version. An error means
	// that the rows have to be read again.
	Changes(ctx context.Context, after uint64) (Page, error)
	// Put writes a row, whatever was there.
	Put(ctx context.Context, key string, value []byte) error
}

// Encode returns the value of a member's row.
func Encode(m *Member) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encoding member %s: %w", m.Address, err)
	}
	return text, nil
}

// Decode reads the value of a member's row.
func Decode(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, fmt.Errorf("decoding a member of %d bytes: %w", len(value), err)
	}
	if m.Incarnation == "" || m.Address == "" || m.Role != Entry && m.Role != Agent {
		return Member{}, fmt.Errorf("decoding a member: role %q, address %q, incarnation %q", m.Role, m.Address, m.Incarnation)
	}
	return m, nil
}
