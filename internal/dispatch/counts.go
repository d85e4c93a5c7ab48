package dispatch

import (
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/invariant"
)

// attemptResultNames are the label values of attempt results in metrics.
var attemptResultNames = [...]string{
	balance.OK:              "ok",
	balance.WorkerError:     "error",
	balance.RejectedBusy:    "turned_away",
	balance.TimedOut:        "timed_out",
	balance.ConnectFailed:   "connect_failed",
	balance.ConnectionReset: "reset",
	balance.Canceled:        "called_off",
	balance.Suppressed:      "withheld",
	balance.InvalidRequest:  "rejected",
}

// counts caches figures of the Balancer that any goroutine may read without blocking. The goroutine that owns the Balancer
// refreshes them at intervals, so that a scrape of the metrics does not wait while that goroutine is busy.
type counts struct {
	interval       time.Duration // minimum time between two refreshes; 0: no refreshes
	refreshedAt    time.Time
	scheduled      bool   // a timer for the next refresh is running
	enqueueRefresh func() // enqueues refreshDue; created once

	workersKnown, workersExcluded atomic.Int64
	slowStartViolations           atomic.Int64
	attemptResults                [len(attemptResultNames)]atomic.Int64
	progressMerged                atomic.Int64 // reports of progress that were merged with an earlier one
}

// refresh updates the figures if the interval has passed since the last refresh, and schedules a refresh otherwise.
func (c *counts) refresh(b *balance.Balancer) {
	if c.interval == 0 || c.scheduled {
		return
	}
	if left := c.interval - time.Since(c.refreshedAt); left > 0 { // the scheduled refresh shows the changes since the last one
		c.scheduled = true
		time.AfterFunc(left, c.enqueueRefresh)
		return
	}
	known, excluded := b.WorkerCounts()
	c.refreshedAt = time.Now()
	c.workersKnown.Store(int64(known))
	c.workersExcluded.Store(int64(excluded))
	c.slowStartViolations.Store(int64(b.SlowStartViolations()))
}

// refreshDue allows the next call of refresh to update the figures.
func (c *counts) refreshDue() { c.scheduled = false }

// WorkerCounts returns how many workers the endpoint list holds, and how many of them get no jobs. It does not block.
func (d *Dispatcher) WorkerCounts() (known, excluded int64) {
	return d.counts.workersKnown.Load(), d.counts.workersExcluded.Load()
}

// SlowStartViolations returns how many attempts the Balancer has started beyond the limits of slow start. It does not block.
func (d *Dispatcher) SlowStartViolations() int64 { return d.counts.slowStartViolations.Load() }

// ProgressMerged returns how many reports of progress were merged with an earlier one of their attempt that was still queued. It
// does not block.
func (d *Dispatcher) ProgressMerged() int64 { return d.counts.progressMerged.Load() }

// AttemptResults returns how many attempts have ended, by result. It does not block.
func (d *Dispatcher) AttemptResults() (list []invariant.Count) {
	for i, name := range attemptResultNames {
		list = append(list, invariant.Count{Name: name, Value: d.counts.attemptResults[i].Load()})
	}
	return list
}
