package badclients

import (
	"testing"
	"time"
)

// manyFloodingClients are more clients than one core reads, and nearly as many as a node of the usual size has places for.
const manyFloodingClients = 200

// Guards against usual requests that are refused, and against requests that are sent on after their clients have left, beside more
// flooding clients than the node reads in time.
func TestUsualClientsBesideManyFloods(t *testing.T) {
	c := start(t, Options{Workers: 4, RunTime: 100 * time.Millisecond})
	crowd := startFloodingCrowd(t, c, crowdPlan{Clients: manyFloodingClients, MixedTexts: true, MixedTimes: true, MixedWays: true})
	time.Sleep(crowdSettleTime)
	outcomes := c.NewSoundClients("keyed", soundTimeout).Run(soundRequests, soundInterval)
	crowd.judge(t, c)
	counts := ByStatus(outcomes)
	t.Logf("usual requests by status: %v; memory %.1f MB", counts, c.Process().MemoryMB())
	if counts[200] < soundRequests*9/10 {
		t.Errorf("usual requests by status: %v; failed: %v", counts, firstFailures(outcomes))
	}
}

// Guards against retries that begin after their clients have left: workers that are full in turns return jobs unstarted.
func TestRetriesOfManyFloodingClients(t *testing.T) {
	c := start(t, Options{Workers: 4, RunTime: 50 * time.Millisecond})
	crowd := startFloodingCrowd(t, c, crowdPlan{Clients: manyFloodingClients / 2, MixedTexts: true, MixedTimes: true, MixedWays: true})
	for turn := range 16 {
		c.SetFull(turn%2 == 0)
		time.Sleep(250 * time.Millisecond)
	}
	crowd.judge(t, c)
}

// Guards against requests that a new process sends on after their clients have left: its predecessor hands flooding clients over.
func TestReplacementBesideManyFloods(t *testing.T) {
	c := start(t, Options{Workers: 4, RunTime: 100 * time.Millisecond})
	crowd := startFloodingCrowd(t, c, crowdPlan{Clients: manyFloodingClients / 2, MixedTexts: true, MixedTimes: true, MixedWays: true})
	for range 2 {
		time.Sleep(crowdSettleTime)
		predecessor := c.Process()
		if _, err := c.StartProcess(); err != nil {
			t.Fatal(err)
		}
		predecessor.Terminate()
	}
	time.Sleep(crowdSettleTime)
	crowd.judge(t, c)
}
