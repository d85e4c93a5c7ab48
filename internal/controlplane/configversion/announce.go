package configversion

import (
	"math/rand/v2"
	"time"
)

// Parameters of the announcement of versions. A node that installs a new version announces it to initialFanout nodes at once, then
// to burstFanout nodes in each of burstRounds rounds, and after that to one node per period.
const (
	initialFanout        = 4
	burstRounds          = 5
	burstFanout          = 2
	burstRoundsPerPeriod = 5
)

// The time between regular announcements is random within these factors of the period, so that nodes do not announce in step.
const (
	minIntervalFactor  = 0.9
	intervalFactorSpan = 0.2
)

// announcer determines when a node announces the version that it holds, and to how many nodes.
type announcer struct {
	initial    int // number of nodes to announce to immediately
	roundsLeft int // remaining rounds of the burst
	nextAt     time.Duration
}

// startBurst starts the announcements of a version that is new on this node.
func (a *announcer) startBurst() {
	a.initial = initialFanout
	a.roundsLeft = burstRounds
}

// dueAt returns the time at which step is due.
func (a *announcer) dueAt(now time.Duration) time.Duration {
	if a.initial > 0 {
		return now
	}
	return a.nextAt
}

// step returns the number of nodes to announce to now.
func (a *announcer) step(now, period time.Duration, random *rand.Rand) int {
	if now < a.dueAt(now) {
		return 0
	}
	switch {
	case a.initial > 0:
		fanout := a.initial
		a.initial = 0
		a.nextAt = now + period/burstRoundsPerPeriod
		return fanout
	case a.roundsLeft > 0:
		a.roundsLeft--
		a.nextAt = now + period/burstRoundsPerPeriod
		return burstFanout
	}
	a.nextAt = now + time.Duration(float64(period)*(minIntervalFactor+intervalFactorSpan*random.Float64()))
	return 1
}

// announce sends a node the header of the version that this node holds.
func (d *Distributor) announce(recipient string, wantsReply bool) {
	d.stats.Announcements++
	d.send(recipient, announcement{header: d.latestHeader, wantsReply: wantsReply})
}

// handleAnnouncement handles the announcement of another node's version. A later version is fetched. If the sender
// holds an earlier version, or holds the same one and wants a reply, it is sent an announcement.
func (d *Distributor) handleAnnouncement(sender string, m announcement) {
	d.peerSeen = true
	switch order := m.header.ID.Compare(d.latestHeader.ID); {
	case order < 0 || order == 0 && m.wantsReply:
		d.announce(sender, false) // the sender is behind, or cannot know that it is not
	case order == 0 && m.header.Checksum != d.latestHeader.Checksum:
		d.stats.Conflicts++
		d.logf("%s holds a different body for revision %v than this node", sender, m.header.ID)
	case order > 0 && m.header.Size > 0 && m.header.Size <= MaxBodyBytes:
		d.startFetch(m.header, true, sender)
	}
}
