package model

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// saveTrace keeps a failed run for replay and returns the file's name. A run
// that broke a promise without a mutation is a fault to be mended: its file is
// kept, and its stated outcome becomes "breaks nothing" with the fix.
func saveTrace(t *testing.T, trace Trace, rule Rule) string {
	t.Helper()
	name := filepath.Join("testdata", fmt.Sprintf("failed-%s-%d.jsonl", rule, trace.Seed))
	f, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if err := WriteStored(f, Stored{Trace: trace, Breaks: rule}); err != nil {
		t.Fatal(err)
	}
	return name
}

// TestReplay replays every stored trace against its stated outcome.
func TestReplay(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) { replay(t, name) })
	}
}

func replay(t *testing.T, name string) {
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	stored, err := ReadStored(f)
	if err != nil {
		t.Fatal(err)
	}
	var broke Rule
	r := RunLogged(stored.Trace, eventLog(t))
	if r.Broken != nil {
		broke = r.Broken.Rule
	}
	if broke != stored.Breaks {
		t.Fatalf("%s: broke %q, stated %q: %v", stored.About, broke, stored.Breaks, r.Broken)
	}
}

var logEvents = flag.Bool("events", false, "print the events of replayed traces")

// eventLog returns where the events of a replay go.
func eventLog(t *testing.T) io.Writer {
	if !*logEvents {
		return nil
	}
	return t.Output()
}
