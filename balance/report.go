package balance

import (
	"math"
	"time"
)

// The report interval stays within reportIntervalRange times the dial timeout, and the dial timeout divided
// by it.
const reportIntervalRange = 8

// The report interval after an unchanged and after a renewed report, as a percentage of the interval before.
// The steps of +9 % and -3 % balance when three in four reports are new.
const (
	unchangedIntervalPercent = 109
	renewedIntervalPercent   = 97
)

// Repeats agree on a lag if it differs by at most lagTolerance report intervals; reports are ignored once
// lagConfirmations repeats in a row agree.
const (
	lagTolerance     = 4
	lagConfirmations = 3
)

// averageQueueGain is the weight of each new report in the average queue length.
const averageQueueGain = 0.1

// Limits in reportTTL.
const (
	minOthersRate       = 1e-3 // least rate assumed for the other balancers, in requests a second
	maxReportTTLSeconds = 1e3  // longest lifetime of a report, unless the report interval is longer
)

// reportHistory is what is learned about load reports: how often workers renew them, and how late they
// arrive.
type reportHistory struct {
	interval     time.Duration // between health checks of a worker; follows the interval between new reports
	lag          time.Duration // age of the report that the last repeat was identical to
	lagRepeats   int           // consecutive repeats that agree on the lag
	ignoreUntil  time.Duration // until then reports are not used for capacity
	averageQueue float64       // average number of jobs waiting at a worker
}

// recordUnchanged lengthens the interval after a report that is identical to the worker's last one, whether
// it came with a health check or with an attempt's outcome.
func (h *reportHistory) recordUnchanged(dialTimeout time.Duration) {
	h.interval = min(h.interval*unchangedIntervalPercent/100, reportIntervalRange*dialTimeout)
}

// recordRenewed shortens the interval after a report that differs from the worker's last one, whichever way
// it came.
func (h *reportHistory) recordRenewed(dialTimeout time.Duration) {
	h.interval = max(h.interval*renewedIntervalPercent/100, dialTimeout/reportIntervalRange)
}

// recordRepeat records that a report is identical to an earlier one of the worker, which first arrived the
// given time ago. A report identical to the last one is recorded by recordUnchanged instead. Some workers
// report their load seconds late: when lagConfirmations repeats in a row agree on the lag, reports are not
// used for capacity for twice that time.
func (h *reportHistory) recordRepeat(ago, now time.Duration) {
	h.lagRepeats++
	if (ago - h.lag).Abs() > lagTolerance*h.interval {
		h.lagRepeats = 0
	}
	h.lag = ago
	if h.lagRepeats >= lagConfirmations {
		h.ignoreUntil = now + 2*ago
	}
}

// usable reports whether a report contains the free slots, and its values are in range.
func (r *LoadReport) usable() bool {
	return r.FreeSlots >= 0 && r.FreeSlots < math.MaxInt32 && !math.IsNaN(r.FreeMemory+r.QueueLength)
}

// recordReport updates a worker's load from its report if the report is usable and new.
func (b *Balancer) recordReport(w *worker, report *LoadReport) {
	if !report.usable() {
		return
	}
	fresh := !w.load.hasReport || report.Fingerprint != w.load.report.Fingerprint
	if !fresh {
		b.reports.recordUnchanged(b.settings.DialTimeout)
		return
	}
	if w.load.hasReport {
		b.reports.recordRenewed(b.settings.DialTimeout)
	}
	if ago := w.load.fingerprintAge(report.Fingerprint, b.now); ago > 0 {
		b.reports.recordRepeat(ago, b.now)
	}
	w.load.hasReport = true
	w.load.report = *report
	b.reports.averageQueue += averageQueueGain * (max(b.queueLength(w), 0) - b.reports.averageQueue)
	w.load.measuredAt = b.now - b.reports.interval // assume that the report's age is one interval
	w.load.maxSlots = max(w.load.maxSlots, math.Round(report.FreeSlots))
	w.load.maxMemory = max(w.load.maxMemory, report.FreeMemory)
	b.workers.maxSlotsByKind[w.Kind] = max(b.workers.maxSlotsByKind[w.Kind], w.load.maxSlots)
	w.load.forgetBefore(min(w.load.measuredAt-b.reports.interval, b.now-b.settings.OverloadWindow))
}

// queueLength returns how many jobs waited at a worker by its last report; negative if unknown. If reports
// omit the queue length, it is estimated as the jobs in flight at the worker beyond one for each occupied
// slot. Without this estimate, slots that are free only because a large job at the head of the queue does not
// fit would look like capacity to every node, and all nodes would send there.
func (b *Balancer) queueLength(w *worker) float64 {
	report := &w.load.report
	if report.QueueLength >= 0 || report.InFlight < 0 {
		return report.QueueLength
	}
	takenSlots := max(b.workers.maxSlotsByKind[w.Kind]-report.FreeSlots, 0)
	return report.InFlight - takenSlots
}

// reportTTL returns how long a report stays fresh: the time in which the other balancers, each assumed to
// send as much as this one, send one request per worker, but at least the report interval.
func (b *Balancer) reportTTL() time.Duration {
	othersRate := b.arrivals.rate() * float64(b.settings.Balancers-1)
	perWorker := float64(len(b.workers.listed)) / max(othersRate, minOthersRate)
	return max(seconds(min(perWorker, maxReportTTLSeconds)), b.reports.interval)
}
