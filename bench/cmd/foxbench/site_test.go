package main

import (
	"strings"
	"testing"
)

// A run that plays nothing must not look like one that found nothing.
func TestSiteRefusesImpossibleFlags(t *testing.T) {
	for flag, c := range map[string]siteCommand{
		"--seeds":    {Seeds: 0},
		"--scenario": {Seeds: 1, Scenario: "nowhere"},
	} {
		if _, err := c.scenarios(); err == nil || !strings.Contains(err.Error(), flag) {
			t.Errorf("got error %v, want one that names %s", err, flag)
		}
	}
	if list, err := (&siteCommand{Seeds: 1, Scenario: "calm"}).scenarios(); err != nil || len(list) != 1 {
		t.Errorf("got %d scenarios and error %v, want one", len(list), err)
	}
}
