package admission

import (
	"maps"
	"slices"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/invariant"
	"swiftdeal/internal/request"
)

// maxUsedIDs is the least number of IDs that are remembered. Up to twice as many are.
const maxUsedIDs = 4096

// UsedID is the ID of a request that may have run.
type UsedID struct {
	ID    string
	Since time.Time // when the first attempt that may have run began, or the request came
	Open  bool      // the request has not ended
}

// usedIDs holds the IDs of the latest requests that have ended and may have run. A request that brings one of them again is a second
// copy of the job. The IDs are in two generations, of which the older one is dropped as a whole.
type usedIDs struct {
	current  map[string]UsedID
	previous map[string]UsedID
}

// add remembers an ID.
func (u *usedIDs) add(used UsedID) {
	if u.current == nil || len(u.current) >= maxUsedIDs {
		u.previous = u.current
		u.current = map[string]UsedID{}
	}
	u.current[used.ID] = used
}

// find returns what is known of an ID.
func (u *usedIDs) find(id string) (used UsedID, ok bool) {
	if used, ok = u.current[id]; !ok {
		used, ok = u.previous[id]
	}
	return used, ok
}

// list returns the IDs, the latest first.
func (u *usedIDs) list() []UsedID {
	var list []UsedID
	for _, generation := range []map[string]UsedID{u.current, u.previous} {
		list = slices.AppendSeq(list, maps.Values(generation))
	}
	slices.SortFunc(list, func(a, b UsedID) int { return b.Since.Compare(a.Since) })
	return list
}

// mayRepeat reports whether a job of a class may run again that may have begun to run at the given time: workers drop the repeat, or it
// does no harm.
func mayRepeat(policy invariant.RetryPolicy, since time.Time) bool {
	switch policy.Idempotency {
	case balance.Idempotent:
		return true
	case balance.IdempotentWithKey:
		return policy.Scope == balance.AllWorkers && time.Since(since) < policy.Window
	}
	return false
}

// wouldRepeat reports whether a request would run a job again that may not be repeated; mu is held.
func (a *Controller) wouldRepeat(c *request.Context) bool {
	used, ok := a.used.find(c.ID)
	return ok && !mayRepeat(c.Policy, used.Since)
}

// importWouldRepeat is wouldRepeat for a request that another process has admitted and passed on. That process has told of the requests
// that were open when this one took over; of those that it admitted later it has run none.
func (a *Controller) importWouldRepeat(c *request.Context) bool {
	used, ok := a.used.find(c.ID)
	return ok && !used.Open && !mayRepeat(c.Policy, used.Since)
}

// rememberID remembers the ID of a request that ends, if it may have run and its class restricts repeats; mu is held.
func (a *Controller) rememberID(c *request.Context) {
	if c.Policy.Idempotency == balance.Idempotent {
		return
	}
	if since, mayHaveRun := c.Attempts.MayHaveRun(); mayHaveRun {
		a.used.add(UsedID{ID: c.ID, Since: since})
	}
}

// UsedIDs returns the IDs of requests that may have run, for the process that replaces this one: those of open requests, then those of
// ended ones, the latest first.
func (a *Controller) UsedIDs() []UsedID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []UsedID
	for id, timer := range a.requests {
		if timer.context.Policy.Idempotency != balance.Idempotent {
			list = append(list, UsedID{ID: id, Since: timer.context.Arrived, Open: true})
		}
	}
	return append(list, a.used.list()...)
}

// ImportUsedIDs remembers the IDs that UsedIDs of another process has returned.
func (a *Controller) ImportUsedIDs(list []UsedID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, used := range slices.Backward(list) {
		a.used.add(used)
	}
}
