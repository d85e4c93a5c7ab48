package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/controlplane/consensus"
	"swiftdeal/internal/membership/codec"
)

// Node: it polls a replica once per period for its assignment.

const (
	// confirmPeriods is the maximum age of a request for the node to leave service on its confirmation.
	confirmPeriods = 2
	// unavailablePeriods is the time without a known leader after which the control plane counts as unavailable.
	unavailablePeriods = 5
	// replyPeriods is the maximum age of a request for its reply to be processed.
	replyPeriods = requestPeriods
	// Polls are sent at random intervals between 0.9 and 1.1 periods.
	minPollIntervalPeriods = 0.9
	pollJitterPeriods      = 0.2
)

// poller selects the replica to poll and tracks the requests whose replies are still valid.
type poller struct {
	targets      []string // replicas and standbys
	preferred    string   // leader named by the last reply; cleared when a request is sent
	rotation     int      // counter that selects the next target while no leader is known
	lastSeq      uint64
	sentAt       map[uint64]time.Duration // send times by sequence number
	nextAt       time.Duration
	epoch        consensus.GroupID // highest epoch that this node has seen
	lastIndex    uint64            // applied index of the last accepted reply of that epoch
	leaderSeenAt time.Duration     // last reply of a replica that knows a leader
}

func newPoller(targets []string, random *rand.Rand, now time.Duration) poller {
	return poller{
		targets: targets, rotation: random.IntN(len(targets) + 1), lastSeq: random.Uint64() >> 1,
		sentAt: map[uint64]time.Duration{}, nextAt: now, leaderSeenAt: now,
	}
}

func (p *poller) isTarget(node string) bool { return slices.Contains(p.targets, node) }

// scheduleNext sets the time of the next poll to one period from now, with jitter.
func (p *poller) scheduleNext(now, period time.Duration, random *rand.Rand) {
	p.nextAt = now + time.Duration(float64(period)*(minPollIntervalPeriods+pollJitterPeriods*random.Float64()))
}

func (p *poller) nextSeq() uint64 {
	p.lastSeq++
	return p.lastSeq
}

// nextTarget returns the node to send the next request to: the leader as long as it replies, else the replicas and standbys in turn.
func (p *poller) nextTarget() string {
	target := p.preferred
	p.preferred = ""
	if target == "" {
		target = p.targets[p.rotation%len(p.targets)]
		p.rotation++
	}
	return target
}

// expire removes requests that are older than maxAge.
func (p *poller) expire(now, maxAge time.Duration) {
	for seq, sentAt := range p.sentAt {
		if now-sentAt > maxAge {
			delete(p.sentAt, seq)
		}
	}
}

// assignment is what the control plane currently has assigned to this node, according to its last reply.
type assignment struct {
	registered   bool       // this instance is registered with the control plane
	grant        *nodeGrant // nil if there is none
	workerDrains []workerDrain
	synced       bool // a reply with the assignment has been received
}

// AssignedGrant returns the grant for this node according to the control plane's last reply, or 0.
func (a *Agent) AssignedGrant() uint64 {
	if a.assignment.grant == nil {
		return 0
	}
	return a.assignment.grant.ID
}

// Synced reports whether the node has received its assignment, and so knows which workers are drained.
func (a *Agent) Synced() bool { return a.assignment.synced }

// poll sends this node's state to a replica and requests its assignment.
func (a *Agent) poll() {
	request := a.newPollRequest()
	request.ConfirmGrant = a.exit.confirming
	request.ReturnedGrant = a.returnedGrant()
	a.sendPollRequest(request)
	a.poller.expire(a.now, replyPeriods*a.config.Period)
}

func (a *Agent) newPollRequest() *pollRequest {
	request := &pollRequest{
		Seq:           a.poller.nextSeq(),
		InstanceID:    a.config.InstanceID,
		Incarnation:   a.local.Incarnation,
		Epoch:         a.poller.epoch,
		State:         a.local.State,
		Site:          a.config.Site,
		Version:       a.config.Version,
		RequestCounts: a.local.RequestCounts,
		OutOfRotation: a.local.OutOfRotation,
		Resumable:     a.local.Resumable,
	}
	if a.distributor != nil {
		request.Settings = a.localSettings()
	}
	for _, drain := range a.assignment.workerDrains {
		if a.local.Quiesced != nil && a.local.Quiesced(drain.Worker) {
			request.QuiescedGrants = append(request.QuiescedGrants, drain.GrantID)
		}
	}
	return request
}

// sendPollRequest sends a request to the next target, which may be this node.
func (a *Agent) sendPollRequest(request *pollRequest) {
	a.poller.sentAt[request.Seq] = a.now
	a.stats.PollsSent++
	target := a.poller.nextTarget()
	if target != a.config.Name {
		a.send(target, codec.KindPollRequest, codec.Encode(request))
	} else if a.consensus != nil {
		a.handlePollRequest(a.config.Name, request)
	}
}

// handlePollReply handles a replica's reply.
func (a *Agent) handlePollReply(reply *pollReply) {
	poller := &a.poller
	sentAt, ok := poller.sentAt[reply.Seq]
	if !ok {
		return // unknown request, or one so old that the reply is outdated
	}
	a.stats.RepliesReceived++
	if reply.Epoch.Compare(poller.epoch) < 0 {
		return
	}
	if reply.Epoch != poller.epoch {
		poller.epoch, poller.lastIndex = reply.Epoch, 0
		a.exit.confirming = 0
	}
	poller.preferred = reply.Leader
	if reply.FromLeader || reply.Leader != "" {
		poller.leaderSeenAt = a.now
	}
	if reply.AppliedIndex >= poller.lastIndex && !reply.Epoch.IsZero() {
		poller.lastIndex = reply.AppliedIndex
		a.assignment.registered = reply.Registered
		a.assignment.grant = reply.Grant
		a.updateWorkerDrains(reply.WorkerDrains)
	}
	if reply.Result != nil {
		a.requests.finish(reply.Seq, *reply.Result)
	}
	if reply.Voided && reply.ConfirmedGrant == 0 {
		a.exit.confirming = 0
	}
	// A process that was suspended must not act on an outdated confirmation. It requests a new one.
	isFresh := a.now-sentAt <= confirmPeriods*a.config.Period
	if reply.ConfirmedGrant != 0 && reply.ConfirmedGrant == a.exit.confirming && isFresh && a.exit.grantID == 0 {
		a.startExit()
	}
}

// updateWorkerDrains replaces the set of drained workers.
func (a *Agent) updateWorkerDrains(drains []workerDrain) {
	if a.assignment.synced && slices.Equal(drains, a.assignment.workerDrains) {
		return
	}
	a.assignment.synced = true
	a.assignment.workerDrains = drains
	var workers []string
	for _, drain := range drains {
		workers = append(workers, drain.Worker)
	}
	a.emit(DrainWorkersAction{Workers: workers})
}

// UnavailableReason returns why the control plane counts as unavailable to this node, or "" if it is available.
func (a *Agent) UnavailableReason() string {
	silence := a.now - a.poller.leaderSeenAt
	switch {
	case a.poller.epoch.IsZero():
		return "no group of it has been heard of"
	case silence > unavailablePeriods*a.config.Period:
		return fmt.Sprintf("no seat has named a leader for %v", silence.Round(100*time.Millisecond))
	}
	return ""
}
