package balance

import (
	"math"
	"slices"
	"time"
)

// LearnedState is what a balancer has learned, in the form passed from a process to its successor. Times are
// those of the balancer's clock. The JSON names must not change, as processes of different versions exchange
// them.
type LearnedState struct {
	Workers        []WorkerState      `json:"Workers"`
	MaxSlotsByKind map[string]float64 `json:"Slots"` // the most free slots reported by a worker of each kind
	ReportInterval time.Duration      `json:"Pace"`
	RoundTrip      time.Duration      `json:"Quick"`
	StartLatency   float64            `json:"Delay"` // median, in seconds
	MeanWorkRate   float64            `json:"Usual"`
	ArrivalCount   float64            `json:"RateN"`
	ArrivalSeconds float64            `json:"RateT"`
	LastArrival    time.Duration      `json:"LastRequest"`
	KnownSince     time.Duration      `json:"Born"` // since when all attempts of the node are known
}

// WorkerState is the state that a balancer keeps about one worker.
type WorkerState struct {
	ID                  string        `json:"ID"`
	StartedAt           time.Duration `json:"Started"`
	SlowStartAt         time.Duration `json:"WarmFrom"` // when slow start began; 0 if no start is known
	HasReport           bool          `json:"Reported"`
	Report              LoadReport    `json:"Report"`
	MeasuredAt          time.Duration `json:"Measured"`
	MaxSlots            float64       `json:"MostSlots"`
	MaxMemory           float64       `json:"MostMemory"`
	EstimatedCapacity   float64       `json:"Guess"`
	WorkRate            float64       `json:"Pace"`
	WorkRateAt          time.Duration `json:"PaceAt"`
	BackoffUntil        time.Duration `json:"Until"`
	LastHealthCheck     time.Duration `json:"Probed"`
	ConsecutiveFailures int           `json:"Fails"`
	FailedHealthChecks  int           `json:"ProbeFails"`
	Unresponsive        bool          `json:"Mute"`
	LoadEvents          []LoadEvent   `json:"Events"`
}

// Shift converts all times to another clock by adding an offset. A time of 0, which means none, stays. So do
// the workers' start times, which identify the processes of a worker.
func (s *LearnedState) Shift(by time.Duration) {
	shiftTimes(by, &s.LastArrival, &s.KnownSince)
	for i := range s.Workers {
		w := &s.Workers[i]
		shiftTimes(by, &w.SlowStartAt, &w.MeasuredAt, &w.WorkRateAt, &w.BackoffUntil, &w.LastHealthCheck)
		for j := range w.LoadEvents {
			shiftTimes(by, &w.LoadEvents[j].Time)
		}
	}
}

// shiftTimes adds an offset to the times that are not 0.
func shiftTimes(by time.Duration, times ...*time.Duration) {
	for _, t := range times {
		if *t != 0 {
			*t += by
		}
	}
}

// ExportState returns what the balancer has learned. MaxSlotsByKind is the balancer's own map: a caller that
// keeps the state beyond the next event must copy the map.
func (b *Balancer) ExportState() LearnedState {
	state := LearnedState{
		MaxSlotsByKind: b.workers.maxSlotsByKind,
		ReportInterval: b.reports.interval,
		RoundTrip:      b.starts.roundTrip,
		StartLatency:   b.starts.median,
		MeanWorkRate:   b.jobs.meanWorkRate,
		ArrivalCount:   b.arrivals.count,
		ArrivalSeconds: b.arrivals.seconds,
		LastArrival:    b.arrivals.last,
		KnownSince:     b.slowStart.knownSince,
	}
	for _, w := range b.workers.listed {
		state.Workers = append(state.Workers, w.export())
	}
	return state
}

// export returns the exported state of a worker.
func (w *worker) export() WorkerState {
	return WorkerState{
		ID:                  w.ID,
		StartedAt:           w.StartedAt,
		SlowStartAt:         w.warmUp.startedAt,
		HasReport:           w.load.hasReport,
		Report:              w.load.report,
		MeasuredAt:          w.load.measuredAt,
		MaxSlots:            w.load.maxSlots,
		MaxMemory:           w.load.maxMemory,
		EstimatedCapacity:   w.load.estimatedCapacity,
		WorkRate:            w.rate.value,
		WorkRateAt:          w.rate.learnedAt,
		BackoffUntil:        w.health.backoffUntil,
		LastHealthCheck:     w.check.sentAt,
		ConsecutiveFailures: w.health.consecutiveFailures,
		FailedHealthChecks:  w.health.failedChecks,
		Unresponsive:        w.health.unresponsive,
		LoadEvents:          append([]LoadEvent(nil), w.load.events...), // nil if empty: null in JSON
	}
}

// Limits outside of which an imported value is invalid.
const (
	maxLatencySeconds = 3600
	minMeanWorkRate   = 0.01
	maxMeanWorkRate   = 100
	maxArrivals       = 1e9 // both requests and seconds
	maxCount          = 1e6 // capacities, work rates, failures and the values of load events
)

// maxImportedBackoff limits the remaining backoff of an imported worker.
const maxImportedBackoff = time.Minute

// ImportState takes over what another balancer with the same settings has learned. It skips invalid values,
// and workers that are not in the endpoint list or have restarted since.
func (b *Balancer) ImportState(now time.Duration, state LearnedState) {
	b.now = now
	b.importEstimates(&state)
	for i := range state.Workers {
		from := &state.Workers[i]
		w := b.workers.byID[from.ID]
		if w == nil || !from.plausible(now) || from.StartedAt < w.StartedAt {
			continue
		}
		w.importState(from, now)
	}
	b.advance()
}

// importEstimates takes over the estimates that do not belong to a single worker.
func (b *Balancer) importEstimates(state *LearnedState) {
	if state.KnownSince > 0 && state.KnownSince < b.slowStart.knownSince {
		// The other balancer's attempts are imported as well.
		b.slowStart.knownSince = state.KnownSince
	}
	dial := float64(b.settings.DialTimeout)
	if within(float64(state.ReportInterval), dial/reportIntervalRange, reportIntervalRange*dial) {
		b.reports.interval = state.ReportInterval
	}
	latencyPlausible := within(float64(state.RoundTrip), 0, dial) &&
		within(state.StartLatency, 0, maxLatencySeconds)
	if latencyPlausible && within(state.MeanWorkRate, minMeanWorkRate, maxMeanWorkRate) {
		b.starts.roundTrip = state.RoundTrip
		b.starts.median = state.StartLatency
		b.jobs.meanWorkRate = state.MeanWorkRate
	}
	ratePlausible := within(state.ArrivalCount, 0, maxArrivals) &&
		within(state.ArrivalSeconds, 0, maxArrivals)
	if ratePlausible && state.LastArrival <= b.now {
		b.arrivals.count = state.ArrivalCount
		b.arrivals.seconds = state.ArrivalSeconds
		b.arrivals.last = state.LastArrival
	}
	for kind, slots := range state.MaxSlotsByKind {
		if within(slots, 0, math.MaxInt32) {
			b.workers.maxSlotsByKind[kind] = max(b.workers.maxSlotsByKind[kind], slots)
		}
	}
}

// within reports whether a number is in a range, which NaN is not.
func within(number, least, most float64) bool {
	return number >= least && number <= most
}

// plausible reports whether a worker's imported state is valid.
func (s *WorkerState) plausible(now time.Duration) bool {
	report := &s.Report
	switch {
	case !within(s.MaxSlots, 0, math.MaxInt32), !within(s.MaxMemory, 0, math.MaxInt32):
		return false
	case !within(s.EstimatedCapacity, 0, maxCount), !within(s.WorkRate, 0, maxCount):
		return false
	case !within(report.FreeSlots, 0, math.MaxInt32):
		return false
	case math.IsNaN(report.FreeMemory + report.QueueLength + report.InFlight):
		return false
	case !within(float64(s.ConsecutiveFailures), 0, maxCount),
		!within(float64(s.FailedHealthChecks), 0, maxCount):
		return false
	}
	return s.MeasuredAt <= now && s.LastHealthCheck <= now
}

// plausible reports whether an imported load event is valid.
func (e LoadEvent) plausible(now time.Duration) bool {
	const most = maxCount
	inRange := within(e.Slots, -most, most) && within(e.Memory, -most, most)
	return e.Time <= now && inRange && within(e.Work, 0, most)
}

// importState takes over another balancer's state of a worker.
func (w *worker) importState(from *WorkerState, now time.Duration) {
	// A restart that only the other balancer knows, or the other balancer knows of no slow start.
	if from.StartedAt > w.StartedAt || from.SlowStartAt == 0 {
		w.warmUp.startedAt = min(from.StartedAt, now)
	}
	sameProcess := from.StartedAt == w.StartedAt
	if from.SlowStartAt > w.warmUp.startedAt || sameProcess && from.SlowStartAt > 0 {
		w.warmUp.startedAt = min(from.SlowStartAt, now)
	}
	w.StartedAt = from.StartedAt
	w.health.consecutiveFailures = from.ConsecutiveFailures
	w.health.failedChecks = from.FailedHealthChecks
	w.health.unresponsive = from.Unresponsive
	w.health.backoffUntil = min(from.BackoffUntil, now+maxImportedBackoff)
	w.check.sentAt = from.LastHealthCheck
	w.rate = workRate{value: from.WorkRate, learnedAt: min(from.WorkRateAt, now)}
	w.load.importState(from, now)
}

// importState takes over another balancer's state of a worker's load.
func (l *workerLoad) importState(from *WorkerState, now time.Duration) {
	l.estimatedCapacity = max(from.EstimatedCapacity, 1)
	l.maxSlots = max(l.maxSlots, from.MaxSlots)
	l.maxMemory = max(l.maxMemory, from.MaxMemory)
	if from.HasReport {
		l.hasReport = true
		l.report = from.Report
		l.measuredAt = from.MeasuredAt
		l.fingerprints[from.Report.Fingerprint] = now
	}
	l.events = slices.Delete(l.events, 0, len(l.events))
	for _, e := range from.LoadEvents {
		if e.plausible(now) {
			l.events = append(l.events, e)
		}
	}
}
