package guard

import (
	"fmt"
	"sync"
	"time"

	"swiftdeal/balance"
)

// Policy is what a request's class allows.
type Policy struct {
	Effect balance.Effect
	Scope  balance.Scope
	Window time.Duration // of a keyed class: from the first attempt that may have run
}

// PolicyOf is a class's policy.
func PolicyOf(c balance.Class) Policy { return Policy{c.Effect, c.Scope, c.Window} }

// Target is the worker of an attempt.
type Target struct{ Worker, Zone, Cell string }

// Ledger records the attempts of one request that have begun, at the place where they are written. Its zero value is empty. It is
// safe for use by several goroutines.
type Ledger struct {
	mu       sync.Mutex
	attempts []entry
	first    [1]entry // where the only attempt of most requests stands, so that it allocates nothing
}

// add records an attempt; mu is held.
func (l *Ledger) add(e entry) {
	if l.attempts == nil {
		l.attempts = l.first[:0]
	}
	l.attempts = append(l.attempts, e)
}

// entry is an attempt that has begun.
type entry struct {
	number int
	to     Target
	begun  time.Time
	never  bool // it is known not to have run
}

// Begin records that an attempt begins now, if its request's policy allows that. Otherwise it says why not.
func (l *Ledger) Begin(p Policy, number int, to Target, now time.Time) (refusal string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.attempts {
		if e.never {
			continue
		}
		if refusal = p.forbids(e, to, now); refusal != "" {
			return refusal
		}
	}
	l.add(entry{number: number, to: to, begun: now})
	return ""
}

// forbids says why an attempt may not follow one that may have run; empty: it may.
func (p Policy) forbids(e entry, to Target, now time.Time) string {
	switch {
	case p.Effect == balance.Unsafe:
		return fmt.Sprintf("attempt %d at %s may have run, and the class is unsafe to repeat", e.number, e.to.Worker)
	case p.Effect != balance.Keyed:
		return ""
	case p.Scope == balance.SameZone && e.to.Zone != to.Zone, p.Scope == balance.SameCell && e.to.Cell != to.Cell:
		return fmt.Sprintf("attempt %d at %s may have run, outside the group of %s that drops repeats", e.number, e.to.Worker, to.Worker)
	case now.Sub(e.begun) >= p.Window:
		return fmt.Sprintf("attempt %d at %s began %v ago, past the window for repeats", e.number, e.to.Worker, now.Sub(e.begun))
	}
	return ""
}

// End records how an attempt ended: never says that it is known not to have run.
func (l *Ledger) End(number int, never bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.attempts {
		if l.attempts[i].number == number {
			l.attempts[i].never = never
		}
	}
}

// Import records an attempt that has begun in another process.
func (l *Ledger) Import(number int, to Target, begun time.Time, never bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(entry{number, to, begun, never})
}
