// Package memory implements the table service and the object store of package
// store in the memory of one process. Tests and the simulated platform use it.
package memory

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"foxtaildock.example/dock/store"
)

// Store holds rows and objects. The zero value is not usable; call New.
type Store struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
}

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:    make(map[string]store.Row),
		objects: make(map[string][]byte),
	}
}

// Table returns the table service of the store.
func (s *Store) Table() store.Table { return table{s} }

// Objects returns the object store service of the store.
func (s *Store) Objects() store.Objects { return objects{s} }

type table struct{ s *Store }

func (t table) Get(_ context.Context, keys ...string) ([]store.Row, error) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	out := make([]store.Row, 0, len(keys))
	for _, key := range keys {
		out = append(out, t.s.row(key))
	}
	return out, nil
}

func (t table) Scan(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	keys := page(t.s.rows, prefix, after, limit)
	out := make([]store.Row, 0, len(keys))
	for _, key := range keys {
		out = append(out, t.s.row(key))
	}
	return out, nil
}

func (t table) Commit(_ context.Context, writes ...store.Write) error {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	for _, w := range writes {
		have := t.s.rows[w.Key].Version
		if w.Expect != store.AnyVersion && w.Expect != have {
			return &store.ConflictError{Key: w.Key, Want: w.Expect, Have: have}
		}
	}
	for _, w := range writes {
		t.s.apply(w)
	}
	return nil
}

// row returns a copy of the row. Its version is 0 if the row does not exist.
func (s *Store) row(key string) store.Row {
	row := s.rows[key]
	return store.Row{Key: key, Version: row.Version, Value: bytes.Clone(row.Value)}
}

func (s *Store) apply(w store.Write) {
	switch {
	case w.CheckOnly:
	case w.Delete:
		delete(s.rows, w.Key)
	default:
		version := s.rows[w.Key].Version + 1
		s.rows[w.Key] = store.Row{Key: w.Key, Version: version, Value: bytes.Clone(w.Value)}
	}
}

type objects struct{ s *Store }

func (o objects) Put(_ context.Context, name string, value []byte) error {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.objects[name] = bytes.Clone(value)
	return nil
}

func (o objects) Get(_ context.Context, name string) ([]byte, bool, error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	value, found := o.s.objects[name]
	return bytes.Clone(value), found, nil
}

func (o objects) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return page(o.s.objects, prefix, after, limit), nil
}

// page returns up to limit keys with the prefix after the given key, in order.
func page[V any](m map[string]V, prefix, after string, limit int) []string {
	var keys []string
	for key := range m {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), max(limit, 0))]
}
