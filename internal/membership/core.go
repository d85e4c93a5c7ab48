// Package membership implements SWIM-style group membership: it maintains one node's view of the fleet, that is, the
// status and the latest record of each member. It is a deterministic state machine that takes datagrams and the current
// time as input and produces datagrams and membership changes. It does no I/O, reads no clock and draws random numbers
// only from the source that it is given, so the same input always produces the same view.
//
// The protocol is SWIM with Lifeguard's local health score and suspicion timeouts; docs/design/view.md discusses the
// design choices. Times are offsets on the host's monotonic clock from an origin that the host chooses.
//
// The host must call Receive for each received packet, call Step no later than NextStepAt, and after each call send the
// datagrams that TakeOutgoing returns. A Core is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"time"

	"swiftdeal/internal/membership/codec"
)

// Core is the membership state machine of one node. Each part of the protocol keeps its state in a type of its own;
// operations that involve several parts are methods of Core, in the file of the part that initiates them.
type Core struct {
	config     Config
	random     *rand.Rand
	now        time.Duration
	nextStepAt time.Duration
	lastSeq    uint64 // last sequence number assigned by nextSeq

	self       localMember
	members    memberTable
	broadcasts broadcastQueue
	probes     prober
	sync       antiEntropy
	joining    joinState
	names      nameConflicts
	health     localHealth
	output     output
	counters   Counters
}

// New returns a Core with no known members other than the node itself. The Core keeps using random after New returns.
func New(config Config, random *rand.Rand, now time.Duration) *Core {
	config.SetDefaults()
	c := &Core{
		config:     config,
		random:     random,
		now:        now,
		self:       newLocalMember(config.Self, config.InstanceID),
		members:    newMemberTable(),
		broadcasts: newBroadcastQueue(),
		sync:       newAntiEntropy(),
		joining:    newJoinState(&config, random),
		output:     output{changedAt: now},
	}
	c.self.rebuildRecord()
	c.probes.nextAt = now + c.jitter(1)
	c.joining.nextReconnectAt = now // contact the seeds in the first step
	c.sync.nextAt = now + c.jitter(float64(config.SyncPeriods))
	c.self.nextLoadAt = now
	c.Step(now)
	return c
}

// Step runs all work that is due. It may be called at any time, and must be called no later than NextStepAt. If now is
// before the time of an earlier call, the earlier time is used.
func (c *Core) Step(now time.Duration) {
	c.now = max(c.now, now)
	c.detectStall()
	c.expire()
	if c.self.left {
		c.gossipDeparture()
		return
	}
	c.checkNameConflict()
	if !c.names.displaced {
		c.runProbes()
		c.reconnect()
		c.startSync()
		c.broadcastLoad()
	}
	c.scheduleNextStep()
}

// Receive handles a packet received from the address from.
func (c *Core) Receive(now time.Duration, from string, packet *codec.Packet) {
	c.now = max(c.now, now)
	c.handlePacket(from, packet)
	if !c.self.left {
		c.scheduleNextStep()
	}
}

// NextStepAt returns the time by which Step must be called. A call of any other method may make it earlier.
func (c *Core) NextStepAt() time.Duration { return c.nextStepAt }

// scheduleNextStep computes nextStepAt from the deadlines of all parts.
func (c *Core) scheduleNextStep() {
	next := c.now + c.config.Period
	if c.names.rival != nil {
		next = min(next, c.names.rival.nextAttemptAt)
	}
	if !c.names.displaced {
		next = min(next, c.joining.nextReconnectAt, c.sync.nextAt, c.self.nextLoadAt)
		next = min(next, c.probes.nextDeadline(), c.members.nextSuspicionDeadline())
	}
	c.nextStepAt = max(next, c.now)
}

// expire declares members dead whose suspicion timed out, and removes departed members, name conflicts and relayed
// probes that have reached the end of their retention or deadline.
func (c *Core) expire() {
	for _, p := range c.members.all() {
		switch {
		case p.status == codec.Suspect && c.now >= p.suspicion.deadline:
			c.markDeparted(p, codec.Dead, 0, "suspicion timed out", c.self.record.Name)
		case !p.active() && c.now-p.statusSince >= c.config.ForgetAfter:
			c.forget(p)
		}
	}
	c.names.expire(c.now - c.periods(conflictRetentionPeriods))
	for _, relayed := range c.probes.expireRelayed(c.now) {
		c.sendNack(relayed)
	}
}

// detectStall checks whether Step was called late because the process was stopped or got no CPU time. Replies may have
// arrived meanwhile without being read, so the deadlines of suspicions and of pending and relayed probes and the next probe
// of a rival are postponed by the delay, and the local health score is raised. The times of the next periodic probe, sync,
// reconnect and load broadcast stay.
func (c *Core) detectStall() {
	late := c.now - c.nextStepAt
	if c.nextStepAt == 0 || late <= c.config.Period/2 {
		return
	}
	c.counters.Stalls++
	c.health.worsen(1 + int(late/c.config.Period))
	if late > reportedStallPeriods*c.config.Period {
		reason := "stalled for " + late.Round(time.Millisecond).String()
		c.addChange(c.self.record.Name, c.self.record.Incarnation, EventStalled, reason, "")
	}
	c.members.postponeSuspicions(late)
	c.probes.postpone(late)
	c.names.postpone(late)
}

// jitter returns a random duration between 0.5 and 1.5 times the given number of periods, so that periodic work of
// different nodes does not synchronize.
func (c *Core) jitter(periods float64) time.Duration {
	return time.Duration(float64(c.config.Period) * periods * (0.5 + c.random.Float64()))
}

// periods returns the duration of n protocol periods.
func (c *Core) periods(n float64) time.Duration {
	return time.Duration(float64(c.config.Period) * n)
}

// nextSeq returns the sequence number for the next request of this node.
func (c *Core) nextSeq() uint64 {
	c.lastSeq++
	return c.lastSeq
}

// send queues a packet to be sent to addr.
func (c *Core) send(addr string, packet *codec.Packet) {
	c.output.datagrams = append(c.output.datagrams, Outgoing{addr, packet})
}

// packetTo returns a packet for the named member without piggybacked gossip.
func (c *Core) packetTo(recipient string, seq uint64, m codec.Message) *codec.Packet {
	return &codec.Packet{Seq: seq, From: c.self.record.Identity, Recipient: recipient, Message: m}
}
