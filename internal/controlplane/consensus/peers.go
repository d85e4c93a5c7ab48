package consensus

import (
	"slices"
	"time"
)

// helloValidityTicks is how long a received hello stays valid.
const helloValidityTicks = 3 * helloTicks

// receivedHello is the last hello received from a node.
type receivedHello struct {
	tick         int // of its arrival
	voter        Voter
	group        GroupID // zero: the sender has no state
	highestEpoch GroupID
}

// peerTable holds what is known of the other eligible nodes.
type peerTable struct {
	hellos      map[string]receivedHello
	reachable   map[string]bool          // according to membership
	absentSince map[string]time.Duration // of nodes that are not reachable
}

func newPeerTable() peerTable {
	return peerTable{hellos: map[string]receivedHello{}, reachable: map[string]bool{}, absentSince: map[string]time.Duration{}}
}

// update records what membership knows; eligible lists all nodes that may be voters, self is this node.
func (t *peerTable) update(now time.Duration, statuses []PeerStatus, eligible []string, self string) {
	for _, status := range statuses {
		t.reachable[status.Name] = status.Reachable
	}
	for _, name := range eligible {
		if t.reachable[name] || name == self {
			delete(t.absentSince, name)
		} else if _, known := t.absentSince[name]; !known {
			t.absentSince[name] = now
		}
	}
}

// UpdatePeers records what membership knows of the nodes that may be voters.
func (r *Replica) UpdatePeers(now time.Duration, statuses []PeerStatus) {
	r.clock.advance(now)
	r.peers.update(r.clock.now, statuses, r.eligibleNodes(), r.config.Name)
}

// eligibleNodes lists the nodes that may be voters.
func (r *Replica) eligibleNodes() []string {
	return slices.Concat(r.config.Replicas, r.config.Standbys)
}

// isEligible reports whether a node may be a voter.
func (r *Replica) isEligible(node string) bool {
	return slices.Contains(r.config.Replicas, node) || slices.Contains(r.config.Standbys, node)
}

// sendHellos sends this replica's voter ID and group to all other eligible nodes.
func (r *Replica) sendHellos() {
	for _, name := range r.eligibleNodes() {
		if name != r.config.Name {
			r.send(Voter{Node: name}, helloNotice{})
		}
	}
}

func (r *Replica) handleHello(m *message) {
	r.ObserveEpoch(m.HighestEpoch)
	r.peers.hellos[m.From.Node] = receivedHello{tick: r.clock.ticks, voter: m.From, group: m.Group, highestEpoch: m.HighestEpoch}
	r.resendFounding(m.From, m.Group)
}

// recentHello returns the last hello of a node; ok reports whether it is still valid.
func (r *Replica) recentHello(node string) (hello receivedHello, ok bool) {
	hello, ok = r.peers.hellos[node]
	return hello, ok && r.clock.ticks-hello.tick <= helloValidityTicks
}
