package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

func example(t *testing.T, role string) string {
	t.Helper()
	text, err := os.ReadFile("../docs/examples/" + role + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExamplesAreValidAndShowTheDefaults(t *testing.T) {
	e, err := LoadEntry("../docs/examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	if e.Limits.MaxJobsInFlight != defaultMaxJobsInFlight || e.Limits.MaxBytesInFlight != defaultMaxBytesInFlight ||
		e.Limits.BodyTimeout != defaultBodyTimeout || e.Shutdown.Grace != defaultGrace {
		t.Errorf("entry.toml doesn't show the defaults: %+v", e)
	}
	a, err := LoadAgent("../docs/examples/agent.toml")
	if err != nil {
		t.Fatal(err)
	}
	if a.Records.MaxJobs != defaultMaxJobs || a.Records.MaxResultBytes != defaultMaxResultBytes ||
		a.Gate.QueueLimit != defaultQueueLimit || len(a.Entries.Seeds) != 2 {
		t.Errorf("agent.toml doesn't show the defaults: %+v", a)
	}
}

func TestLocalExamplesAreValid(t *testing.T) {
	if err := Check(RoleEntry, "../docs/examples/local/entry.toml"); err != nil {
		t.Error(err)
	}
	if err := Check(RoleAgent, "../docs/examples/local/agent.toml"); err != nil {
		t.Error(err)
	}
}

func TestMissingOptionalFieldsGetDefaults(t *testing.T) {
	a, err := ParseAgent("agent.toml", []byte(`
process = { failure_domain = "thies", cell = "west" }
[listen]
internal = "10.0.0.1:1"
local = "127.0.0.1:2"
metrics = "0.0.0.0:3"
[platform]
address = "[fd00::1]:4"
`))
	// Inline tables are valid TOML but aren't accepted: with one form of section
	// the line numbers in messages stay exact.
	if err == nil {
		t.Fatalf("an inline table was accepted: %+v", a)
	}
	a, err = ParseAgent("agent.toml", []byte(`
process.failure_domain = "thies"
process.cell = "west"
listen.internal = "10.0.0.1:1"
listen.local = "127.0.0.1:2"
listen.metrics = "0.0.0.0:3"
[platform]
address = "[fd00::1]:4"
`))
	if err != nil {
		t.Fatal(err)
	}
	if a.Platform.Timeout != time.Second || a.Log.Level != "info" || a.Entries.Seeds != nil {
		t.Errorf("defaults are missing: %+v", a)
	}
}

func TestProblemsNameLineFieldAndRemedy(t *testing.T) {
	cases := []struct{ name, old, new, line, field, remedy string }{
		{"unknown key", "max_jobs_in_flight", "max_job_in_flight", "line 37", "limits.max_job_in_flight", "did you mean limits.max_jobs_in_flight?"},
		{"unknown section", "[log]\n# debug, info, warn or error.\nlevel = \"info\"", "[logs]", "line 43", "logs", "the sections are process, listen"},
		{"key in wrong section", "body_timeout = \"5s\"", "grace = \"5s\"", "line 41", "limits.grace", "belongs to section [shutdown]"},
		{"missing failure domain", "failure_domain = \"lulea\"", "", "line 5", "process.failure_domain", `failure_domain = "lulea"`},
		{"missing address", "callers = \"10.0.0.5:7000\"", "", "line 13", "listen.callers", "is missing"},
		{"host name", "10.0.0.2:7090", "platform.example:7090", "line 25", "platform.address", `write it as "10.0.0.5:7100"`},
		{"port 0", "10.0.0.5:7003", "10.0.0.5:0", "line 21", "listen.metrics", "choose a port"},
		{"any interface", "10.0.0.5:7002", "0.0.0.0:7002", "line 19", "listen.internal", "write one IP address"},
		{"port conflict", "10.0.0.5:7003", "0.0.0.0:7001", "line 21", "listen.metrics", "conflicts with listen.operators on line 17"},
		{"duration without unit", `"1s"`, "1", "line 27", "platform.timeout", `such as "1s"`},
		{"duration in words", `"1s"`, `"soon"`, "line 27", "platform.timeout", "a number and a unit"},
		{"duration too long", `"1s"`, `"2h"`, "line 27", "platform.timeout", "choose 10ms to 1m0s"},
		{"number too large", "4096", "40960000", "line 37", "limits.max_jobs_in_flight", "choose 1 to 1000000"},
		{"number in quotes", "4096", `"4096"`, "line 37", "limits.max_jobs_in_flight", "without quotes"},
		{"bad level", `"info"`, `"loud"`, "line 45", "log.level", "debug, info, warn, error"},
		{"bad name", `"north-1"`, `"North 1"`, "line 10", "process.cell", "lower-case letters"},
		{"bad hash", strings.Repeat("0", 64), "abc", "line 33", "operators.bootstrap_sha256", "64 hexadecimal digits"},
		{"syntax", "[limits]", "[limits", "line 35", "", "not valid TOML"},
		{"key twice", "[operators]", "timeout = \"2s\"\n[operators]", "line 29", "", "not valid TOML"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(example(t, "entry"), c.old, c.new, 1)
			_, err := ParseEntry("entry.toml", []byte(text))
			if err == nil {
				t.Fatal("the invalid settings were accepted")
			}
			for _, want := range []string{"entry.toml: 1 problem", c.line + ": " + c.field, c.remedy} {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("message doesn't contain %q:\n%s", want, err)
				}
			}
		})
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	text := example(t, "agent")
	text = strings.Replace(text, `"10.0.0.6:7002"`, `"10.0.0.5:7002", "nowhere", 5`, 1)
	text = strings.Replace(text, "queue_limit = 64", "queue_limit = -1", 1)
	text = strings.Replace(text, `local = "127.0.0.1:7101"`, "", 1)
	_, err := ParseAgent("agent.toml", []byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("error %v, want an *InvalidError", err)
	}
	if len(invalid.Problems) != 5 {
		t.Errorf("want 5 problems, have:\n%s", err)
	}
	for i := 1; i < len(invalid.Problems); i++ {
		if invalid.Problems[i].Line < invalid.Problems[i-1].Line {
			t.Errorf("problems are out of order:\n%s", err)
		}
	}
}

func FuzzParseEntry(f *testing.F) {
	f.Add("[process]\ncell = 'a'\n")
	f.Add("[[process]]\n")
	f.Add("a.\"b\\u0041\" = [1, {c = 2}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := ParseEntry("entry.toml", []byte(text)); err == nil {
			return
		} else if err.Error() == "" {
			t.Error("the error message is empty")
		}
	})
}
