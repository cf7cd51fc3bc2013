package membership

import (
	"flag"
	"os"
	"testing"
)

// Former members are dropped after 17 minutes of simulated time, so the runs of
// the property test have to be long. A flag on the command line overrides this.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.steps", "200"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
