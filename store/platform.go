// Package store is the client interface to the two services that the platform
// provides to every process: a transactional table service and an object store.
// No process uses them while it handles a task. Package control keeps its data
// there; the metadata store of the users' platform is another interface, which
// package platform implements.
package store

import (
	"context"
	"errors"
	"fmt"
)

// The outcomes of a failed call. Every error of a call, except *ConflictError,
// wraps one of them.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the answer was lost, so the call may or may not have
	// taken effect. The caller has to read the data to find out.
	ErrUnknown = errors.New("platform answer lost")
)

// ConflictError means that a commit had no effect since a row was not at the
// expected version. Want is the expected version, Have the present one.
type ConflictError struct {
	Key  string
	Want uint64
	Have uint64
}

// Error returns a text with the key of the row and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d, not %d", e.Key, e.Have, e.Want)
}

// Row is one row of the table service. Version 0 means that the row does not
// exist; the first write sets the version to 1.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// AnyVersion is the value of Write.Expect that makes a write unconditional.
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
	// CheckOnly makes the transaction depend on Expect without writing the row.
	CheckOnly bool `json:"check_only,omitempty"`
}

// Table is the transactional table service. Reads and commits are linearizable.
type Table interface {
	// Get returns one row for each key, from one consistent snapshot. Rows
	// that do not exist have version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key has the prefix and sorts after
	// the given key, ordered by key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. If it does not succeed, the error is a
	// *ConflictError or wraps ErrUnavailable or ErrUnknown.
	Commit(ctx context.Context, writes ...Write) error
}

// Objects is the object store.
type Objects interface {
	// Put stores the object under the name and replaces any earlier one.
	Put(ctx context.Context, name string, value []byte) error
	// Get returns the object; found is false if there is none.
	Get(ctx context.Context, name string) (value []byte, found bool, err error)
	// List returns up to limit names that have the prefix and sort after the
	// given name, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}
