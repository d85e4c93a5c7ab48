package discovery

import (
	"fmt"
	"testing"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// Guards against a discovery that adds workers without end by small changes and so fills the node's memory: the list has the limit of
// a whole list in one message. Drains and removals of listed workers apply all the same, and make room.
func TestListIsBounded(t *testing.T) {
	const maxBytes = 10 << 10
	size := newListSize(maxBytes)
	change := func(id string, status balance.WorkerStatus) (fits bool) {
		message := config.EndpointList{Endpoints: []config.Endpoint{{Worker: balance.Worker{ID: id, Status: status}}}}
		fitting, dropped := size.apply(message)
		if len(fitting.Endpoints)+dropped != 1 {
			t.Fatalf("%s: %d entries fit, %d dropped", id, len(fitting.Endpoints), dropped)
		}
		return dropped == 0
	}
	fitted := 0
	for i := range 10000 {
		if change(fmt.Sprintf("w%05d", i), balance.Ready) {
			fitted++
		}
	}
	if want := maxBytes / (entryOverheadBytes + len("w00000")); fitted != want || len(size.entries) != want {
		t.Errorf("%d workers fit, %d are known, want %d", fitted, len(size.entries), want)
	}
	if !change("w00000", balance.Draining) || !change("w00001", balance.Removed) || !change("other", balance.Removed) {
		t.Error("a change of a listed worker, or a removal, is dropped")
	}
	if !change("new", balance.Ready) || change("newer", balance.Ready) {
		t.Error("a removal does not make room for just one worker")
	}
	long := config.EndpointList{Full: true}
	for i := range 2 * fitted {
		long.Endpoints = append(long.Endpoints, config.Endpoint{Worker: balance.Worker{ID: fmt.Sprint(i), Status: balance.Ready}})
	}
	if fitting, dropped := size.apply(long); len(fitting.Endpoints) != 2*fitted || dropped != 0 || len(size.entries) != 2*fitted {
		t.Errorf("%d entries of a full list fit, %d dropped", len(fitting.Endpoints), dropped)
	}
}
