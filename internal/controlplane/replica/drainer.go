package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/discovery"
)

// Reasons why a worker is not in service, as shown by the control plane.
const (
	reasonNotReady    = "discovery ends it"
	reasonWarmingUp   = "cold"
	reasonUnavailable = "errs, or does not answer"
)

// Drainer filters the endpoint lists from discovery to the balancer: workers that the control plane has drained are reported as
// draining, even if discovery lists them as ready. It is safe for concurrent use.
type Drainer struct {
	discovery.Handler
	queryIdle func(workers []string, idle func([]string))

	mu           sync.Mutex
	listed       config.EndpointList // merged list from discovery
	drained      []string
	quiesced     []string // drained workers at which this node has no attempt in flight
	queryPending bool
}

// NewDrainer returns a Drainer that passes endpoint lists to handler. queryIdle has to determine at which of the given workers this node
// has no attempt in flight, and to call idle with them, from any goroutine, but only after queryIdle has returned.
func NewDrainer(handler discovery.Handler, queryIdle func(workers []string, idle func([]string))) *Drainer {
	return &Drainer{Handler: handler, queryIdle: queryIdle}
}

// HandleListEvent implements discovery.Handler.
func (d *Drainer) HandleListEvent(kind balance.EndpointUpdate, list config.EndpointList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch kind {
	case balance.FullUpdate, balance.CachedUpdate, balance.DeltaUpdate, balance.RelayedUpdate:
		d.listed = d.listed.Merge(list)
		list.Endpoints = d.withDraining(list.Endpoints)
	}
	d.Handler.HandleListEvent(kind, list)
}

// withDraining returns the endpoints with the status of drained workers changed from ready to draining.
func (d *Drainer) withDraining(endpoints []config.Endpoint) []config.Endpoint {
	if len(d.drained) == 0 {
		return endpoints
	}
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		if endpoints[i].Status == balance.Ready && slices.Contains(d.drained, endpoints[i].ID) {
			endpoints[i].Status = balance.Draining
		}
	}
	return endpoints
}

// Drained returns the workers that the control plane has drained.
func (d *Drainer) Drained() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.drained)
}

// Apply returns a list with the status of drained workers changed from ready to draining.
func (d *Drainer) Apply(list config.EndpointList) config.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list.Endpoints = d.withDraining(list.Endpoints)
	return list
}

// SetDrained replaces the set of drained workers and passes the changed endpoints to the handler.
func (d *Drainer) SetDrained(workers []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.drained
	d.drained, d.quiesced = workers, nil
	var changed []config.Endpoint
	for _, endpoint := range d.listed.Endpoints {
		if slices.Contains(before, endpoint.ID) != slices.Contains(workers, endpoint.ID) {
			changed = append(changed, endpoint)
		}
	}
	if len(changed) > 0 {
		update := config.EndpointList{Version: d.listed.Version, Endpoints: d.withDraining(changed)}
		d.Handler.HandleListEvent(balance.ObservedUpdate, update)
	}
}

// queryQuiesced queries at which of the drained workers this node has no attempt in flight. The result is discarded if the set of drained
// workers has changed in the meantime.
func (d *Drainer) queryQuiesced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.drained) == 0 || d.queryPending {
		return
	}
	d.queryPending = true
	workers := d.drained
	d.queryIdle(workers, func(idle []string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.queryPending = false
		if slices.Equal(workers, d.drained) {
			d.quiesced = idle
		}
	})
}

func (d *Drainer) isQuiesced(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.quiesced, worker)
}

// workerStatuses returns the status of all workers listed by discovery, for use by the control plane's leader. now and states are those
// of the balancer; slowStart is the duration of a worker's slow start.
func (d *Drainer) workerStatuses(
	now, slowStart time.Duration, states map[string]balance.WorkerState,
) (statuses []controlplane.WorkerStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, endpoint := range d.listed.Endpoints {
		state := states[endpoint.ID]
		status := controlplane.WorkerStatus{ID: endpoint.ID, Site: endpoint.Zone, Kind: endpoint.Kind}
		startedAt := cmp.Or(state.SlowStartAt, state.StartedAt, endpoint.StartedAt) // by the balancer's clock if known there
		switch {
		case endpoint.Status != balance.Ready:
			status.UnavailableReason = reasonNotReady
		case startedAt > 0 && now-startedAt < slowStart:
			status.UnavailableReason = reasonWarmingUp
		case state.ConsecutiveFailures > 1 || state.FailedHealthChecks > 1:
			status.UnavailableReason = reasonUnavailable
		}
		statuses = append(statuses, status)
	}
	return statuses
}
