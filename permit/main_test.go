package permit

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number and length of the model's runs, since only long runs
// reach the cases in which two majorities overlap. Flags on the command line
// override these values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
