package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// Member is one member in a View. Its Incarnation is the highest known, which may be above that in the member's record.
type Member struct {
	codec.Record
	Status          codec.Status
	StatusSince     time.Duration
	RecordUpdatedAt time.Duration
	ReportedBy      string // member that first reported the status
	Self            bool
}

// View is a snapshot of what a node knows about its fleet.
type View struct {
	Now            time.Duration // when the snapshot was taken
	Members        []Member      // sorted by name, including this node
	Conflicts      []Conflict
	Displaced      bool // another live process has this node's name, so this process takes no part in the fleet
	LocalHealth    int  // local health score: 0 is healthy
	UnreachedSeeds int  // seed addresses that no active member has
	ChangedAt      time.Duration
	Counters       Counters
}

// Healthy reports whether nothing in the view needs an operator's attention: no member is suspect or dead, there is no
// name conflict, and all seeds are reached.
func (v *View) Healthy() bool {
	for i := range v.Members {
		if status := v.Members[i].Status; status == codec.Suspect || status == codec.Dead {
			return false
		}
	}
	return !v.Displaced && len(v.Conflicts) == 0 && v.UnreachedSeeds == 0
}

// View returns a snapshot of the view. It copies and sorts all members, so it costs as much as many steps.
func (c *Core) View() View {
	view := View{
		Now:            c.now,
		Conflicts:      slices.Clone(c.names.conflicts),
		Displaced:      c.names.displaced,
		LocalHealth:    int(c.health),
		UnreachedSeeds: len(c.unreachedSeeds()),
		ChangedAt:      c.output.changedAt,
		Counters:       c.counters,
	}
	view.Members = append(view.Members, Member{Record: c.self.record, Status: c.self.status(), RecordUpdatedAt: c.now, Self: true})
	for _, peer := range c.members.byHash {
		member := Member{
			Record:          *peer.record,
			Status:          peer.status,
			StatusSince:     peer.statusSince,
			RecordUpdatedAt: peer.recordUpdatedAt,
			ReportedBy:      peer.reportedBy,
		}
		member.Incarnation = peer.incarnation
		view.Members = append(view.Members, member)
	}
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

// Self returns the node's own record.
func (c *Core) Self() codec.Record { return c.self.record }

// Lookup returns the identity and status of a member; ok is false if it is unknown. For this node the status is always Alive,
// even after Leave.
func (c *Core) Lookup(name string) (claim codec.Claim, ok bool) {
	if name == c.self.record.Name {
		return codec.Claim{Identity: c.self.record.Identity}, true
	}
	p := c.members.byName[name]
	if p == nil {
		return codec.Claim{}, false
	}
	return codec.Claim{Identity: p.identity(), Status: p.status, ReportedBy: p.reportedBy}, true
}

// Sample returns up to n distinct random active members other than this node. It uses the caller's source of random
// numbers, so that it does not affect the random decisions of the protocol.
func (c *Core) Sample(n int, random *rand.Rand) (names []string) {
	peers := c.members.byHash
	if len(peers) == 0 {
		return nil
	}
	// A bounded number of draws is cheaper than filtering all members, since most of them are active.
	for tries := 4 * n; tries > 0 && len(names) < n; tries-- {
		p := peers[random.IntN(len(peers))]
		if p.active() && !slices.Contains(names, p.record.Name) {
			names = append(names, p.record.Name)
		}
	}
	return names
}

// AddrOf returns a member's datagram address; ok is false if the member is not active.
func (c *Core) AddrOf(name string) (addr string, ok bool) {
	if name == c.self.record.Name {
		return c.self.record.Addr, true
	}
	p := c.members.byName[name]
	if p == nil || !p.active() {
		return "", false
	}
	return p.record.Addr, true
}

// VerifySender reports whether sender is an active member whose address is from, the source address of its packet.
func (c *Core) VerifySender(from string, sender codec.Identity) bool {
	p := c.members.byName[sender.Name]
	return !c.names.displaced && p != nil && p.active() && p.instanceID == sender.InstanceID && p.record.Addr == from
}

// MessageTo returns the datagram that carries a subprotocol message to a member. It returns nil if the member is not
// active or this node is displaced.
func (c *Core) MessageTo(name string, m codec.SubprotocolMessage) *Outgoing {
	addr, ok := c.AddrOf(name)
	if !ok || c.names.displaced {
		return nil
	}
	return &Outgoing{addr, c.packetTo(name, 0, m)}
}

// Sizes holds the sizes of a Core's tables and queues.
type Sizes struct {
	Members       int // members other than this node
	Broadcasts    int // queued claims and records
	Probes        int // pending probes of this node
	RelayedProbes int // pending probes on behalf of other members
}

// Sizes returns the sizes of the Core's tables and queues, so that their limits can be checked.
func (c *Core) Sizes() Sizes {
	return Sizes{
		Members:       len(c.members.byHash),
		Broadcasts:    len(c.broadcasts.queued),
		Probes:        len(c.probes.pending),
		RelayedProbes: len(c.probes.relayed),
	}
}

// CountByStatus returns the number of members in each status, including this node, and whether this node is displaced.
func (c *Core) CountByStatus() (count [codec.Left + 1]int, displaced bool) {
	count[c.self.status()]++
	for _, p := range c.members.byHash {
		count[p.status]++
	}
	return count, c.names.displaced
}
