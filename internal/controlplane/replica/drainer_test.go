package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// listRecorder records the endpoint updates that the balancer would get.
type listRecorder struct{ list []string }

func (r *listRecorder) HandleListEvent(kind balance.EndpointUpdate, list config.EndpointList) {
	for _, endpoint := range list.Endpoints {
		r.list = append(r.list, fmt.Sprintf("%d %s %d", kind, endpoint.ID, endpoint.Status))
	}
}

func (r *listRecorder) AwaitListEvents() {}

func (r *listRecorder) takeAll() []string {
	list := r.list
	r.list = nil
	return list
}

func testEndpoint(id string, status balance.WorkerStatus) config.Endpoint {
	return config.Endpoint{Worker: balance.Worker{ID: id, Status: status, Zone: "a", Kind: "k"}}
}

// A drained worker must be reported once as draining, whatever its status in discovery, and as ready after the drain only if discovery
// lists it as ready. The result of a quiescence query from before a change of the drained workers must not count.
func TestDrainer(t *testing.T) {
	list := &listRecorder{}
	var queried []string
	var reportIdle func([]string)
	d := &Drainer{Handler: list, queryIdle: func(workers []string, idle func([]string)) { queried, reportIdle = workers, idle }}
	expect := func(what string, want ...string) {
		t.Helper()
		if got := list.takeAll(); !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	ready := []config.Endpoint{testEndpoint("w1", balance.Ready), testEndpoint("w2", balance.Ready)}
	d.HandleListEvent(balance.FullUpdate, config.EndpointList{Version: 1, Full: true, Endpoints: ready})
	expect("full list", "1 w1 1", "1 w2 1")
	d.SetDrained([]string{"w1"})
	expect("first drain", fmt.Sprintf("%d w1 2", balance.ObservedUpdate))
	oneDraining := []config.Endpoint{testEndpoint("w1", balance.Ready), testEndpoint("w2", balance.Draining)}
	d.HandleListEvent(balance.DeltaUpdate, config.EndpointList{Version: 2, Endpoints: oneDraining})
	expect("update of a drained worker", "0 w1 2", "0 w2 2")
	d.queryQuiesced()
	if !slices.Equal(queried, []string{"w1"}) || d.isQuiesced("w1") {
		t.Errorf("queried %q, want only w1, and w1 must not be quiesced before the result", queried)
	}
	outdatedReport := reportIdle
	reportIdle([]string{"w1"})
	if !d.isQuiesced("w1") {
		t.Error("w1 not quiesced after the query reported it idle")
	}
	d.SetDrained([]string{"w1", "w2"})
	expect("second drain", fmt.Sprintf("%d w2 2", balance.ObservedUpdate))
	if d.isQuiesced("w1") {
		t.Error("w1 still quiesced after the drained workers changed")
	}
	d.queryQuiesced()
	outdatedReport([]string{"w1"})
	if d.isQuiesced("w1") {
		t.Error("w1 quiesced by the result of an outdated query")
	}
	d.SetDrained(nil)
	expect("end of the drain", fmt.Sprintf("%d w1 1", balance.ObservedUpdate), fmt.Sprintf("%d w2 2", balance.ObservedUpdate))
	d.HandleListEvent(balance.FailedUpdate, config.EndpointList{})
	states := map[string]balance.WorkerState{"w1": {StartedAt: 95 * time.Second}}
	statuses := d.workerStatuses(100*time.Second, 10*time.Second, states)
	if len(statuses) != 2 || statuses[0].UnavailableReason != "cold" || statuses[1].UnavailableReason != "discovery ends it" {
		t.Errorf("%+v", statuses)
	}
}
