package soak

import (
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/testing/fake"
)

// class is a class of requests, as the nodes are configured, the fakes act and the checker judges.
type class struct {
	name, effect, scope        string
	idempotency                balance.Idempotency
	keyScope                   balance.KeyScope
	latencyObjective, deadline float64 // ms
	window                     float64 // ms
	share                      float64
}

// isRepeatable reports whether a client may retry a request of the class at any worker.
func (c class) isRepeatable() bool {
	return c.idempotency == balance.Idempotent ||
		c.idempotency == balance.IdempotentWithKey && c.keyScope == balance.AllWorkers
}

var classes = []class{
	{"quick", "retryable", "", balance.Idempotent, balance.AllWorkers, 600, 1500, 0, 0.45},
	{"keyed", "dedup", "all", balance.IdempotentWithKey, balance.AllWorkers, 1000, 2500, 2000, 0.2},
	{"zoned", "dedup", "cell", balance.IdempotentWithKey, balance.SameCell, 1000, 3000, 1500, 0.15},
	{"once", "fragile", "", balance.NotIdempotent, balance.AllWorkers, 1000, 2500, 0, 0.2},
}

// balanceClasses returns the classes in the balancer's form.
func balanceClasses() (list []balance.Class) {
	for _, c := range classes {
		list = append(list, balance.Class{
			Name:        c.name,
			Idempotency: c.idempotency,
			KeyScope:    c.keyScope,
			Deadline:    milliseconds(c.deadline),
			KeyWindow:   milliseconds(c.window),
		})
	}
	return list
}

// fakeClasses returns the classes in the fake workers' form, by name.
func fakeClasses() map[string]fake.Class {
	kinds := map[string]fake.Class{}
	for _, c := range classes {
		kinds[c.name] = fake.Class{
			Keyed:  c.idempotency == balance.IdempotentWithKey,
			Scope:  c.scope,
			Window: milliseconds(c.window),
		}
	}
	return kinds
}

// Parameters of the workers, in the nodes' configuration and in the fakes.
const (
	coldFrom     = 0.15
	coldFor      = 6 * time.Second
	fallMultiple = 3
	fallAfter    = 2 * time.Second
	connIdleTime = 4 * time.Second
)
