// Package observation decides which observations of workers a node shares with the other members, and which of theirs it
// accepts. It does no I/O and reads no clock; times are on the host's monotonic clock.
//
// An observation of another member can only make a node more cautious towards a worker, for a limited time, and newer
// evidence of the node's own overrides it at once. Limits bounds the effect on a worker of observations that are wrong or
// repeated again and again.
package observation

import (
	"cmp"
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

const (
	// sameStartTolerance is the maximum difference between two estimates of the same start time of a worker.
	sameStartTolerance = time.Minute
	// evidenceMargin is by how much a reported start must be later than the start that the node knows of.
	evidenceMargin = time.Second
)

// Limits bounds what is shared and accepted.
type Limits struct {
	ShareFor        time.Duration // how long an observation is shared after it was made
	MaxAge          time.Duration // maximum age of observations that are accepted
	RestartInterval time.Duration // minimum interval between two accepted restarts of a worker
	MaxWorkers      int           // maximum number of workers tracked
}

// DefaultLimits returns the default limits for workers whose warm-up takes warmUp. Restarts are accepted at most once in
// three warm-up times, so that a worker for which others continuously report restarts is treated as warming up for at most
// a third of the time.
func DefaultLimits(warmUp time.Duration) Limits {
	return Limits{
		ShareFor:        10 * time.Second,
		MaxAge:          5 * time.Second,
		RestartInterval: max(3*warmUp, 10*time.Second),
		MaxWorkers:      4096,
	}
}

// WorkerState is what the node itself knows about a worker.
type WorkerState struct {
	Worker    string
	StartedAt time.Duration // start of the worker's process; 0 if it was long ago or is unknown
	Unhealthy bool          // the worker has failed or was unreachable more than once in a row
}

// RestartHint is a restart of a worker that another member has observed.
type RestartHint struct {
	Worker    string
	StartedAt time.Duration // estimated start of the process, too late by the delay of the report
}

// Tracker tracks the node's own observations and those accepted from others. It is not safe for concurrent use.
type Tracker struct {
	limits            Limits
	startedAt         map[string]time.Duration // start time known to the node, by worker
	local             map[string]localObservation
	restartAcceptedAt map[string]time.Duration // time of the last accepted restart, by worker
}

// localObservation is the node's own newest observation of a worker.
type localObservation struct {
	kind       codec.ObservationKind // 0 if there is none
	observedAt time.Duration
	unhealthy  bool // current health of the worker as the node knows it
}

// New returns a tracker without any workers.
func New(limits Limits) *Tracker {
	return &Tracker{
		limits:            limits,
		startedAt:         map[string]time.Duration{},
		local:             map[string]localObservation{},
		restartAcceptedAt: map[string]time.Duration{},
	}
}

// Observe records the current state of all workers that the node knows. It returns the observations to share, at most
// codec.MaxObservations, newest first.
func (t *Tracker) Observe(now time.Duration, workers []WorkerState) []codec.Observation {
	for i := range workers {
		t.observeWorker(now, &workers[i])
	}
	return t.shared(now)
}

// observeWorker compares a worker's state with its previous state and updates the observation of it.
func (t *Tracker) observeWorker(now time.Duration, worker *WorkerState) {
	before, known := t.startedAt[worker.Worker]
	if known || len(t.startedAt) < t.limits.MaxWorkers {
		t.startedAt[worker.Worker] = worker.StartedAt
	}
	observation := t.local[worker.Worker]
	switch {
	case known && worker.StartedAt > before && !t.isReportedStart(worker.Worker, worker.StartedAt):
		observation = localObservation{kind: codec.WorkerRestarted, observedAt: worker.StartedAt}
	case worker.Unhealthy && !observation.unhealthy:
		observation = localObservation{kind: codec.WorkerUnhealthy, observedAt: now}
	}
	observation.unhealthy = worker.Unhealthy
	recovered := observation.kind == codec.WorkerUnhealthy && !worker.Unhealthy
	switch {
	case recovered:
		delete(t.local, worker.Worker)
	case observation.kind != 0 || observation.unhealthy:
		t.local[worker.Worker] = observation
	}
}

// isReportedStart reports whether a start was accepted from another member. Such a start is not shared as the node's own
// observation.
func (t *Tracker) isReportedStart(worker string, startedAt time.Duration) bool {
	acceptedAt, ok := t.restartAcceptedAt[worker]
	return ok && (startedAt-acceptedAt).Abs() < sameStartTolerance
}

// shared returns the observations that are recent enough to be shared, and deletes expired ones.
func (t *Tracker) shared(now time.Duration) (shared []codec.Observation) {
	type datedObservation struct {
		codec.Observation
		observedAt time.Duration
	}
	var recent []datedObservation
	for worker, o := range t.local {
		age := now - o.observedAt
		if o.kind != 0 && age < t.limits.ShareFor {
			ageMs := uint32(max(age, 0) / time.Millisecond)
			recent = append(recent, datedObservation{codec.Observation{Worker: worker, Kind: o.kind, AgeMs: ageMs}, o.observedAt})
		} else if !o.unhealthy {
			delete(t.local, worker)
		}
	}
	slices.SortFunc(recent, func(a, b datedObservation) int {
		newestFirst := cmp.Compare(b.observedAt, a.observedAt)
		return cmp.Or(newestFirst, cmp.Compare(a.Worker, b.Worker))
	})
	for _, o := range recent[:min(len(recent), codec.MaxObservations)] {
		shared = append(shared, o.Observation)
	}
	return shared
}

// Receive checks observations of other members, and returns the restarts that are accepted. All other kinds, including those
// that this version does not know, are only shown to operators: to exclude a worker because others find it unhealthy gained
// nothing (docs/operators/view.md has the figures).
func (t *Tracker) Receive(now time.Duration, observations []codec.Observation) (hints []RestartHint) {
	for _, o := range observations {
		age := time.Duration(o.AgeMs) * time.Millisecond
		startedAt := now - age
		if o.Kind != codec.WorkerRestarted || age > t.limits.MaxAge || !t.acceptsRestart(now, o.Worker, startedAt) {
			continue
		}
		t.restartAcceptedAt[o.Worker] = now
		hints = append(hints, RestartHint{o.Worker, startedAt})
	}
	return hints
}

// acceptsRestart reports whether a restart of a worker is news to the node and not rate limited.
func (t *Tracker) acceptsRestart(now time.Duration, worker string, startedAt time.Duration) bool {
	ownStart, known := t.startedAt[worker]
	if !known || ownStart+evidenceMargin >= startedAt {
		return false
	}
	last, accepted := t.restartAcceptedAt[worker]
	return !accepted || now-last >= t.limits.RestartInterval
}
