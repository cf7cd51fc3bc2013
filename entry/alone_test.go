package entry_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/permit"
)

// A cell with a single agent, which hears from no peers, must run jobs. The test
// renews the agent's permit, as its link to the entries does in a real cell.
func TestSingleAgentRunsJobs(t *testing.T) {
	cell := newTestCell(t, 1)
	var last api.JobAnswer
	for i := range 100 {
		cell.agents[0].SetPermit(permit.Permit{Version: 1, Epoch: 1, InService: true, Until: time.Hour})
		_, last = cell.submit(t, fmt.Sprintf("alone-%d", i), 3)
		if last.Outcome == api.OutcomeComplete {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("a single agent never completed a job: %+v", last)
}
