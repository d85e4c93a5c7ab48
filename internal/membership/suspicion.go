package membership

import (
	"math"
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// suspicion is the state of a suspect peer: its reporters and the deadline for a refutation.
type suspicion struct {
	reporters []string
	local     bool // this node is one of the reporters
	deadline  time.Duration
}

// confirm adds a reporter; local is true if this node itself found the peer unresponsive. It returns true if the reporter was
// added, or if it was known and the suspicion has become local. Beyond maxConfirmations + 1 reporters none is added and it
// returns false, but if local is true, the suspicion still becomes local.
func (s *suspicion) confirm(reporter string, local bool) bool {
	known := slices.Contains(s.reporters, reporter)
	if known && (s.local || !local) {
		return false
	}
	s.local = s.local || local
	if known {
		return true
	}
	if len(s.reporters) > maxConfirmations {
		return false
	}
	s.reporters = append(s.reporters, reporter)
	return true
}

// markSuspect marks a peer as suspect, or adds a confirmation if it already is. local is true if this node itself found
// the peer unresponsive.
func (c *Core) markSuspect(p *peer, by, reason string, local bool) {
	switch p.status {
	case codec.Alive:
		p.setStatus(codec.Suspect, c.now, by)
		p.suspicion = suspicion{reporters: []string{by}, local: local}
		c.counters.Suspicions++
		c.addChange(p.record.Name, p.incarnation, EventSuspected, reason, by)
	case codec.Suspect:
		if !p.suspicion.confirm(by, local) {
			return
		}
	default:
		return
	}
	p.suspicion.deadline = p.statusSince + c.suspicionTimeout(&p.suspicion)
	c.broadcasts.enqueue(p.record.Name, claimBroadcast)
}

// sendClaimAbout sends a suspect or dead peer the claim about itself, so that it can refute, together with broadcasts.
func (c *Core) sendClaimAbout(p *peer) {
	c.send(p.record.Addr, c.packetWithGossip(p, 0, codec.Gossip{}))
}

// logMembers returns the logarithm of the fleet size that scales the number of transmissions of a broadcast.
func (c *Core) logMembers() float64 {
	return math.Ceil(math.Log2(float64(c.members.active + 2)))
}

// minSuspicionTimeout returns the suspicion timeout once all expected confirmations have arrived.
func (c *Core) minSuspicionTimeout() time.Duration {
	return c.periods(c.config.SuspicionMult * max(1, math.Log10(float64(c.members.active+1))))
}

// suspicionTimeout returns the suspicion timeout by Lifeguard's formula, in which each further reporter shortens it. Nodes
// that only received the claim wait longer, so that the reporters, which go on probing the suspect, decide.
func (c *Core) suspicionTimeout(s *suspicion) time.Duration {
	shortest := c.minSuspicionTimeout()
	timeout := shortest
	if expected := min(maxConfirmations, c.members.active-1); expected > 0 {
		longest := maxSuspicionFactor * shortest
		confirmations := float64(min(len(s.reporters)-1, expected))
		cut := float64(longest-shortest) * math.Log(confirmations+1) / math.Log(float64(expected)+1)
		timeout = max(shortest, longest-time.Duration(cut))
	}
	if !s.local {
		timeout *= indirectSuspicionFactor
	}
	return timeout
}
