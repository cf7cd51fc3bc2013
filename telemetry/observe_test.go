package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	w := httptest.NewRecorder()
	NewHandler(m, func() error { return nil }).ServeHTTP(w, httptest.NewRequest("GET", PathMetrics, nil))
	return w.Body.String()
}

func TestObservedMetricsAreReadAtEachScrapeUntilUnregistered(t *testing.T) {
	m, err := NewMetrics(RoleAgent, "north", "a1")
	if err != nil {
		t.Fatal(err)
	}
	n := int64(3)
	stop, err := Observe(m.Meter(), []Observed{
		{Name: "dock_test_done", Help: "Done.", Counter: true, Read: func() int64 { return n }},
		{Name: "dock_test_now", Help: "Now.", Read: func() int64 { return -n }},
	})
	if err != nil {
		t.Fatal(err)
	}
	n = 4
	lines := []string{"dock_test_done_total 4\n", "dock_test_now -4\n"}
	for _, line := range lines {
		if !strings.Contains(scrape(t, m), line) {
			t.Errorf("the scrape lacks the line %q", line)
		}
	}
	stop()
	for _, line := range lines {
		if strings.Contains(scrape(t, m), line) {
			t.Errorf("the scrape has the line %q after unregistering", line)
		}
	}
}
