package balance

import (
	"time"
)

// UpdateEndpoints handles an update of the endpoint list, or a failed call for one.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind EndpointUpdate, list []Worker) {
	b.now = now
	if b.arrivals.last == 0 { // first event: the arrival rate and the slow-start window start here
		b.arrivals.last = now
		b.slowStart.knownSince = now
	}
	switch kind {
	case FailedUpdate:
		b.scheduleWatch()
	case MovedUpdate: // earlier failures say nothing about the new address
		b.discovery.reset()
		b.watchEndpoints()
	case FullUpdate, CachedUpdate:
		for _, w := range b.workers.listed {
			w.present = false
		}
		b.applyUpdate(kind, list)
	default:
		b.applyUpdate(kind, list)
	}
	b.advance()
}

// applyUpdate applies all entries of an update, and resets or starts the calls to discovery accordingly.
func (b *Balancer) applyUpdate(kind EndpointUpdate, list []Worker) {
	for _, entry := range list {
		b.updateWorker(entry)
	}
	b.workers.dropAbsent()
	switch {
	case kind == FullUpdate || kind == DeltaUpdate:
		b.discovery.reset()
	case kind == CachedUpdate && b.settings.PollEndpoints:
		// A restarted node has only a stale list: request a current one at once.
		b.watchEndpoints()
	}
}

// crossZoneConnectDivisor divides the dial timeout to give worker.connectTime in other zones.
const crossZoneConnectDivisor = 4

// updateWorker applies one entry of the endpoint list.
func (b *Balancer) updateWorker(entry Worker) {
	w := b.workers.byID[entry.ID]
	if w == nil {
		w = b.addWorker(entry)
		w.check.sentAt = b.now
		w.check.jitter = b.random.next() / 4 // the first check comes within a quarter of the interval
	} else if entry.StartedAt > w.StartedAt && (w.warmUp.restartSeenAt == 0 || entry.StartedAt <= b.now) {
		w.restart()
		w.check.sentAt = 0 // check at once
	}
	if entry.StartedAt > w.warmUp.listedStart {
		b.beginSlowStart(w, entry)
		w.warmUp.listedStart = entry.StartedAt
	} else { // the list may not show a restart yet that a health check has detected
		entry.StartedAt = max(entry.StartedAt, w.StartedAt)
	}
	if !w.listed {
		b.workers.addListed(w, &b.random)
	}
	w.Worker = entry
	w.present = entry.Status != Removed
	w.connectTime = 0
	if entry.Zone != b.settings.Zone {
		w.connectTime = b.settings.DialTimeout / crossZoneConnectDivisor
	}
}

// addWorker adds the state of an unknown worker. It does not add it to the endpoint list.
func (b *Balancer) addWorker(entry Worker) *worker {
	w := newWorker(entry, b.now)
	w.warmUp.rank = b.slowStartRank(entry.ID)
	b.workers.byID[entry.ID] = w
	return w
}

// WorkerCounts returns the number of listed workers, and of those among them that receive no attempts at
// present because they are draining, backed off, or failing health checks.
func (b *Balancer) WorkerCounts() (listed, excluded int) {
	for _, w := range b.workers.listed {
		if b.excludes(w) || w.health.failedChecks > 0 {
			excluded++
		}
	}
	return len(b.workers.listed), excluded
}

// Backoff between calls to discovery after a failure. It depends neither on the number of balancers nor on
// the dial timeout: a node counts as notified of an update six seconds after discovery became reachable. A
// call that times out, the backoff after it and the answer to the next call must fit into that time. From
// the second consecutive failure on, the next call therefore starts at most maxWatchInterval after the failed
// one started, or at most minWatchBackoff after it failed if that is later. The backoff after the first
// failure is at most firstWatchBackoff, however long the call took.
const (
	firstWatchBackoff   = 600 * time.Millisecond // short: without updates a drain may go unnoticed
	laterWatchBackoff   = 1600 * time.Millisecond
	minWatchBackoff     = 400 * time.Millisecond
	maxWatchInterval    = 4400 * time.Millisecond
	maxBackoffDoublings = 4
	watchJitterMin      = 0.25
	watchJitterSpread   = 0.75
)

// never is a time at which nothing is due.
const never time.Duration = -1

// discovery is the state of the calls to discovery for the endpoint list.
type discovery struct {
	watchAt     time.Duration // when the next call is due, or never
	requestedAt time.Duration // when the last call was made
	failures    int           // consecutive failed calls
}

// due reports whether a call is due.
func (d *discovery) due(now time.Duration) bool {
	return d.watchAt >= 0 && now >= d.watchAt
}

// reset clears the failures after discovery has answered or its address has changed.
func (d *discovery) reset() {
	d.failures = 0
	d.watchAt = never
}

// backoff returns the time until the next call. Its limit grows with each failure. The jitter is large, up to
// the whole limit after the first failure and three quarters of it later, because all balancers lose their
// watch together when discovery restarts, and must not all call again at the same time.
func (d *discovery) backoff(now time.Duration, random *randomSource) time.Duration {
	firstBackoff := time.Duration(float64(firstWatchBackoff) * random.next())
	if d.failures == 0 {
		return firstBackoff
	}
	doublings := min(d.failures-1, maxBackoffDoublings)
	remaining := maxWatchInterval - (now - d.requestedAt)
	longest := max(min(laterWatchBackoff<<doublings, remaining), minWatchBackoff)
	return time.Duration(float64(longest) * (watchJitterMin + watchJitterSpread*random.next()))
}

// scheduleWatch schedules the next call after a failed one.
func (b *Balancer) scheduleWatch() {
	backoff := b.discovery.backoff(b.now, &b.random)
	b.actions.SetTimer(backoff, "") // periodic timers fire only once per dial timeout, which may be long
	b.discovery.watchAt = b.now + backoff
	b.discovery.failures++
}

// watchEndpoints requests the endpoint list from discovery.
func (b *Balancer) watchEndpoints() {
	b.discovery.requestedAt = b.now
	b.actions.WatchEndpoints()
}
