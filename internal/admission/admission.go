// Package admission decides whether a request that was read is admitted: it checks the class, the idempotency key, the id and
// the limit of open requests. It also starts the timer that answers a request shortly before its deadline if nothing else has.
package admission

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/request"
)

// Reasons of answers, which are also label values of metrics.
const (
	reasonOutOfTime   = "out of time"
	reasonTooManyOpen = "too many open requests"
	reasonNodeEnds    = "the node ends"
	reasonImportedID  = "in use by an open request"
)

// Answers to clients whose requests have the ID of another one.
const (
	idInUse = "X-Request-Id: " + reasonImportedID
	idUsed  = "X-Request-Id: of a request that may have run"
)

// idempotencyKey is the header that is required for classes with balance.IdempotentWithKey.
const idempotencyKey = "Idempotency-Key"

// Controller admits requests. It may be used by any goroutine.
type Controller struct {
	limits    config.Limits
	classes   atomic.Pointer[classTable]
	onTimeout func(*request.Context)

	mu            sync.Mutex
	drainDeadline time.Time                 // while the node drains: by when new requests must be answered
	requests      map[string]*deadlineTimer // of the open requests, by id
	held          heldRequests              // of requests
	used          usedIDs
}

// classTable holds the configured classes.
type classTable struct {
	all    []balance.Class
	byName map[string]int // index into all
}

// New returns a controller for the given classes. onTimeout is called, on a goroutine of its own, with each request that was
// answered by its deadline timer.
func New(l config.Limits, classes []balance.Class, onTimeout func(*request.Context)) *Controller {
	a := &Controller{limits: l, onTimeout: onTimeout, requests: map[string]*deadlineTimer{}}
	byName := map[string]int{}
	for i, class := range classes {
		byName[class.Name] = i
	}
	a.SetClasses(classes, byName)
	return a
}

// SetClasses sets the classes; byName maps each name to its index in all. The controller retains both arguments.
func (a *Controller) SetClasses(all []balance.Class, byName map[string]int) {
	a.classes.Store(&classTable{all, byName})
}

// Admit admits a request, or answers it and returns false. Each admitted request must be released.
func (a *Controller) Admit(c *request.Context) bool {
	if !a.setClass(c) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setDeadline(c)
	switch {
	case !a.mayBegin(c):
		return false
	case a.countedRequests() >= a.limits.OpenRequests:
		return reject(c, a.tooManyOpen())
	}
	a.startTimer(c)
	return true
}

// mayBegin reports whether a new request may be admitted, apart from the number of open ones, or answers it; mu is held.
func (a *Controller) mayBegin(c *request.Context) bool {
	switch {
	case a.requests[c.ID] != nil:
		return reject(c, request.Answer{Verdict: request.Malformed, Reason: idInUse})
	case a.wouldRepeat(c):
		return reject(c, request.Answer{Verdict: request.Malformed, Reason: idUsed})
	case !a.drainDeadline.IsZero() && time.Until(a.drainDeadline) <= a.limits.AnswerMargin: // no time left for an attempt
		return reject(c, request.Answer{Verdict: request.Rejected, Reason: reasonNodeEnds})
	}
	return true
}

// setClass sets the fields of a request that depend on its class, or answers it and returns false.
func (a *Controller) setClass(c *request.Context) bool {
	classes := a.classes.Load()
	index, ok := classes.byName[c.ClassName]
	if !ok {
		return reject(c, request.Answer{Verdict: request.UnknownClass, Reason: fmt.Sprintf("no class %q", c.ClassName)})
	}
	class := classes.all[index]
	c.Class, c.Policy = index, invariant.RetryPolicyOf(class)
	if class.Idempotency == balance.IdempotentWithKey && c.Header.Get(idempotencyKey) == "" {
		return reject(c, request.Answer{Verdict: request.Malformed, Reason: idempotencyKey + ": missing"})
	}
	if c.ClientTimeout == 0 { // not set by the client
		c.ClientTimeout = class.Deadline
	}
	return true
}

// setDeadline sets by when a request must be answered; mu is held.
func (a *Controller) setDeadline(c *request.Context) {
	c.Deadline = c.Arrived.Add(c.ClientTimeout)
	// The client's timeout is set before the drain deadline is applied. The Balancer takes a short timeout as the sign of a late
	// retry, whose latency objective is lost already, and would reject requests that can still be served.
	c.ClientTimeout = max(time.Until(c.Deadline), time.Millisecond) // less the time spent on reading the request
	if !a.drainDeadline.IsZero() && c.Deadline.After(a.drainDeadline) {
		c.Deadline = a.drainDeadline
	}
}

// AdmitImported admits a request that another process had admitted, regardless of the limit of open requests. It answers the
// request and returns false if its ID is in use, or a job with this ID may have run here. Each admitted request must be released.
func (a *Controller) AdmitImported(c *request.Context) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.requests[c.ID] != nil:
		return reject(c, request.Answer{Verdict: request.Failed, Reason: reasonImportedID})
	case a.importWouldRepeat(c):
		return reject(c, request.Answer{Verdict: request.Malformed, Reason: idUsed})
	}
	a.startTimer(c)
	return true
}

// reject answers a request that is not admitted.
func reject(c *request.Context, answer request.Answer) (admitted bool) {
	c.Finish(answer)
	return false
}

// Release removes a request that has ended from the open ones and stops its timer. It may be called for requests that were not
// admitted.
func (a *Controller) Release(c *request.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if timer := a.requests[c.ID]; timer != nil {
		timer.Stop()
		delete(a.requests, c.ID)
		if timer.held {
			a.held.remove(timer.context)
		}
		a.rememberID(c)
	}
}

// SetCapacity sets the limit of open requests, and that of held ones in bytes.
func (a *Controller) SetCapacity(open, heldBytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.OpenRequests, a.limits.HeldBytes = open, heldBytes
}

// OpenRequests returns the number of open requests, held ones among them.
func (a *Controller) OpenRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}
