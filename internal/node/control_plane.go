package node

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/control"
	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/replica"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/membership/gossip"
)

// maxReportedClasses is the maximum number of classes whose request counts are reported to the control plane.
const maxReportedClasses = 12

// replicaUnavailable answers a control plane call while the node's replica does not run or is busy.
const replicaUnavailable = "the node's part in the fleet has not begun, or is busy"

// newReplica creates the node's control plane replica when the node joins the fleet. It returns nil on failure.
func (f *fleetMember) newReplica(instanceID uint64, now time.Duration) gossip.Subprotocol {
	log := f.log.With("part", "council")
	service, err := replica.New(replica.Config{
		Fleet: f.config.Fleet, Name: f.name(), ProgramVersion: f.config.ProgramVersion, InstanceID: instanceID,
		SlowStartDuration: f.config.Settings.Balance.SlowStartDuration, LockTimeout: f.node.limits.BindTimeout,
		Random: f.machine.Random, Drainer: f.drainer,
	}, controlPlaneHost{f}, now, log)
	if err != nil {
		log.Error("control plane unavailable", "error", err)
		return nil
	}
	return service
}

// awaitsControlPlane reports whether the node is not ready because it does not know yet which workers are drained, or
// which fleet settings apply. The wait is bounded: an unavailable control plane does not keep a node out of service.
func (f *fleetMember) awaitsControlPlane() bool {
	if !f.hasControlPlane() {
		return false
	}
	awaitsDrains := !f.drainsKnown.Load() && time.Since(f.startedAt) <= f.node.limits.ControlPlaneReadyTimeout
	return awaitsDrains || f.node.fleetSettings.awaitsFirst()
}

// withReplica runs do on the goroutine that owns the node's replica, and waits for it. It reports whether do ran, which
// it does not if there is no running replica.
func (f *fleetMember) withReplica(do func(now time.Duration, service *replica.Service)) (done bool) {
	f.currentService().Do(func(now time.Duration, subprotocol gossip.Subprotocol) {
		do(now, subprotocol.(*replica.Service))
		done = true
	})
	return done
}

// notifyReplica makes the node's replica fetch the results of applied settings versions at once. It does not wait.
func (f *fleetMember) notifyReplica() {
	if f != nil {
		go f.currentService().Do(func(time.Duration, gossip.Subprotocol) {}) // the owner fetches them after each call
	}
}

// replicaMetrics returns the metrics of the control plane, or none without a control plane.
func (f *fleetMember) replicaMetrics() (list []control.Family) {
	f.withReplica(func(now time.Duration, service *replica.Service) {
		report := service.Report(now)
		list = controlPlaneMetrics(report)
		if distributor := service.Distributor(); distributor != nil {
			list = append(list, settingsMetrics(report.Settings, distributor)...)
		}
	})
	return list
}

// ControlPlaneCall implements control.Backend.
func (n *Node) ControlPlaneCall(path string, query url.Values, body []byte) (status int, answer any) {
	f := n.fleet
	if !f.hasControlPlane() {
		return http.StatusNotFound, "this node has no part in a council"
	}
	switch path {
	case "settings":
		return f.showSettings()
	case "settings-call":
		return f.settingsCall(body)
	case "call":
		return f.operatorCall(body)
	}
	status, answer = http.StatusServiceUnavailable, replicaUnavailable
	f.withReplica(func(now time.Duration, service *replica.Service) {
		switch path {
		case "council":
			status, answer = http.StatusOK, service.Report(now)
		case "duty":
			status, answer = f.supervisorAction(service, query.Get("node"))
		case "did":
			status, answer = beginRestart(service, query.Get("permit"))
		}
	})
	return status, answer
}

// operatorCall submits an operator's request to the control plane and waits for the result.
func (f *fleetMember) operatorCall(body []byte) (status int, answer any) {
	var request controlplane.OperatorRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	reply := make(chan controlplane.Result, 1)
	if !f.withReplica(func(now time.Duration, service *replica.Service) { service.Submit(now, request, reply) }) {
		return http.StatusServiceUnavailable, replicaUnavailable
	}
	return f.awaitReply(reply)
}

// awaitReply waits for the result of a control plane call, at most for ControlPlaneCallTimeout.
func (f *fleetMember) awaitReply(reply <-chan controlplane.Result) (status int, answer any) {
	timer := time.NewTimer(f.node.limits.ControlPlaneCallTimeout)
	defer timer.Stop()
	select {
	case result := <-reply:
		return http.StatusOK, result
	case <-timer.C:
		return http.StatusGatewayTimeout, "no answer of the council yet; the call goes on: look at its status"
	}
}

// supervisorAction returns what the supervisor of a node's process may do with it now. An empty name means this node.
func (f *fleetMember) supervisorAction(service *replica.Service, node string) (status int, answer any) {
	if node == "" || node == f.name() {
		return http.StatusOK, service.SupervisorAction()
	}
	action, ok := service.SupervisorActionFor(node)
	if !ok {
		return http.StatusMisdirectedRequest, "this node has no seat"
	}
	return http.StatusOK, action
}

// beginRestart records that the supervisor is about to restart this node's process under a grant.
func beginRestart(service *replica.Service, grant string) (status int, answer any) {
	action, ok := service.BeginRestart(grant)
	if !ok {
		return http.StatusConflict, "nothing is to be done under that permit now"
	}
	return http.StatusOK, action
}

// controlPlaneHost is the interface of the node to its control plane replica.
type controlPlaneHost struct{ member *fleetMember }

// State implements replica.Host.
func (h controlPlaneHost) State() codec.ServiceState { return h.member.state() }

// OutOfRotation implements replica.Host.
func (h controlPlaneHost) OutOfRotation() bool {
	draining, _ := h.member.node.drainState.draining()
	return draining
}

// Idle implements replica.Host.
func (h controlPlaneHost) Idle() bool { return h.member.node.admission.OpenRequests() == 0 }

// Drain implements replica.Host.
func (h controlPlaneHost) Drain() { h.member.node.requestDrain(time.Now(), false) }

// Resume implements replica.Host.
func (h controlPlaneHost) Resume() { h.member.node.Resume() }

// SetSynced implements replica.Host.
func (h controlPlaneHost) SetSynced(synced bool) {
	h.member.drainsKnown.Store(synced)
	h.member.node.handover.notifyLinked() // the drained workers may have changed
}

// RequestCounts implements replica.Host.
func (h controlPlaneHost) RequestCounts() map[string]rollout.Count {
	counts := map[string]rollout.Count{}
	for _, c := range h.member.node.accounting.Counts() {
		if c.Served+c.Failed+c.Rejected > 0 && len(counts) < maxReportedClasses {
			counts[c.Class] = rollout.Count{Served: c.Served, Failed: c.Failed, Rejected: c.Rejected, Late: c.Late}
		}
	}
	return counts
}

// WorkerStates implements replica.Host.
func (h controlPlaneHost) WorkerStates() (workers map[string]balance.WorkerState, freeCapacity map[string]int, now time.Duration) {
	view := h.member.lastView.Load()
	if view == nil {
		return nil, nil, 0
	}
	n := h.member.node
	return view.workers, n.settings.byClassName(view.freeCapacity), n.dispatcher.Now()
}

// ApplySettings implements replica.Host.
func (h controlPlaneHost) ApplySettings(version *configversion.Version) {
	h.member.node.fleetSettings.submit(version)
}

// TakeAppliedSettings implements replica.Host.
func (h controlPlaneHost) TakeAppliedSettings() []replica.AppliedSettings {
	return h.member.node.fleetSettings.takeResults()
}

// SettingsKnown implements replica.Host.
func (h controlPlaneHost) SettingsKnown() { h.member.node.fleetSettings.known.Store(true) }
