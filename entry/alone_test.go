package entry_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/permit"
)

// TestAnAgentAloneRunsJobs has a cell of one agent, which no peer tells anything.
// Its permit is renewed as the link to the entries does.
func TestAnAgentAloneRunsJobs(t *testing.T) {
	p := newPath(t, 1)
	var last api.JobAnswer
	for i := range 100 {
		p.agents[0].SetPermit(permit.Permit{Version: 1, Epoch: 1, InService: true, Until: time.Hour})
		_, last = p.submit(t, fmt.Sprintf("alone-%d", i), 3)
		if last.Outcome == api.OutcomeComplete {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("an agent alone never ran a job: %+v", last)
}
