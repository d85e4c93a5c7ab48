package dispatch

import (
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
)

// discoverySource is the source of events that concern the endpoint list or all workers.
var discoverySource = platform.EventSource{Kind: platform.Discovery}

// EndpointsKnown returns a channel that is closed on the first endpoint list that is not empty.
func (d *Dispatcher) EndpointsKnown() <-chan struct{} { return d.endpointsKnown }

// HandleListEvent implements discovery.Handler: it passes an update of the endpoint list to the Balancer.
func (d *Dispatcher) HandleListEvent(kind balance.EndpointUpdate, list config.EndpointList) {
	d.queue.enqueue(discoverySource, func() {
		if hasEntries(kind) {
			d.sender.UpdateWorkers(list) // first: the Balancer may send to a worker as soon as it knows of it
		}
		if d.debugEnabled {
			d.log.Debug("endpoint list updated", "kind", kind, "version", list.Version, "entries", len(list.Endpoints),
				"workers", workerStates(list))
		}
		d.balancer.UpdateEndpoints(d.now(), kind, list.Workers())
		if !d.hasEndpoints && len(list.Endpoints) > 0 {
			d.hasEndpoints = true
			close(d.endpointsKnown)
		}
	})
}

// AwaitListEvents implements discovery.Handler: it returns once the Balancer has handled all updates of the list so far, or the
// dispatcher has stopped.
func (d *Dispatcher) AwaitListEvents() { d.runAndWait(discoverySource, func() {}) }

// hasEntries reports whether an update of this kind carries entries of workers.
func hasEntries(kind balance.EndpointUpdate) bool {
	switch kind {
	case balance.FullUpdate, balance.CachedUpdate, balance.DeltaUpdate, balance.ObservedUpdate, balance.RelayedUpdate:
		return true
	}
	return false
}

// statusNames are the states of workers in the log.
var statusNames = [...]string{balance.Removed: "gone", balance.Ready: "ready", balance.Draining: "draining"}

// workerStates returns the id and state of each worker in a list, for the log.
func workerStates(list config.EndpointList) []map[string]string {
	states := []map[string]string{}
	for _, endpoint := range list.Endpoints {
		states = append(states, map[string]string{"id": endpoint.ID, "state": statusNames[endpoint.Status]})
	}
	return states
}

// SetDiscoveryAddresses sets the addresses of discovery, in order of preference. The Balancer requests the endpoint list at
// once.
func (d *Dispatcher) SetDiscoveryAddresses(addresses []string) {
	d.queue.enqueue(discoverySource, func() {
		d.endpoints.SetAddresses(addresses)
		d.balancer.UpdateEndpoints(d.now(), balance.MovedUpdate, nil)
	})
}

// WatchEndpoints implements balance.Actions.
func (d *Dispatcher) WatchEndpoints() {
	d.log.Debug("watching the endpoint list")
	d.endpoints.Watch()
}

// FetchEndpoints implements balance.Actions.
func (d *Dispatcher) FetchEndpoints() { d.endpoints.Fetch() }

// CheckHealth implements balance.Actions.
func (d *Dispatcher) CheckHealth(worker string) { d.sender.CheckHealth(worker) }

// HealthCheckDone reports the result of a health check; report is nil if the worker sent none.
func (d *Dispatcher) HealthCheckDone(worker string, result balance.Result, report *balance.LoadReport) {
	d.queue.enqueue(platform.EventSource{Kind: platform.HealthCheck, ID: worker}, func() {
		d.log.Debug("health check done", "worker", worker, "result", result, "report", report)
		d.balancer.HealthCheckDone(d.now(), worker, result, report)
	})
}

// IdleWorkers calls report with those of the given workers that have no attempt in flight. Endpoint lists received before the
// call have taken effect by then. It does not block; report is called on the goroutine that owns the Balancer.
func (d *Dispatcher) IdleWorkers(workers []string, report func(idle []string)) {
	d.queue.enqueue(discoverySource, func() {
		var idle []string
		for _, worker := range workers {
			if d.balancer.Reservations(worker) == 0 {
				idle = append(idle, worker)
			}
		}
		report(idle)
	})
}

// ApplyHints applies what other nodes have observed of workers. change gets the state of a worker as this node knows it, updates
// its start time and backoff, and reports whether it did; the updated states are imported, and the rest of the state stays. It
// does not block; change is called on the goroutine that owns the Balancer.
func (d *Dispatcher) ApplyHints(change func(now time.Duration, worker *balance.WorkerState) bool) {
	d.queue.enqueue(discoverySource, func() {
		now, state := d.now(), d.balancer.ExportState()
		changed := state.Workers[:0]
		for _, worker := range state.Workers {
			worker.HasReport = false // the import keeps the Balancer's current report
			if change(now, &worker) {
				changed = append(changed, worker)
			}
		}
		state.Workers = changed
		if len(changed) > 0 {
			d.balancer.ImportState(now, state)
		}
	})
}
