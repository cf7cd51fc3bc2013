package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any durations of a site, either runs end before their job may be submitted
// again, or New returns an error.
func TestRunsEndBeforeAJobIsResubmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resend := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "resend_ms")) * time.Millisecond
		serverMax := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "server_max_ms")) * time.Millisecond
		stop := time.Duration(rapid.IntRange(0, 500).Draw(t, "stop_ms")) * time.Millisecond
		terms, err := New(resend, serverMax, stop)
		if err != nil {
			return
		}
		end := terms.Entry + time.Duration(float64(terms.Server)*(1+ClockDrift)) + stop
		if end >= resend {
			t.Fatalf("runs end after %v, but jobs may be resubmitted after %v", end, resend)
		}
		if terms.Server > serverMax {
			t.Fatalf("server lease %v is longer than the longest that is granted, %v", terms.Server, serverMax)
		}
	})
}

func TestTermsOfTheUsersSites(t *testing.T) {
	if _, err := New(1300*time.Millisecond, time.Second, 50*time.Millisecond); err != nil {
		t.Fatal(err)
	}
}
