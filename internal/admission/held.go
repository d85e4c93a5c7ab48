package admission

import "swiftdeal/internal/request"

// heldRequestBytes is what a held request counts for beyond its body.
const heldRequestBytes = 4 << 10

// heldRequests are the admitted requests that do not count as open ones yet.
type heldRequests struct {
	count int
	bytes int
}

// heldSize returns what a held request counts for.
func heldSize(c *request.Context) int { return heldRequestBytes + len(c.Body) }

// add counts a request.
func (h *heldRequests) add(c *request.Context) {
	h.count++
	h.bytes += heldSize(c)
}

// remove undoes add.
func (h *heldRequests) remove(c *request.Context) {
	h.count--
	h.bytes -= heldSize(c)
}

// AdmitHeld is Admit for a request that is not passed on yet. It does not take the place of an open request until Activate is called.
func (a *Controller) AdmitHeld(c *request.Context) bool {
	if !a.setClass(c) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setDeadline(c)
	switch {
	case !a.mayBegin(c):
		return false
	case a.held.bytes+heldSize(c) > a.limits.HeldBytes:
		return reject(c, a.tooManyOpen())
	}
	a.startTimer(c)
	a.hold(c)
	return true
}

// Hold has an admitted request not count as an open one until Activate is called.
func (a *Controller) Hold(c *request.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if timer := a.requests[c.ID]; timer != nil && timer.context == c && !timer.held {
		a.hold(c)
	}
}

// hold is Hold for a request that is not held; mu is held.
func (a *Controller) hold(c *request.Context) {
	a.requests[c.ID].held = true
	a.held.add(c)
}

// Activate counts a held request as an open one from now on. If there are too many of them, and there is a limit, it answers the request
// and returns false. The request must be released in either case.
func (a *Controller) Activate(c *request.Context, unlimited bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	timer := a.requests[c.ID]
	if timer == nil || timer.context != c || !timer.held {
		return true
	}
	if !unlimited && a.countedRequests() >= a.limits.OpenRequests {
		return reject(c, a.tooManyOpen())
	}
	timer.held = false
	a.held.remove(c)
	return true
}

// HeldRequests returns the number of held requests.
func (a *Controller) HeldRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held.count
}

// countedRequests returns the number of requests that count as open ones; mu is held.
func (a *Controller) countedRequests() int { return len(a.requests) - a.held.count }

// tooManyOpen returns the answer to a request beyond the limits.
func (a *Controller) tooManyOpen() request.Answer {
	return request.Answer{Verdict: request.Rejected, Reason: reasonTooManyOpen, RetryAfter: a.limits.RejectedRetryAfter}
}
