package balance

import (
	"maps"
	"slices"
	"time"
)

// worker is a worker with all state that this balancer keeps about it.
type worker struct {
	Worker
	present     bool          // in the endpoint list and not removed
	listed      bool          // member of workerSet.listed
	fresh       bool          // member of workerSet.fresh
	keptAbsent  bool          // member of workerSet.absent
	connectTime time.Duration // longest time for a new connection to its zone; 0 for the own zone
	load        workerLoad
	health      workerHealth
	check       workerCheck
	warmUp      warmUp
	rate        workRate
}

func newWorker(entry Worker, now time.Duration) *worker {
	return &worker{
		Worker: entry,
		load: workerLoad{
			report:            LoadReport{QueueLength: -1},
			fingerprints:      map[uint64]time.Duration{},
			estimatedCapacity: 1,
		},
		health: workerHealth{lastSeenAt: now},
	}
}

// inUse reports whether an attempt or a health check is in flight to a worker.
func (w *worker) inUse() bool {
	return len(w.load.attempts) > 0 || w.check.open
}

// restart clears the state of the worker's previous process. The learned maximum capacity and the
// reservations stay.
func (w *worker) restart() {
	w.load.hasReport = false
	w.load.events = nil
	w.load.estimatedCapacity = 1
	w.health.consecutiveFailures = 0
	w.health.backoffUntil = 0
	w.rate = workRate{}
}

// relativeWeight returns the listed weight per slot, or 1 if unknown.
func (w *worker) relativeWeight() float64 {
	if w.Weight <= 0 || w.load.maxSlots <= 0 {
		return 1
	}
	return w.Weight / w.load.maxSlots
}

// workerLoad is the known load and capacity of a worker.
type workerLoad struct {
	hasReport         bool
	report            LoadReport
	measuredAt        time.Duration            // estimated time at which the report was taken
	fingerprints      map[uint64]time.Duration // of recent reports, with the time each first arrived
	maxSlots          float64                  // the most ever reported free: the learned capacity
	maxMemory         float64                  // likewise
	estimatedCapacity float64                  // concurrent attempts allowed before the first report
	attempts          []*attempt               // this node's reservations
	events            []LoadEvent
	compactAt         int // number of events from which compact has an effect; 0: minCompactedEvents
}

// LoadEvent is a reservation by this node at a worker, or the release of one.
type LoadEvent struct {
	Time   time.Duration `json:"At"`
	Slots  float64       `json:"Slots"`  // change in free slots: negative for a reservation
	Memory float64       `json:"Memory"` // change in free memory, likewise
	Work   float64       `json:"Work"`   // for a reservation: expected run time in seconds times slots
}

// reserve adds an attempt's reservation; work is its expected run time in seconds times its slots.
func (l *workerLoad) reserve(a *attempt, work float64) {
	l.attempts = append(l.attempts, a)
	l.events = append(l.events, LoadEvent{a.sentAt, -a.request.Slots, -a.request.Memory, work})
}

// release removes an attempt's reservation and records the freed resources.
func (l *workerLoad) release(a *attempt, now time.Duration) {
	l.remove(a)
	l.events = append(l.events, LoadEvent{now, a.request.Slots, a.request.Memory, 0})
}

// remove drops an attempt without recording freed resources: for one that continues in another process.
func (l *workerLoad) remove(a *attempt) {
	l.attempts = slices.DeleteFunc(l.attempts, func(x *attempt) bool { return x == a })
}

// changeSince returns the change in free resources by this node's reservations after a time.
func (l *workerLoad) changeSince(since time.Duration) (slots, memory float64) {
	for _, e := range l.events {
		if e.Time > since {
			slots += e.Slots
			memory += e.Memory
		}
	}
	return slots, memory
}

// workSince returns the total expected work of this node's reservations since a time.
func (l *workerLoad) workSince(since time.Duration) (work float64) {
	for _, e := range l.events {
		if e.Time >= since {
			work += e.Work
		}
	}
	return work
}

// minCompactedEvents is the number of load events from which those of a worker are compacted.
const minCompactedEvents = 64

// loadEventRetention returns how long load events must be kept one by one: reports are taken to be at most
// as old as the longest report interval, and slow start counts the work within the overload window.
func (b *Balancer) loadEventRetention() time.Duration {
	return max(b.settings.OverloadWindow, reportIntervalRange*b.settings.DialTimeout)
}

// compact merges the events up to a time that no later report can be older than. Without it, the events of a
// worker that never sends a new report would be kept without end. Those that its last report includes are
// dropped, the others become one.
func (l *workerLoad) compact(upTo time.Duration) {
	if len(l.events) < max(l.compactAt, minCompactedEvents) {
		return
	}
	var merged LoadEvent
	kept := l.events[:0]
	for _, e := range l.events {
		switch {
		case e.Time > upTo:
			kept = append(kept, e)
		case l.hasReport && e.Time > l.measuredAt:
			merged.Time = max(merged.Time, e.Time)
			merged.Slots += e.Slots
			merged.Memory += e.Memory
		}
	}
	if merged.Time > 0 {
		kept = slices.Insert(kept, 0, merged)
	}
	l.events = kept
	l.compactAt = 2 * len(kept)
}

// forgetBefore drops events older than a time.
func (l *workerLoad) forgetBefore(oldest time.Duration) {
	l.events = slices.DeleteFunc(l.events, func(e LoadEvent) bool { return e.Time < oldest })
}

// fingerprintTTL is how long report fingerprints are kept.
const fingerprintTTL = 30 * time.Second

// fingerprintAge records a report's fingerprint, and returns how long ago the same one first arrived; 0 if it
// is new.
func (l *workerLoad) fingerprintAge(fingerprint uint64, now time.Duration) time.Duration {
	expired := func(_ uint64, first time.Duration) bool { return now-first > fingerprintTTL }
	maps.DeleteFunc(l.fingerprints, expired)
	if first, ok := l.fingerprints[fingerprint]; ok {
		return now - first
	}
	l.fingerprints[fingerprint] = now
	return 0
}

// workerHealth is the known health of a worker.
type workerHealth struct {
	consecutiveFailures int           // of attempts
	backoffUntil        time.Duration // no attempts before this time
	unresponsive        bool          // its last health check got no answer
	failedChecks        int           // consecutive failed health checks
	lastSeenAt          time.Duration // when it last sent an answer or a notification
	lastHealthyAt       time.Duration // when it last answered a health check
}

// workerCheck is the state of a worker's health checks.
type workerCheck struct {
	sentAt  time.Duration // when the last check was sent
	jitter  float64       // factor on the interval until the next check
	open    bool          // a check is in flight
	awaited bool          // the queue waits for the result
}
