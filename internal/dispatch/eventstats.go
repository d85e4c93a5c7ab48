package dispatch

import (
	"sync/atomic"
	"time"

	"swiftdeal/internal/invariant"
	"swiftdeal/internal/platform"
)

// eventKinds are the kinds of event sources with their label values in metrics.
var eventKinds = [...]struct {
	kind byte
	name string
}{
	{platform.Client, "client"},
	{platform.Discovery, "discovery"},
	{platform.Drain, "drain"},
	{platform.HealthCheck, "health_check"},
	{platform.Timer, "timer"},
	{platform.Attempt, "attempt"},
}

// kindIndex returns the index of a kind of event source in eventKinds.
func kindIndex(kind byte) int {
	for i := range eventKinds {
		if eventKinds[i].kind == kind {
			return i
		}
	}
	return 0
}

// eventStats counts the events of a queue by kind of source. It may be used by any goroutine.
type eventStats struct {
	byKind      [len(eventKinds)]kindStats
	longestWait atomic.Int64 // of any event so far, in microseconds
}

// kindStats are the counts of one kind of source.
type kindStats struct {
	waiting atomic.Int64 // events that are queued, or in the batch being handled
	handled atomic.Int64
	waited  atomic.Int64 // total time from enqueueing to handling, in microseconds
}

// enqueued counts an event that enters the queue.
func (s *eventStats) enqueued(kind byte) { s.byKind[kindIndex(kind)].waiting.Add(1) }

// taken counts an event that is about to be handled after a wait. It is called only by the goroutine that owns the Balancer.
func (s *eventStats) taken(kind byte, wait time.Duration) {
	counts := &s.byKind[kindIndex(kind)]
	counts.waiting.Add(-1)
	counts.handled.Add(1)
	counts.waited.Add(wait.Microseconds())
	if wait.Microseconds() > s.longestWait.Load() {
		s.longestWait.Store(wait.Microseconds())
	}
}

// list returns one figure of each kind of source.
func (s *eventStats) list(figure func(*kindStats) *atomic.Int64) (list []invariant.Count) {
	for i := range eventKinds {
		list = append(list, invariant.Count{Name: eventKinds[i].name, Value: figure(&s.byKind[i]).Load()})
	}
	return list
}

// EventsWaiting returns how many events wait for the goroutine that owns the Balancer, by kind of source. It does not block.
func (d *Dispatcher) EventsWaiting() []invariant.Count {
	return d.queue.stats.list(func(k *kindStats) *atomic.Int64 { return &k.waiting })
}

// EventsHandled returns how many events have been handled, by kind of source. It does not block.
func (d *Dispatcher) EventsHandled() []invariant.Count {
	return d.queue.stats.list(func(k *kindStats) *atomic.Int64 { return &k.handled })
}

// EventWaits returns how long all events handled so far have waited, in microseconds, by kind of source. It does not block.
func (d *Dispatcher) EventWaits() []invariant.Count {
	return d.queue.stats.list(func(k *kindStats) *atomic.Int64 { return &k.waited })
}

// LongestEventWait returns the longest time that an event has waited so far, in microseconds. It does not block.
func (d *Dispatcher) LongestEventWait() int64 { return d.queue.stats.longestWait.Load() }
