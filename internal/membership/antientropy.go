package membership

import (
	"math"
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// antiEntropy holds the state of anti-entropy: the periodic comparison of the whole view with a random member, which
// repairs differences that remain when broadcasts are lost.
type antiEntropy struct {
	nextAt time.Duration // next periodic sync
	lastAt time.Duration // last sync, including those that were not periodic

	windowStart time.Duration // start of the rate limit window for deltas
	deltas      int           // deltas sent in the window
}

func newAntiEntropy() antiEntropy {
	return antiEntropy{lastAt: never, windowStart: never}
}

// openWindow starts a new rate limit window if the current one is older than a period.
func (a *antiEntropy) openWindow(now, period time.Duration) {
	if now-a.windowStart >= period {
		a.windowStart = now
		a.deltas = 0
	}
}

// startSync starts an anti-entropy sync with a random member if it is due.
func (c *Core) startSync() {
	if c.now < c.sync.nextAt {
		return
	}
	c.sync.nextAt = c.now + c.jitter(float64(c.config.SyncPeriods))
	if drawn := c.members.randomActive(1, nil, c.random); len(drawn) > 0 {
		c.sendDigests(drawn[0], 0)
	}
}

// sendDigests sends a member digests of the part of the view whose name hashes are at least first. A full sync (first is 0)
// is started at most once in half a period; otherwise the call does nothing.
func (c *Core) sendDigests(to *peer, first uint64) {
	if first == 0 && c.now-c.sync.lastAt < c.config.Period/2 {
		return
	}
	if first == 0 {
		c.sync.lastAt = c.now
		c.counters.Syncs++
	}
	w := digestWriter{core: c, recipient: to, first: first}
	selfAdded := false
	for _, p := range c.members.byHash {
		if !selfAdded && p.nameHash > c.self.nameHash {
			w.add(c.self.digestEntry())
			selfAdded = true
		}
		w.add(p.digestEntry())
	}
	if !selfAdded {
		w.add(c.self.digestEntry())
	}
	w.flush(math.MaxUint64)
}

// digestWriter splits entries, which must be added in order of their hashes, into digests of bounded size and sends them.
type digestWriter struct {
	core      *Core
	recipient *peer
	first     uint64 // first hash of the next digest
	entries   []codec.DigestEntry
}

// add adds an entry. Entries with the same hash are never split between two digests.
func (w *digestWriter) add(e codec.DigestEntry) {
	if e.NameHash < w.first {
		return
	}
	if n := len(w.entries); n >= maxDigestEntries && w.entries[n-1].NameHash != e.NameHash {
		w.flush(w.entries[n-1].NameHash)
	}
	if w.entries == nil {
		w.entries = make([]codec.DigestEntry, 0, min(len(w.core.members.byHash)+1, maxDigestEntries))
	}
	w.entries = append(w.entries, e)
}

// flush sends the pending entries as a digest that covers the hashes up to last.
func (w *digestWriter) flush(last uint64) {
	digest := codec.Digest{FirstHash: w.first, LastHash: last, Entries: w.entries}
	w.core.send(w.recipient.record.Addr, w.core.packetTo(w.recipient.record.Name, 0, digest))
	w.first = last + 1
	w.entries = nil
}

// handleDigest answers a digest with deltas of the members that are newer here, and pulls those that are newer at its
// sender.
func (c *Core) handleDigest(sender *peer, digest codec.Digest) {
	if digest.FirstHash > digest.LastHash || len(digest.Entries) > maxReceivedEntries {
		c.counters.Rejected++
		return
	}
	c.refuteDigest(sender, digest.Entries)
	newer, toPull := c.compareDigest(&digest)
	if len(toPull) > 0 {
		pull := codec.Pull{Hashes: toPull[:min(len(toPull), maxPulledHashes)]}
		c.send(sender.record.Addr, c.packetTo(sender.record.Name, 0, pull))
	}
	slices.Sort(newer)
	c.sendDeltas(sender, newer, digest.LastHash)
}

// refuteDigest refutes entries about this process that carry a higher incarnation than its own. From an entry with status
// Alive it only adopts the incarnation.
func (c *Core) refuteDigest(sender *peer, entries []codec.DigestEntry) {
	self := &c.self.record
	for _, e := range entries {
		if e.NameHash != c.self.nameHash || e.InstanceID != self.InstanceID || e.Incarnation <= self.Incarnation {
			continue
		}
		identity := codec.Identity{Name: self.Name, InstanceID: self.InstanceID, Incarnation: e.Incarnation}
		c.applyClaimAboutSelf(codec.Claim{Identity: identity, Status: e.Status}, sender.record.Name)
	}
}

// compareDigest compares the view with a digest. It returns the hashes of the members for which this node has newer
// information than the digest, and of those to pull: the digest is newer, or they are not known here.
func (c *Core) compareDigest(digest *codec.Digest) (newer, toPull []uint64) {
	theirs := make(map[uint64]codec.DigestEntry, len(digest.Entries))
	for _, e := range digest.Entries {
		theirs[e.NameHash] = e
	}
	compare := func(ours codec.DigestEntry) {
		if ours.NameHash < digest.FirstHash || ours.NameHash > digest.LastHash {
			return
		}
		e, ok := theirs[ours.NameHash]
		delete(theirs, ours.NameHash)
		if !ok || older(e, ours) {
			newer = append(newer, ours.NameHash)
		}
		isThisInstance := ours.NameHash == c.self.nameHash && ours.InstanceID == e.InstanceID
		if ok && older(ours, e) && !isThisInstance {
			toPull = append(toPull, ours.NameHash)
		}
	}
	compare(c.self.digestEntry())
	for _, p := range c.members.byHash {
		compare(p.digestEntry())
	}
	for _, e := range digest.Entries {
		if _, unmatched := theirs[e.NameHash]; unmatched && e.NameHash != c.self.nameHash {
			toPull = append(toPull, e.NameHash)
		}
	}
	return newer, toPull
}

// older reports whether b contains any newer information than a.
func older(a, b codec.DigestEntry) bool {
	switch {
	case a.InstanceID != b.InstanceID:
		return b.Incarnation > a.Incarnation || b.Incarnation == a.Incarnation && b.InstanceID > a.InstanceID
	case a.Incarnation != b.Incarnation:
		return b.Incarnation > a.Incarnation || b.Seq > a.Seq
	}
	return b.Status > a.Status || b.Seq > a.Seq
}

// sendDeltas sends a member the records and claims of the members with the given name hashes. The number of deltas in each
// call and in each period is limited. last is the last hash that the answered digest covers, or 0 if the deltas answer a
// Pull. If the limit of the call is reached at a peer's record in answer to a digest, a final Delta tells the recipient from
// which hash to continue. It is withheld when the limit of the period is reached.
func (c *Core) sendDeltas(to *peer, hashes []uint64, last uint64) {
	c.sync.openWindow(c.now, c.config.Period)
	w := deltaWriter{core: c, recipient: to}
	for _, hash := range hashes {
		if hash == c.self.nameHash && !w.add(c.self.rawRecord, c.self.claim()) {
			break
		}
		for _, p := range c.members.findByHash(hash) {
			if p == to || w.add(p.rawRecord, c.claimAbout(p)) {
				continue
			}
			if last != 0 && c.sync.deltas < maxDeltasPerPeriod {
				c.send(to.record.Addr, c.packetTo(to.record.Name, 0, codec.Delta{NextHash: hash}))
			}
			return
		}
	}
	w.flush()
}

// deltaWriter packs records with their claims into deltas of bounded size, and limits the number of deltas.
type deltaWriter struct {
	core      *Core
	recipient *peer
	packet    *codec.Packet // delta that is being filled; nil if there is none
	bytesLeft int           // free space in packet
	sent      int           // deltas begun by this writer
}

// add adds a record with its claim. It returns false if another delta would be needed and the limit is reached; all
// earlier deltas have been sent then.
func (w *deltaWriter) add(raw []byte, claim codec.Claim) bool {
	size := len(raw) + recordOverhead + claimBytes(&claim)
	if w.packet != nil && size > w.bytesLeft {
		w.flush()
	}
	if w.packet == nil && !w.begin() {
		return false
	}
	w.bytesLeft -= size
	w.packet.Records = append(w.packet.Records, raw)
	w.packet.Claims = append(w.packet.Claims, claim)
	return true
}

// begin starts another delta, unless a limit is reached.
func (w *deltaWriter) begin() bool {
	if w.sent >= maxDeltasPerDigest || w.core.sync.deltas >= maxDeltasPerPeriod {
		return false
	}
	w.sent++
	w.core.sync.deltas++
	w.packet = w.core.packetTo(w.recipient.record.Name, 0, codec.Delta{})
	w.bytesLeft = codec.MaxDatagramBytes - reservedBytes
	return true
}

// flush sends the delta that is being filled, if any.
func (w *deltaWriter) flush() {
	if w.packet != nil {
		w.core.send(w.recipient.record.Addr, w.packet)
	}
	w.packet = nil
}
