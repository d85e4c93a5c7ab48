package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// probeStage is the progress of a probe.
type probeStage int

const (
	stagePinged   probeStage = iota
	stageRepeated            // the Ping was sent a second time, since a single datagram may have been lost
	stageIndirect            // PingRequests were sent to helpers
	stageFailed
)

// probe is a pending probe of a peer.
type probe struct {
	seq           uint64
	target        *peer
	instanceID    uint64 // instance of the target when the probe started
	stage         probeStage
	nextStageAt   time.Duration
	helpersAsked  int
	nacks         int
	targetSuspect bool // the target was suspect when the probe started, so this probe may decide its status
}

// relayedProbe is a pending probe on behalf of another member (the indirect probe of SWIM).
type relayedProbe struct {
	seq          uint64
	target       string
	requester    string // address of the member that sent the PingRequest
	requesterSeq uint64 // sequence number of the PingRequest
	deadline     time.Duration
}

// prober holds the probe schedule, the pending probes of this node and those relayed for others.
type prober struct {
	nextAt  time.Duration
	order   []*peer // remaining peers of this round, taken from the end
	pending []*probe
	relayed []*relayedProbe
}

// insertAtRandom inserts a peer at a random position of the probe order.
func (p *prober) insertAtRandom(target *peer, random *rand.Rand) {
	at := 0
	if len(p.order) > 0 {
		at = random.IntN(len(p.order) + 1)
	}
	p.order = slices.Insert(p.order, at, target)
}

// next removes and returns the next peer to probe; nil if the order is empty.
func (p *prober) next() *peer {
	n := len(p.order)
	if n == 0 {
		return nil
	}
	target := p.order[n-1]
	p.order = p.order[:n-1]
	return target
}

// drop removes a peer that is no longer active, and cancels its probe.
func (p *prober) drop(target *peer) {
	p.order = slices.DeleteFunc(p.order, func(o *peer) bool { return o == target })
	p.cancel(target)
}

// cancel removes the pending probe of a peer.
func (p *prober) cancel(target *peer) {
	p.pending = slices.DeleteFunc(p.pending, func(q *probe) bool { return q.target == target })
}

// probing reports whether a probe of the peer is pending.
func (p *prober) probing(target *peer) bool {
	return slices.ContainsFunc(p.pending, func(q *probe) bool { return q.target == target })
}

// indexOf returns the index of the pending probe with a sequence number, or a negative value if there is none.
func (p *prober) indexOf(seq uint64) int {
	return slices.IndexFunc(p.pending, func(q *probe) bool { return q.seq == seq })
}

// takeRelayed removes and returns the relayed probe that an Ack from target with sequence number seq answers; nil if there
// is none.
func (p *prober) takeRelayed(seq uint64, target string) *relayedProbe {
	i := slices.IndexFunc(p.relayed, func(r *relayedProbe) bool { return r.seq == seq && r.target == target })
	if i < 0 {
		return nil
	}
	relayed := p.relayed[i]
	p.relayed = slices.Delete(p.relayed, i, i+1)
	return relayed
}

// expireRelayed removes and returns the relayed probes whose deadline has passed.
func (p *prober) expireRelayed(now time.Duration) (expired []*relayedProbe) {
	p.relayed = slices.DeleteFunc(p.relayed, func(r *relayedProbe) bool {
		over := now >= r.deadline
		if over {
			expired = append(expired, r)
		}
		return over
	})
	return expired
}

// nextDeadline returns when the next probe, probe stage or relayed probe is due.
func (p *prober) nextDeadline() time.Duration {
	next := p.nextAt
	for _, q := range p.pending {
		next = min(next, q.nextStageAt)
	}
	for _, r := range p.relayed {
		next = min(next, r.deadline)
	}
	return next
}

// postpone extends the deadlines of all pending and relayed probes.
func (p *prober) postpone(by time.Duration) {
	for _, q := range p.pending {
		q.nextStageAt += by
	}
	for _, r := range p.relayed {
		r.deadline += by
	}
}

// probeTimeout returns how long to wait for an Ack before the next stage of a probe. It grows with the local health score.
func (c *Core) probeTimeout() time.Duration {
	return c.config.Period / probeTimeoutsPerPeriod * time.Duration(1+c.health)
}

// runProbes advances the pending probes, and at the start of a period probes the next peer and sends gossip. Each two
// points of the local health score lengthen the interval between probes by one period.
func (c *Core) runProbes() {
	c.advanceProbes()
	if c.now < c.probes.nextAt {
		return
	}
	c.probes.nextAt = c.now + c.config.Period*time.Duration(1+c.health/2)
	if len(c.probes.order) == 0 {
		c.shuffleProbeOrder()
	}
	if target := c.probes.next(); target != nil {
		c.startProbe(target, false)
	}
	c.reprobeSuspects()
	c.gossip()
}

// advanceProbes moves the probes that timed out to their next stage.
func (c *Core) advanceProbes() {
	var failed []*probe
	for _, q := range c.probes.pending {
		if c.now < q.nextStageAt {
			continue
		}
		q.stage++
		switch q.stage {
		case stageRepeated:
			q.nextStageAt = c.now + c.probeTimeout()
			c.sendPing(q)
		case stageIndirect:
			q.nextStageAt = c.now + 2*c.probeTimeout()
			c.sendPingRequests(q)
		case stageFailed:
			failed = append(failed, q)
		}
	}
	c.probes.pending = slices.DeleteFunc(c.probes.pending, func(q *probe) bool { return q.stage == stageFailed })
	for _, q := range failed {
		c.handleProbeFailure(q)
	}
}

// sendPingRequests starts an indirect probe: it asks random members to ping the target. More of them are asked if the
// target is suspect.
func (c *Core) sendPingRequests(q *probe) {
	helpers := c.config.IndirectProbes
	if q.targetSuspect {
		helpers *= suspectHelpersFactor
	}
	for _, helper := range c.members.randomActive(helpers, q.target, c.random) {
		q.helpersAsked++
		request := codec.PingRequest{Target: q.target.record.Name}
		c.send(helper.record.Addr, c.packetWithGossip(helper, q.seq, request))
	}
}

// handleProbeFailure marks the target of an unanswered probe as suspect.
func (c *Core) handleProbeFailure(q *probe) {
	c.counters.FailedProbes++
	if q.nacks < q.helpersAsked { // a Nack was expected from each helper, so this node may be the one that loses packets
		c.health.worsen(1)
	}
	if q.target.instanceID == q.instanceID {
		c.markSuspect(q.target, c.self.record.Name, "no answer", true)
	}
}

// shuffleProbeOrder starts a new round, in which each active peer is probed once in random order. Peers that join during
// the round are inserted at a random position.
func (c *Core) shuffleProbeOrder() {
	for _, p := range c.members.byHash {
		if p.active() {
			c.probes.order = append(c.probes.order, p)
		}
	}
	order := c.probes.order
	c.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
}

// reprobeSuspects probes up to maxReprobes of the suspects that this node itself found unresponsive, in every period until
// the suspicion ends.
func (c *Core) reprobeSuspects() {
	reprobed := 0
	for _, p := range c.members.byHash {
		if reprobed == maxReprobes {
			return
		}
		if p.status == codec.Suspect && p.suspicion.local {
			reprobed++
			c.startProbe(p, true)
		}
	}
}

// startProbe starts a probe unless one of the same peer is already pending.
func (c *Core) startProbe(target *peer, targetSuspect bool) {
	if c.probes.probing(target) {
		return
	}
	c.counters.Probes++
	q := &probe{
		seq:           c.nextSeq(),
		target:        target,
		instanceID:    target.instanceID,
		nextStageAt:   c.now + c.probeTimeout(),
		targetSuspect: targetSuspect || target.status == codec.Suspect,
	}
	c.probes.pending = append(c.probes.pending, q)
	c.sendPing(q)
}

func (c *Core) sendPing(q *probe) {
	c.send(q.target.record.Addr, c.packetWithGossip(q.target, q.seq, codec.Ping{}))
}

// handleAck handles an Ack from the target of a probe or from a helper.
func (c *Core) handleAck(sender *peer, packet *codec.Packet, ack codec.Ack) {
	if ack.UnknownSender { // the sender of the Ack does not have this node as a member
		c.sendHello(sender.record.Addr, nil)
	}
	if relayed := c.probes.takeRelayed(packet.Seq, sender.record.Name); relayed != nil {
		c.relayAck(relayed, packet.From)
		return
	}
	i := c.probes.indexOf(packet.Seq)
	if i < 0 {
		return
	}
	answered, subject := c.probes.pending[i], packet.From
	if ack.Subject != nil {
		subject = *ack.Subject
	}
	target := answered.target
	if target.record.Name != subject.Name {
		return
	}
	c.probes.pending = slices.Delete(c.probes.pending, i, i+1)
	if subject.InstanceID != target.instanceID {
		return
	}
	if refutes(subject.Incarnation, target.incarnation) {
		c.markAlive(target, subject.Incarnation, "probe answered", sender.record.Name)
		c.broadcasts.enqueue(subject.Name, claimBroadcast)
	}
	c.health.improve()
}

// handleNack counts a Nack from a helper, which got no Ack from the target either.
func (c *Core) handleNack(seq uint64) {
	if i := c.probes.indexOf(seq); i >= 0 {
		c.probes.pending[i].nacks++
	}
}

// handlePingRequest pings a peer on behalf of the member at the address from.
func (c *Core) handlePingRequest(from string, seq uint64, request codec.PingRequest) {
	target := c.members.byName[request.Target]
	if target == nil || !target.active() || len(c.probes.relayed) >= maxRelayedProbes {
		return
	}
	relayed := &relayedProbe{
		seq:          c.nextSeq(),
		target:       request.Target,
		requester:    from,
		requesterSeq: seq,
		deadline:     c.now + c.probeTimeout(),
	}
	c.probes.relayed = append(c.probes.relayed, relayed)
	c.send(target.record.Addr, c.packetWithGossip(target, relayed.seq, codec.Ping{}))
}

// relayAck sends an Ack from the target of a relayed probe to the member that requested it.
func (c *Core) relayAck(relayed *relayedProbe, subject codec.Identity) {
	if requester := c.members.byAddr[relayed.requester]; requester != nil {
		ack := codec.Ack{Subject: &subject}
		c.send(relayed.requester, c.packetWithGossip(requester, relayed.requesterSeq, ack))
	}
}

// sendNack tells the member that requested a relayed probe that the target did not answer in time.
func (c *Core) sendNack(relayed *relayedProbe) {
	if requester := c.members.byAddr[relayed.requester]; requester != nil {
		c.send(relayed.requester, c.packetTo(requester.record.Name, relayed.requesterSeq, codec.Nack{}))
	}
}
