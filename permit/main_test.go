package permit

import (
	"flag"
	"os"
	"testing"
)

// The model needs long runs to reach the cases in which two majorities matter.
// Flags on the command line override these.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
