package invariant

import (
	"fmt"
	"sync"
	"time"

	"swiftdeal/balance"
)

// RetryPolicy holds the rules of a request's class for retries and hedges.
type RetryPolicy struct {
	Idempotency balance.Idempotency
	Scope       balance.KeyScope
	Window      time.Duration // for classes with idempotency keys; starts with the first attempt that may have run
}

// RetryPolicyOf returns the policy of a class.
func RetryPolicyOf(c balance.Class) RetryPolicy {
	return RetryPolicy{c.Idempotency, c.KeyScope, c.KeyWindow}
}

// Target is the worker of an attempt, with its zone and cell.
type Target struct{ Worker, Zone, Cell string }

// AttemptHistory records the attempts of one request that have begun to be written to a worker. The zero value is an
// empty history. It is safe for concurrent use.
type AttemptHistory struct {
	mu       sync.Mutex
	attempts []attempt
	inline   [1]attempt // storage for the first attempt: most requests have only one, and then nothing is allocated
}

// attempt is an entry of the history.
type attempt struct {
	number    int
	target    Target
	startedAt time.Time
	neverRan  bool // the attempt is known not to have run
}

// Begin records that an attempt begins now if the policy allows it. Otherwise it records nothing and returns the reason.
func (h *AttemptHistory) Begin(policy RetryPolicy, number int, target Target, now time.Time) (refusal string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, earlier := range h.attempts {
		if earlier.neverRan {
			continue
		}
		if refusal = policy.forbids(earlier, target, now); refusal != "" {
			return refusal
		}
	}
	h.add(attempt{number: number, target: target, startedAt: now})
	return ""
}

// End records the end of an attempt; neverRan means that it is known not to have run.
func (h *AttemptHistory) End(number int, neverRan bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.attempts {
		if h.attempts[i].number == number {
			h.attempts[i].neverRan = neverRan
		}
	}
}

// MayHaveRun reports whether one of the attempts may have run, or may still run, and when the first of those began.
func (h *AttemptHistory) MayHaveRun() (since time.Time, yes bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if !a.neverRan && (!yes || a.startedAt.Before(since)) {
			since, yes = a.startedAt, true
		}
	}
	return since, yes
}

// Import records an attempt that has begun in another process.
func (h *AttemptHistory) Import(number int, target Target, startedAt time.Time, neverRan bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(attempt{number, target, startedAt, neverRan})
}

// add appends an attempt; mu must be held.
func (h *AttemptHistory) add(a attempt) {
	if h.attempts == nil {
		h.attempts = h.inline[:0]
	}
	h.attempts = append(h.attempts, a)
}

// forbids returns the reason why an attempt may not follow an earlier one that may have run, or "" if it may.
func (p RetryPolicy) forbids(earlier attempt, target Target, now time.Time) string {
	worker := earlier.target.Worker
	if p.Idempotency == balance.NotIdempotent {
		return fmt.Sprintf("attempt %d at %s may have run, and the class is not idempotent", earlier.number, worker)
	}
	if p.Idempotency != balance.IdempotentWithKey {
		return ""
	}
	if !p.sharesKeys(earlier.target, target) {
		return fmt.Sprintf("attempt %d at %s may have run, outside the group of %s that drops repeats",
			earlier.number, worker, target.Worker)
	}
	if age := now.Sub(earlier.startedAt); age >= p.Window {
		return fmt.Sprintf("attempt %d at %s began %v ago, past the window for retries", earlier.number, worker, age)
	}
	return ""
}

// sharesKeys reports whether two workers share their idempotency keys.
func (p RetryPolicy) sharesKeys(a, b Target) bool {
	switch p.Scope {
	case balance.SameZone:
		return a.Zone == b.Zone
	case balance.SameCell:
		return a.Cell == b.Cell
	}
	return true
}
