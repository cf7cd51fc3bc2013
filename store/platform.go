// Package store is the interface to the two services that the platform gives
// to every process: a transactional table service and an object store. Nothing
// on the path of a task uses it.
package store

import (
	"context"
	"errors"
	"fmt"
)

// Outcomes of a call that are not a success. Errors wrap one of them.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the answer was lost: the call may or may not have
	// taken effect. Read back to find out.
	ErrUnknown = errors.New("platform answer lost")
)

// ConflictError says that a commit had no effect since a row was not at the
// expected version.
type ConflictError struct {
	Key  string
	Want uint64
	Have uint64
}

// Error names the row and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d, not %d", e.Key, e.Have, e.Want)
}

// Row is one row of the table service. Version 0 means that the row does not
// exist; the first write makes it 1.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// AnyVersion as Write.Expect makes a write unconditional.
const AnyVersion = ^uint64(0)

// Write is one part of a transaction.
type Write struct {
	Key string `json:"key"`
	// Expect is the version that the row must have for the transaction to
	// commit, or AnyVersion.
	Expect uint64 `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
	// CheckOnly only checks Expect and writes nothing.
	CheckOnly bool `json:"check_only,omitempty"`
}

// Table is the transactional table service. Reads and commits are linearizable.
type Table interface {
	// Get returns one row for each key, from one consistent snapshot. Rows
	// that do not exist have version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key has the prefix and sorts after
	// the given key, in the order of keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns a *ConflictError,
	// ErrUnavailable or ErrUnknown if it does not report success.
	Commit(ctx context.Context, writes ...Write) error
}

// Objects is the object store.
type Objects interface {
	// Put stores the object under the name, replacing an earlier one.
	Put(ctx context.Context, name string, value []byte) error
	// Get returns the object; found is false if there is none.
	Get(ctx context.Context, name string) (value []byte, found bool, err error)
	// List returns up to limit names with the prefix that sort after the
	// given name, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}
