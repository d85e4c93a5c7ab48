package dispatch

import (
	"maps"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// ExportRequest removes an open request, so that another process continues it. detach takes the request's attempt in flight off
// its connection and reports whether that succeeded; it is not called if none is in flight. ok is false if the request cannot be
// exported because it is done, two of its attempts are in flight or detach failed. attempt and worker identify the attempt that
// is exported with the request; worker is empty if there is none.
func (d *Dispatcher) ExportRequest(
	c *request.Context, detach func() bool,
) (state balance.RequestState, attempt int, worker string, ok bool) {
	d.runAndWait(requestSource(c), func() {
		open := d.requests[c.ID]
		if open == nil || open.context != c || open.done {
			return
		}
		inFlight, last, known := d.balancer.AttemptsInFlight(c.ID)
		if !known || inFlight > 1 || (inFlight == 1 && !detach()) {
			return
		}
		state, ok = d.balancer.ExportRequest(d.now(), c.ID)
		if ok && inFlight == 1 {
			attempt, worker = last, state.Attempts[last].Worker.ID
		}
		open.markDone()
		delete(d.requests, c.ID)
	})
	return state, attempt, worker, ok
}

// ImportRequest continues a request that another process has exported. resume continues its attempt in flight and returns a
// function that cancels it; it is nil if no attempt is in flight. A request that cannot be imported is answered as failed.
func (d *Dispatcher) ImportRequest(
	c *request.Context, state balance.RequestState, attempt int, resume func() (cancel func()),
) {
	d.queue.enqueue(requestSource(c), func() {
		state.Request = c.Request
		open := &openRequest{context: c}
		for range state.Attempts {
			open.cancelAttempts = append(open.cancelAttempts, func() {})
		}
		imported := d.requests[c.ID] == nil &&
			d.balancer.ImportRequest(d.now(), state, func() { d.requests[c.ID] = open })
		if !imported {
			c.Finish(request.Answer{Verdict: request.Failed, Reason: "could not go on after a replacement"})
		}
		if resume == nil {
			return
		}
		cancel := resume()
		if !imported {
			cancel()
			return
		}
		open.outstanding, open.cancelAttempts[attempt] = 1, cancel
	})
}

// ImportState imports the learned state of the predecessor's Balancer. Its times must already be converted to this process's
// clock.
func (d *Dispatcher) ImportState(state balance.LearnedState) {
	d.queue.enqueue(discoverySource, func() { d.balancer.ImportState(d.now(), state) })
}

// Snapshot calls observe with the Balancer's learned state and with the number of further jobs of each class that there is
// capacity for. It does not block; observe is called on the goroutine that owns the Balancer, and may import state into it.
func (d *Dispatcher) Snapshot(observe func(now time.Duration, state balance.LearnedState, capacity []int)) {
	d.queue.enqueue(discoverySource, func() {
		now := d.now()
		observe(now, d.balancer.ExportState(), d.balancer.CapacityByClass(d.now()))
	})
}

// Standby sets whether another process accepts clients in place of this one, and returns the Balancer's learned state.
func (d *Dispatcher) Standby(standby bool) (state balance.LearnedState) {
	d.runAndWait(platform.EventSource{Kind: platform.Drain}, func() {
		d.balancer.Standby(d.now(), standby)
		state = d.balancer.ExportState()
		state.MaxSlotsByKind = maps.Clone(state.MaxSlotsByKind) // the Balancer continues to change its own map
	})
	return state
}

// ReleaseHeld lets a process whose successor has died send the requests that it has held for it.
func (d *Dispatcher) ReleaseHeld() {
	d.queue.enqueue(platform.EventSource{Kind: platform.Drain}, func() { d.balancer.ReleaseHeld(d.now()) })
}
