package dispatch

import (
	"time"

	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// openRequest is a request that was passed to the Balancer. It is kept until it is done and all its attempts have ended.
type openRequest struct {
	context        *request.Context
	cancelAttempts []func() // indexed by attempt number
	outstanding    int      // attempts that have not ended
	done           bool
	timers         []*time.Timer
}

// markDone marks a request as done and stops its timers.
func (o *openRequest) markDone() {
	o.done = true
	for _, timer := range o.timers {
		timer.Stop()
	}
}

// isDone reports whether the request's context has its final answer. That may be before done is set.
func (o *openRequest) isDone() bool {
	select {
	case <-o.context.Done():
		return true
	default:
		return false
	}
}

// requestSource returns the source of the events of a request's client.
func requestSource(c *request.Context) platform.EventSource {
	return platform.EventSource{Kind: platform.Client, ID: c.ID}
}

// SetMaxUnhandled sets how many requests may wait in the queue at once; 0: any number.
func (d *Dispatcher) SetMaxUnhandled(requests int) { d.maxUnhandled.Store(int64(requests)) }

// Submit passes an admitted request to the Balancer for placement. It returns false, and does nothing, if too many requests wait
// in the queue: those whose clients have left wait there too, and are not among the open requests any more.
func (d *Dispatcher) Submit(c *request.Context) (taken bool) {
	unhandled, most := d.unhandled.Add(1), d.maxUnhandled.Load()
	if most > 0 && unhandled > most {
		d.unhandled.Add(-1)
		return false
	}
	d.queue.enqueue(requestSource(c), func() {
		d.unhandled.Add(-1)
		if d.requests[c.ID] != nil { // an earlier request with this id is done, but an attempt of it is still in flight
			c.Finish(request.Answer{Verdict: request.Malformed, Reason: "X-Request-Id: in use by an open request"})
			return
		}
		open := &openRequest{context: c}
		if open.isDone() { // guards against attempts whose result nobody receives: ClientGone may have been handled before
			return
		}
		d.requests[c.ID] = open
		d.balancer.Submit(d.now(), c.Request)
	})
	return true
}

// ClientGone reports that a request has ended without the Balancer: its client has disconnected, or the deadline timer of
// admission has answered it.
func (d *Dispatcher) ClientGone(c *request.Context) {
	d.queue.enqueue(requestSource(c), func() {
		if open := d.requests[c.ID]; open != nil && open.context == c && !open.done {
			d.balancer.ClientGone(d.now(), c.ID)
			d.finishRequest(open)
		}
	})
}

// Reject implements balance.Actions.
func (d *Dispatcher) Reject(id string, retryAfter time.Duration) {
	d.answer(id, request.Answer{Verdict: request.Rejected, Reason: "no room", RetryAfter: retryAfter})
}

// Fail implements balance.Actions.
func (d *Dispatcher) Fail(id string) {
	d.answer(id, request.Answer{Verdict: request.Failed, Reason: "not served in time"})
}

func (d *Dispatcher) answer(id string, answer request.Answer) {
	if open := d.requests[id]; open != nil && !open.done {
		open.context.Finish(answer)
		d.finishRequest(open)
	}
}

// finishRequest marks a request as done, and removes it unless attempts of it are in flight.
func (d *Dispatcher) finishRequest(open *openRequest) {
	open.markDone()
	d.removeIfDone(open)
}

// removeIfDone removes a request that is done and has no attempt in flight.
func (d *Dispatcher) removeIfDone(open *openRequest) {
	id := open.context.ID
	if open.done && open.outstanding == 0 && d.requests[id] == open {
		delete(d.requests, id)
	}
}
