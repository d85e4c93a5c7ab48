package dispatch

import (
	"sync"
	"time"

	"swiftdeal/internal/platform"
)

// event is a function to be run by the goroutine that owns the Balancer.
type event struct {
	source     platform.EventSource
	enqueuedAt time.Time
	run        func()
}

// eventQueue is a queue without a bound of its own. Enqueueing never blocks, so that parts of the node cannot deadlock on one
// another. Its length is limited by the number of open requests with their timers and attempts: what a peer can repeat without
// end is merged before it is enqueued (progressTable). It may be used by any goroutine.
type eventQueue struct {
	stats eventStats

	mu       sync.Mutex
	events   []event
	reusable []event       // the batch returned last, whose memory is reused
	ready    chan struct{} // has a value while events are queued
}

func newEventQueue() *eventQueue { return &eventQueue{ready: make(chan struct{}, 1)} }

func (q *eventQueue) enqueue(source platform.EventSource, run func()) {
	q.stats.enqueued(source.Kind)
	q.mu.Lock()
	q.events = append(q.events, event{source, time.Now(), run})
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// handle runs an event that was taken from the queue.
func (q *eventQueue) handle(e event) {
	q.stats.taken(e.source.Kind, time.Since(e.enqueuedAt))
	e.run()
}

// maxReusableEvents is the capacity up to which a batch's memory is reused. The memory of larger bursts is released.
const maxReusableEvents = 1024

// takeAll removes and returns all queued events in order of arrival. The slice is valid until the next call.
func (q *eventQueue) takeAll() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	clear(q.reusable) // releases what the events refer to
	q.events = q.reusable[:0]
	q.reusable = events
	if cap(events) > maxReusableEvents {
		q.reusable = nil
	}
	return events
}

// takeFirst removes and returns the first event by the given order; events of the same source keep their order of arrival.
func (q *eventQueue) takeFirst(order platform.EventOrder) (first event, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return event{}, false
	}
	at := 0
	for i, e := range q.events {
		if e.source != q.events[at].source && order.Before(e.source, q.events[at].source) {
			at = i
		}
	}
	first = q.events[at]
	q.events = append(q.events[:at], q.events[at+1:]...)
	return first, true
}
