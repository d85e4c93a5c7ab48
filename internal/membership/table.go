package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// peer is the state of a member other than this node.
type peer struct {
	record          *codec.Record
	rawRecord       []byte // record as encoded by its owner
	recordUpdatedAt time.Duration
	nameHash        uint64

	instanceID  uint64
	incarnation uint64
	status      codec.Status
	statusSince time.Duration
	reportedBy  string // member that first reported the status
	suspicion   suspicion

	lastContact time.Duration // when a datagram was last received from it directly; never if none was
}

// active reports whether the peer takes part in the protocol: it is alive or suspect.
func (p *peer) active() bool { return p.status <= codec.Suspect }

// identity returns the peer's name, instance and highest known incarnation.
func (p *peer) identity() codec.Identity {
	return codec.Identity{Name: p.record.Name, InstanceID: p.instanceID, Incarnation: p.incarnation}
}

// digestEntry returns the peer's entry in a digest.
func (p *peer) digestEntry() codec.DigestEntry {
	return codec.DigestEntry{
		NameHash:    p.nameHash,
		InstanceID:  p.instanceID,
		Incarnation: p.incarnation,
		Seq:         p.record.Seq,
		Status:      p.status,
	}
}

// setStatus sets the status with its reporter, and clears the suspicion.
func (p *peer) setStatus(status codec.Status, since time.Duration, reporter string) {
	p.status = status
	p.statusSince = since
	p.reportedBy = reporter
	p.suspicion = suspicion{}
}

// memberTable holds the peers. Departed ones are retained for Config.ForgetAfter.
type memberTable struct {
	byName map[string]*peer
	byHash []*peer          // sorted by name hash, then by name
	byAddr map[string]*peer // active peers only
	active int              // number of active peers
}

func newMemberTable() memberTable {
	return memberTable{byName: map[string]*peer{}, byAddr: map[string]*peer{}}
}

// all returns a copy of the list of peers, sorted by hash. The table may be modified during iteration over it.
func (t *memberTable) all() []*peer { return slices.Clone(t.byHash) }

// insert adds a peer that is not active yet.
func (t *memberTable) insert(p *peer) {
	t.byName[p.record.Name] = p
	at, _ := slices.BinarySearchFunc(t.byHash, p, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.record.Name, b.record.Name))
	})
	t.byHash = slices.Insert(t.byHash, at, p)
}

// remove deletes a peer that is not active.
func (t *memberTable) remove(p *peer) {
	delete(t.byName, p.record.Name)
	t.byHash = slices.DeleteFunc(t.byHash, func(o *peer) bool { return o == p })
}

// activate adds a peer of the table to the active peers.
func (t *memberTable) activate(p *peer) {
	t.active++
	t.byAddr[p.record.Addr] = p
}

// deactivate removes a peer from the active peers.
func (t *memberTable) deactivate(p *peer) {
	t.active--
	t.dropAddr(p)
}

// dropAddr removes the peer from the address index, unless another peer has taken over its address.
func (t *memberTable) dropAddr(p *peer) {
	if t.byAddr[p.record.Addr] == p {
		delete(t.byAddr, p.record.Addr)
	}
}

// moveTo updates the address index for a peer whose new address is addr. It must be called before p.record is replaced.
func (t *memberTable) moveTo(p *peer, addr string) {
	if p.record.Addr == addr {
		return
	}
	t.dropAddr(p)
	if p.active() {
		t.byAddr[addr] = p
	}
}

// findByHash returns all peers whose name hash is hash.
func (t *memberTable) findByHash(hash uint64) []*peer {
	first, _ := slices.BinarySearchFunc(t.byHash, hash, func(p *peer, hash uint64) int {
		return cmp.Compare(p.nameHash, hash)
	})
	last := first
	for last < len(t.byHash) && t.byHash[last].nameHash == hash {
		last++
	}
	return t.byHash[first:last]
}

// oldestDeparted returns the peer that departed (died or left) first; nil if there is none.
func (t *memberTable) oldestDeparted() *peer {
	var oldest *peer
	for _, p := range t.byHash {
		if !p.active() && (oldest == nil || p.statusSince < oldest.statusSince) {
			oldest = p
		}
	}
	return oldest
}

// randomActive returns up to n distinct random active peers other than except.
func (t *memberTable) randomActive(n int, except *peer, random *rand.Rand) (drawn []*peer) {
	var from []*peer
	for _, p := range t.byHash {
		if p.active() && p != except {
			from = append(from, p)
		}
	}
	for range min(n, len(from)) {
		i := random.IntN(len(from))
		drawn = append(drawn, from[i])
		from[i] = from[len(from)-1]
		from = from[:len(from)-1]
	}
	return drawn
}

// nextSuspicionDeadline returns the earliest deadline of all suspicions.
func (t *memberTable) nextSuspicionDeadline() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, p := range t.byHash {
		if p.status == codec.Suspect {
			next = min(next, p.suspicion.deadline)
		}
	}
	return next
}

// postponeSuspicions extends the deadlines of all suspicions.
func (t *memberTable) postponeSuspicions(by time.Duration) {
	for _, p := range t.byHash {
		p.suspicion.deadline += by
	}
}
