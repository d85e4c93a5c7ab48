package badclients

import (
	"testing"
	"time"
)

// Guards against requests that are sent on after their clients have left, because the node has no time to read what is behind them: more
// clients flood, each time with other requests, than a core can read at once. Workers have capacity now and then, and other clients are
// answered.
func TestClientsLeaveBusyNode(t *testing.T) {
	c := start(t, Options{Workers: 4, RunTime: 100 * time.Millisecond})
	crowd := startFloodingCrowd(t, c, crowdPlan{Clients: 60})
	time.Sleep(crowdSettleTime)
	outcomes := c.NewSoundClients("keyed", soundTimeout).Run(soundRequests, soundInterval)
	crowd.judge(t, c)
	t.Logf("sound requests by status: %v", ByStatus(outcomes))
	if unanswered := ByStatus(outcomes)[0]; unanswered > 0 {
		t.Errorf("%d sound requests have no answer: %v", unanswered, firstFailures(outcomes))
	}
}
