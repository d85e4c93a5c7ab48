// Package dispatch connects requests, workers and discovery to the Balancer. One goroutine, that of Dispatcher.Run, owns the
// Balancer. All others enqueue events for it, and the Balancer's actions start work that reports back with later events.
//
// Files: queue (events), eventstats (figures of the queue), requests (from admission to the answer), attempts,
// progress (the latest report of each attempt), endpoints (the list of workers and their health),
// migration (export to and import from another process), counts (figures that are read without blocking) and clock.
package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/platform"
	"swiftdeal/internal/request"
)

// Sender sends attempts and health checks to workers. Its methods start work and return at once.
type Sender interface {
	// StartAttempt sends a request to a worker. If writeBy is not zero, the request must not be written after that time. The
	// end of the attempt is reported to Dispatcher.AttemptDone, also after cancel.
	StartAttempt(c *request.Context, attempt int, worker string, writeBy time.Time) (cancel func())
	// CheckHealth requests a load report from a worker; the result is reported to Dispatcher.HealthCheckDone.
	CheckHealth(worker string)
	// UpdateWorkers sets the addresses of the workers.
	UpdateWorkers(list config.EndpointList)
}

// EndpointSource requests the endpoint list from discovery. Its methods start work and return at once; results are passed to
// Dispatcher.HandleListEvent.
type EndpointSource interface {
	Watch()
	Fetch()
	SetAddresses(addresses []string)
}

// Dispatcher routes requests. Its methods may be called by any goroutine, except Run, which is called once, and those of
// balance.Actions, which the Balancer calls. The fields of the second group are used only by the goroutine in Run.
type Dispatcher struct {
	queue          *eventQueue
	progress       *progressTable
	clock          clock
	counts         counts
	log            *slog.Logger
	debugEnabled   bool          // events of each request are logged
	unhandled      atomic.Int64  // submitted requests that wait in the queue
	maxUnhandled   atomic.Int64  // 0: no limit
	stopped        chan struct{} // closed when Run has ended
	endpointsKnown chan struct{} // closed on the first endpoint list that is not empty

	balancer     *balance.Balancer
	sender       Sender
	endpoints    EndpointSource
	requests     map[string]*openRequest
	hasEndpoints bool
	eventOrder   platform.EventOrder // order of simultaneous events; nil: order of arrival
	enqueueTick  func()              // enqueues tick; both are created once, since the Balancer sets a timer for every attempt
	tick         func()
}

// New returns a dispatcher, or an error that names the invalid setting. The counts of workers are refreshed at most once every
// countInterval, and never if that is 0.
func New(
	settings balance.Settings, seed uint64, countInterval time.Duration, order platform.EventOrder, log *slog.Logger,
) (*Dispatcher, error) {
	d := &Dispatcher{
		queue: newEventQueue(), progress: newProgressTable(), clock: clock{startedAt: time.Now()}, counts: counts{interval: countInterval},
		log: log, debugEnabled: log.Enabled(context.Background(), slog.LevelDebug),
		stopped: make(chan struct{}), endpointsKnown: make(chan struct{}),
		requests: map[string]*openRequest{}, eventOrder: order,
	}
	d.tick = func() { d.balancer.TimerFired(d.now(), "") }
	d.enqueueTick = func() { d.queue.enqueue(platform.EventSource{Kind: platform.Timer}, d.tick) }
	d.counts.enqueueRefresh = func() {
		d.queue.enqueue(platform.EventSource{Kind: platform.Timer}, d.counts.refreshDue)
	}
	var err error
	d.balancer, err = balance.New(settings, seed, d)
	if err == nil && order != nil {
		order.ObserveReservations(d.balancer.Reservations)
	}
	return d, err
}

// Run handles events until the context ends. Its goroutine owns the Balancer.
func (d *Dispatcher) Run(ctx context.Context, sender Sender, endpoints EndpointSource) {
	defer close(d.stopped)
	d.sender, d.endpoints = sender, endpoints
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.queue.ready:
			d.handleEvents()
		}
	}
}

// handleEvents handles all events that are queued.
func (d *Dispatcher) handleEvents() {
	if d.eventOrder != nil {
		d.handleInOrder()
		return
	}
	for _, e := range d.queue.takeAll() {
		d.queue.handle(e)
	}
	d.counts.refresh(d.balancer)
}

// handleInOrder handles events one at a time, each after all other events of the same instant have been queued.
func (d *Dispatcher) handleInOrder() {
	for {
		d.eventOrder.Settle()
		e, ok := d.queue.takeFirst(d.eventOrder)
		if !ok {
			return
		}
		d.queue.handle(e)
		d.counts.refresh(d.balancer)
	}
}

// runAndWait runs a function on the goroutine that owns the Balancer and waits until it has returned or Run has ended.
func (d *Dispatcher) runAndWait(source platform.EventSource, do func()) {
	done := make(chan struct{})
	d.queue.enqueue(source, func() {
		defer close(done)
		do()
	})
	select {
	case <-done:
	case <-d.stopped:
	}
}

// Reconfigure applies new settings, or returns an error that names the invalid one. Requests submitted after it has returned are
// routed by the new settings.
func (d *Dispatcher) Reconfigure(settings balance.Settings) (err error) {
	d.runAndWait(platform.EventSource{Kind: platform.Drain}, func() {
		err = d.balancer.Reconfigure(d.now(), settings)
	})
	return err
}

// ShutdownAt notifies the Balancer that the node stops at the given time.
func (d *Dispatcher) ShutdownAt(at time.Time) {
	d.queue.enqueue(platform.EventSource{Kind: platform.Drain}, func() {
		now := d.now()
		d.balancer.ShutdownAt(now, now+time.Until(at))
	})
}

// SetTimer implements balance.Actions. The timers of a request are stopped when it ends. A timer that outlived its request would
// hold memory for the rest of the client's timeout, and would fire for a later request with the same id.
func (d *Dispatcher) SetTimer(delay time.Duration, id string) {
	if id == "" {
		time.AfterFunc(delay, d.enqueueTick)
		return
	}
	timer := time.AfterFunc(delay, func() {
		d.queue.enqueue(platform.EventSource{Kind: platform.Timer, ID: id}, func() {
			d.balancer.TimerFired(d.now(), id)
		})
	})
	if open := d.requests[id]; open != nil {
		open.timers = append(open.timers, timer)
	}
}
