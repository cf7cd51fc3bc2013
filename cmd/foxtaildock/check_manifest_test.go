package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const exampleManifest = "../../docs/examples/manifest.json"

// TestCheckManifest guards the exit codes, by which scripts decide whether to send the
// manifest, and that a line names the route, the field in the file, what was found and
// what is wanted. Each case replaces some text of the example.
func TestCheckManifest(t *testing.T) {
	example, err := os.ReadFile(exampleManifest)
	if err != nil {
		t.Fatal(err)
	}
	invalidInForce := filepath.Join(t.TempDir(), "in-force.json")
	if err := os.WriteFile(invalidInForce, []byte(`{"version": "7"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	renamed := strings.NewReplacer(`"version": 7`, `"version": 8`, `"name": "receipts"`, `"name": "tickets"`, `"timeoutMs": 5000`, `"timeoutMs": 6000`,
		`"name": "serials"`, `"name": "serials", "size": {"a": 1}`).Replace(string(example))
	for _, c := range []struct {
		name, old, new string
		against        string
		code           exitCode
		out            string
	}{
		{"sound", "", "", "", exitDone, ": fine\n"},
		{"missing file", "", "", "nowhere.json", exitError, ""},
		{"no JSON", `"version": 7,`, `"version" 7`, "", exitUsage, "is no valid manifest: line 2: invalid character"},
		{"null", string(example), "null", "", exitUsage, "found null, want a JSON object"},
		{"a list", string(example), "[]", "", exitUsage, "found a JSON array, want an object"},
		{"routes of a wrong type", `"routes"`, `"routes": 3, "x"`, "", exitUsage, "routes: found a JSON number, want a list"},
		{"route of a wrong type", `"routes": [`, `"routes": [3,`, "", exitUsage, "error: route 1: found 3, want a JSON object\n"},
		{"fault in a field", `"attempts": 3, "timeoutMs": 5000`, `"attempts": 0`, "", exitUsage, "error: route 2 \"reports\": attempts: found 0, want 1 to 1000\n"},
		{"name on the wire", `"timeoutMs": 1500`, `"timeoutMs": 50`, "", exitUsage, "timeoutMs: found 50ms, want at least the target latency of 60ms\n"},
		{"number that overflows a duration", "1500", "1e13", "", exitUsage, "timeoutMs: found 1e+13, which overflows, want 0 to 3600000\n"},
		{"number that overflows", "1500", "1e400", "", exitUsage, "timeoutMs: found number 1e400, want a number\n"},
		{"two wrong types in a route", `"attempts": 3, "timeoutMs": 1500`, `"attempts": 1.5, "timeoutMs": "1"`, "", exitUsage, "timeoutMs: found string, want a number\n"},
		{"wrong version", `"version": 7`, `"version": "7"`, "", exitUsage, "error: manifest: version: found string, want a whole number"},
		{"unknown field", `"priority": 1`, `"priorty": 1`, "", exitDone, "warning: route 2 \"reports\": priorty: found an unknown field, want one of name, "},
		{"control characters", `"priority": 1`, `"\u001b\n": 1`, "", exitDone, "reports\": \ufffd\ufffd: found"},
		{"field given twice", `"priority": 1`, `"priority": 1, "Priority": 2`, "", exitUsage, "Priority: found the field twice, want it once\n"},
		{"warnings alone", `{"name": "serials"}`, `{"name": "serials"}, {"name": "x"}`, "", exitDone, "errors 0, warnings 1, differences 0\n"},
		{"same version", "", "", exampleManifest, exitUsage, "version: found 7, want more than 7, the version in force\n"},
		{"higher version without differences", `"version": 7`, `"version": 8`, exampleManifest, exitDone, ": fine\n"},
		{"differences alone", string(example), renamed, exampleManifest, exitDone, `removed: route "receipts"
added: route "tickets"
changed: route "reports": timeoutMs: from 5s to 6s
changed: service "serials": size: from nothing to {"a":1}
`},
		{"version in force isn't valid", "", "", "check_manifest.go", exitUsage, "error: check_manifest.go is no valid manifest"},
		{"field of the version in force isn't valid", `"version": 7`, `"version": 8`, invalidInForce, exitUsage, "is no valid manifest: manifest: version: found string"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "manifest.json")
			text := strings.Replace(string(example), c.old, c.new, 1)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			argv := []string{"check-manifest", file}
			if c.against != "" {
				argv = append(argv, "--against", c.against)
			}
			if got := execute("", argv...); got.code != c.code || !strings.Contains(got.out, c.out) {
				t.Errorf("exit %d, want %d and %q\nout: %s\nerr: %s", got.code, c.code, c.out, got.out, got.err)
			}
		})
	}
}
