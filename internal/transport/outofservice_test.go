package transport

import (
	"fmt"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// Guards against a discovery that replaces the whole list without end, and so filled the node's memory with the times at which
// workers left service: as many are kept as are listed, in two generations. Those of the last replacement are among them.
func TestOutOfServiceTimesAreBounded(t *testing.T) {
	const listed = 2 * minOutOfServiceKept
	directory, now := newWorkerDirectory(), time.Now()
	id := func(replacement, i int) string { return fmt.Sprint("w", replacement, "-", i) }
	const replacements = 20
	for replacement := range replacements {
		now = now.Add(time.Millisecond)
		list := config.EndpointList{Full: true}
		for i := range listed {
			worker := balance.Worker{ID: id(replacement, i), Status: balance.Ready}
			list.Endpoints = append(list.Endpoints, config.Endpoint{Worker: worker})
		}
		directory.update(list, now)
	}
	times := &directory.outOfService
	if kept := len(times.current) + len(times.previous); kept > 2*listed {
		t.Errorf("the times of %d workers are kept with %d listed", kept, listed)
	}
	for i := range listed {
		if since := times.since(id(replacements-2, i)); !since.Equal(now) {
			t.Fatalf("worker %d left service at %v, not %v", i, since, now)
		}
	}
	back := balance.Worker{ID: id(replacements-2, 0), Status: balance.Ready}
	directory.update(config.EndpointList{Endpoints: []config.Endpoint{{Worker: back}}}, now)
	if since := times.since(back.ID); !since.IsZero() {
		t.Errorf("a worker that is back left service at %v", since)
	}
}
