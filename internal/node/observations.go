package node

import (
	"slices"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/accounting"
	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/membership/gossip"
	"swiftdeal/internal/membership/observation"
)

// The state and worker observations that the node gossips, and those that it accepts from other nodes.

// maxHealthyFailures is the number of consecutive failures, of attempts or of health checks, up to which a worker is
// reported as healthy.
const maxHealthyFailures = 1

// balancerView is a snapshot of the Balancer's state. It is immutable.
type balancerView struct {
	observedAt   time.Time
	observations []codec.Observation
	freeCapacity []int                          // by class index
	workers      map[string]balance.WorkerState // by worker ID; nil without a control plane
}

// requestRates computes the rates of requests by outcome, over intervals of at least a second.
type requestRates struct {
	since                    time.Time
	served, rejected, failed int64 // the counts at since
	perSecond                codec.Load
}

// update takes the current counts and returns a load in which the rates are set.
func (r *requestRates) update(counts []accounting.ClassCounts) codec.Load {
	var served, rejected, failed int64
	for _, c := range counts {
		served += c.Served
		rejected += c.Rejected
		failed += c.Failed
	}
	span := time.Since(r.since).Seconds()
	if span < 1 {
		return r.perSecond
	}
	rate := func(now, then int64) float32 { return float32(float64(now-then) / span) }
	r.perSecond.ServedPerSecond = rate(served, r.served)
	r.perSecond.RejectedPerSecond = rate(rejected, r.rejected)
	r.perSecond.FailedPerSecond = rate(failed, r.failed)
	r.since, r.served, r.rejected, r.failed = time.Now(), served, rejected, failed
	return r.perSecond
}

// localState returns the state that the node announces. It is called only by the goroutine that owns the membership.
func (f *fleetMember) localState() gossip.LocalState {
	n := f.node
	local := gossip.LocalState{State: f.state(), Load: f.rates.update(n.accounting.Counts())}
	known, excluded := n.dispatcher.WorkerCounts()
	if view := f.lastView.Load(); view != nil {
		local.Observations = slices.Clone(view.observations)
		for i := range local.Observations {
			local.Observations[i].AgeMs += uint32(time.Since(view.observedAt) / time.Millisecond)
		}
		local.Load.FreeCapacity = map[string]int32{}
		for class, free := range n.settings.byClassName(view.freeCapacity) {
			local.Load.FreeCapacity[class] = int32(free)
		}
	}
	n.dispatcher.Snapshot(f.recordView) // for the next call: the dispatcher may be busy
	local.Load.InFlight = uint32(n.admission.OpenRequests())
	local.Load.Workers, local.Load.ExcludedWorkers = uint32(known), uint32(excluded)
	return local
}

// recordView stores a snapshot of the Balancer's state. It is called by the dispatcher's goroutine.
func (f *fleetMember) recordView(now time.Duration, state balance.LearnedState, freeCapacity []int) {
	workers := make([]observation.WorkerState, 0, len(state.Workers))
	for _, w := range state.Workers {
		unhealthy := w.ConsecutiveFailures > maxHealthyFailures || w.FailedHealthChecks > maxHealthyFailures
		workers = append(workers, observation.WorkerState{Worker: w.ID, StartedAt: w.StartedAt, Unhealthy: unhealthy})
	}
	view := &balancerView{observedAt: time.Now(), observations: f.observations.Observe(now, workers), freeCapacity: freeCapacity}
	if f.drainer != nil {
		view.workers = map[string]balance.WorkerState{}
		for _, w := range state.Workers {
			view.workers[w.ID] = balance.WorkerState{
				ID: w.ID, StartedAt: w.StartedAt, SlowStartAt: w.SlowStartAt,
				ConsecutiveFailures: w.ConsecutiveFailures, FailedHealthChecks: w.FailedHealthChecks,
			}
		}
	}
	f.lastView.Store(view)
}

// applyObservations passes the worker observations of other nodes to the dispatcher, on whose goroutine it is decided which
// worker restarts are accepted. It is called by the goroutine that owns the membership.
func (f *fleetMember) applyObservations(reports []membership.MemberObservations) {
	var all []codec.Observation
	for _, report := range reports {
		all = append(all, report.Observations...)
	}
	received := false
	hints := map[string][]observation.RestartHint{}
	f.node.dispatcher.ApplyHints(func(now time.Duration, w *balance.WorkerState) (changed bool) {
		if !received {
			received = true
			for _, hint := range f.observations.Receive(now, all) {
				hints[hint.Worker] = append(hints[hint.Worker], hint)
			}
		}
		for _, hint := range hints[w.ID] {
			if hint.StartedAt > w.StartedAt {
				w.StartedAt, changed = hint.StartedAt, true
				f.restartsAccepted.Add(1)
			}
		}
		return changed
	})
}
