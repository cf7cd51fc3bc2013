package model

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
)

var logEvents = flag.Bool("events", false, "print the events of replayed traces")

// saveTrace stores a failed run for replay and returns the path of the file.
// The commit that fixes the fault removes the field "breaks" from the file.
func saveTrace(t *testing.T, trace Trace, guarantee Guarantee) string {
	t.Helper()
	return store(t, fmt.Sprintf("failed-%s-%d.jsonl", guarantee, trace.Seed), Stored{Trace: trace, Violates: guarantee})
}

// store writes a trace into testdata and returns its path.
func store(t *testing.T, name string, s Stored) string {
	t.Helper()
	path := filepath.Join("testdata", name)
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if err := WriteStored(f, s); err != nil {
		t.Fatal(err)
	}
	return path
}

// load reads a trace.
func load(t *testing.T, path string) Stored {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	stored, err := ReadStored(f)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// TestReplay replays every stored trace and compares the result with its
// expected outcome.
func TestReplay(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { replay(t, load(t, path)) })
	}
}

func replay(t *testing.T, stored Stored) {
	var violated Guarantee
	violation := stored.Replay(eventLog(t))
	if violation != nil {
		violated = violation.Guarantee
	}
	if violated != stored.Violates {
		t.Fatalf("%s: violated %q, want %q: %v", stored.About, violated, stored.Violates, violation)
	}
}

// eventLog returns the writer for the events of a replay, or nil without
// -events.
func eventLog(t *testing.T) io.Writer {
	if !*logEvents {
		return nil
	}
	return t.Output()
}
