package chaos

import (
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/testing/fake"
)

// class is one of the job classes that all plans use. Times are in milliseconds.
type class struct {
	name, effect, scope                string
	latencyObjective, deadline, window float64
	priorityWeight                     float64
	share                              float64
}

var classes = []class{
	{"slot-check", "retryable", "", 1500, 20000, 0, 5, 0.45},
	{"book-visit", "dedup", "all", 2500, 25000, 40000, 5, 0.35},
	{"visit-summary", "dedup", "cell", 4000, 30000, 60000, 3, 0.2},
}

// settingsProfile returns a class in the form of a node's settings.
func (c class) settingsProfile() map[string]any {
	return map[string]any{
		"name":           c.name,
		"effect":         c.effect,
		"dedupScope":     c.scope,
		"aimMs":          c.latencyObjective,
		"deadlineMs":     c.deadline,
		"repeatWindowMs": c.window,
		"aimStretch":     2.0,
		"worth":          c.priorityWeight,
	}
}

// balanceClasses returns the classes as the trace checker needs them.
func balanceClasses() (list []balance.Class) {
	for _, c := range classes {
		b := balance.Class{
			Name:      c.name,
			Deadline:  time.Duration(c.deadline) * time.Millisecond,
			KeyWindow: time.Duration(c.window) * time.Millisecond,
		}
		if c.effect == "dedup" {
			b.Idempotency = balance.IdempotentWithKey
		}
		if c.scope == "cell" {
			b.KeyScope = balance.SameCell
		}
		list = append(list, b)
	}
	return list
}

// fakeClasses returns the classes as the fake workers need them.
func fakeClasses() map[string]fake.Class {
	m := map[string]fake.Class{}
	for _, c := range classes {
		m[c.name] = fake.Class{
			Keyed:  c.effect == "dedup",
			Scope:  c.scope,
			Window: time.Duration(c.window) * time.Millisecond,
		}
	}
	m[walkIn] = fake.Class{} // in no node's file: versions of the fleet's settings add it
	return m
}

// workerWarmUp is how long a restarted worker takes to reach its full capacity.
const workerWarmUp = 8 * time.Second
