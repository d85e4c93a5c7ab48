package accord

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftdeal/internal/fleet/wire"
)

// What comes from other seats, and what Raft makes of it.

// Take takes the body of a datagram that a seat has sent.
func (k *Core) Take(now time.Duration, from string, body []byte) {
	k.now = max(k.now, now)
	var m message
	if wire.Read(body, &m) != nil || m.From.Seat != from || !k.takes(from) || m.From.ID == 0 {
		return
	}
	if k.raw != nil {
		k.Heard(m.High)
		k.Heard(m.Rank)
	}
	switch {
	case m.Hello:
		k.Heard(m.High)
		k.hellos[from] = heard{k.ticks, m.From, m.Group, m.High}
		k.remind(m.From, m.Group)
	case m.To != k.id: // it was meant for an earlier life
	case m.Out:
		if m.Group == k.group && k.silent >= 2*electionTicks { // of a leader that it hears it is still a voter
			k.Forget("another has taken its place")
		}
	case m.Found != nil:
		k.invited(m.Found)
	case len(m.Got) > 0:
		k.got(from, &m)
	case m.Parts > 0:
		k.part(from, &m)
	case m.Raft != nil:
		k.heard(&m, m.Raft)
	}
	k.drain()
	k.plan()
}

// remind tells a founder that has not heard so that the group was founded with it.
func (k *Core) remind(v Voter, g Group) {
	if k.raw == nil || !g.None() || !slices.Contains(k.voters, v) || k.applied > 64 {
		return // later on the leader sends it the state: by then it is no founding any more
	}
	first, err := k.store.Snapshot()
	if err == nil && first.GetMetadata().GetIndex() == 1 {
		var s snapshot
		if wire.Read(first.GetData(), &s) == nil {
			k.say(v.Seat, &message{To: v.ID, Found: &found{k.group, s.Voters}})
		}
	}
}

// invited enters a group that another seat has founded with this one.
func (k *Core) invited(f *found) {
	if k.raw != nil || f.Group.None() || f.Group.Compare(k.highest) < 0 || !slices.Contains(f.Voters, Voter{k.c.Seat, k.id}) || len(f.Voters) != len(k.c.Seats) {
		return
	}
	for i, s := range k.c.Seats {
		if f.Voters[i].Seat != s {
			return
		}
	}
	k.begin(f)
}

// heard takes a message of Raft.
func (k *Core) heard(in *message, b []byte) {
	from, g, m := in.From, in.Group, new(raftpb.Message)
	if proto.Unmarshal(b, m) != nil || m.GetTo() != k.id || m.GetFrom() != from.ID || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if k.raw == nil { // a leader has taken this life in
		if g.None() || in.Rank.Compare(k.highest) < 0 || m.GetType() != raftpb.MsgApp && m.GetType() != raftpb.MsgSnap && m.GetType() != raftpb.MsgHeartbeat {
			return
		}
		k.m.Reset()
		if err := k.join(g, nil, nil); err != nil {
			k.note("group %v: %v", g, err)
			return
		}
		k.note("joins group %v, led by %s", g, from.Seat)
	}
	if g != k.group {
		return
	}
	if k.seatOf(from.ID) == "" {
		k.voters = append(k.voters, from) // one whose seat this life has not been told of yet
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgSnap, raftpb.MsgHeartbeat:
		if m.GetTerm() >= k.raw.BasicStatus().GetTerm() {
			k.quiet, k.silent = 0, 0
		}
	case raftpb.MsgVote:
		k.quiet = max(0, k.quiet-electionTicks/2) // leave the one who stands the time to win
	}
	k.guard(func() { k.raw.Step(m) })
}

// guard does what may find a thing that Raft holds for impossible: a seat whose state cannot be right gives up its part in the
// group, the node goes on serving.
func (k *Core) guard(do func()) {
	defer func() {
		if what := recover(); what != nil {
			k.Forget(fmt.Sprintf("what cannot be has come: %v", what))
		}
	}()
	do()
}

// drain lets what Raft has decided take effect.
func (k *Core) drain() {
	for k.raw != nil && k.raw.HasReady() {
		r := k.raw.Ready()
		if r.SoftState != nil && r.SoftState.RaftState == raft.StateLeader {
			k.counts.Led++
			k.lastly, k.silent = k.silent, 0
		}
		if !raft.IsEmptySnap(r.Snapshot) {
			k.store.ApplySnapshot(r.Snapshot)
			if err := k.restore(r.Snapshot); err != nil {
				k.note("a snapshot cannot be read: %v", err)
			}
			k.counts.Snapshots++
		}
		k.store.Append(r.Entries)
		if r.HardState != nil && !raft.IsEmptyHardState(r.HardState) {
			k.store.SetHardState(r.HardState)
		}
		if len(r.Entries) > 0 || r.HardState != nil || k.dirty || !raft.IsEmptySnap(r.Snapshot) {
			k.save(r.HardState, r.Entries)
		}
		for _, m := range r.Messages {
			k.post(m)
		}
		for _, e := range r.CommittedEntries {
			k.apply(e)
		}
		k.raw.Advance(r)
	}
}

// restore takes a state over whole.
func (k *Core) restore(s *raftpb.Snapshot) error {
	var in snapshot
	if err := wire.Read(s.GetData(), &in); err != nil {
		return err
	}
	k.rank = in.Rank
	k.Heard(k.rank)
	k.voters, k.conf, k.applied, k.dirty = in.Voters, s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex(), true
	return k.m.Restore(in.State)
}

// apply puts one entry into effect.
func (k *Core) apply(e *raftpb.Entry) {
	k.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		cc := new(raftpb.ConfChangeV2)
		if proto.Unmarshal(e.GetData(), cc) != nil {
			return
		}
		var swap []Voter
		if len(cc.GetContext()) > 0 && wire.Read(cc.GetContext(), &swap) == nil && len(swap) == 2 {
			k.voters = slices.DeleteFunc(k.voters, func(v Voter) bool { return v.ID == swap[1].ID })
			k.voters = append(k.voters, swap[1])
			k.counts.Replaced++
		}
		k.conf = k.raw.ApplyConfChange(cc)
		if len(k.conf.GetVotersOutgoing()) == 0 { // the change is over
			k.voters = slices.DeleteFunc(k.voters, func(v Voter) bool { return !slices.Contains(k.conf.GetVoters(), v.ID) })
		}
		k.dirty = true
		// Guards against a seat that is never filled: the library lets nobody take over a state that does not name it.
		k.store.CreateSnapshot(k.applied, k.conf, wire.Word(snapshot{k.voters, k.m.Snapshot(), k.rank}))
	case raftpb.EntryNormal:
		var env envelope
		if len(e.GetData()) == 0 || wire.Read(e.GetData(), &env) != nil {
			return
		}
		if !env.Rank.None() {
			if env.Rank.Compare(k.rank) > 0 {
				k.rank, k.dirty = env.Rank, true
				k.Heard(k.rank)
			}
			return
		}
		d := Done{Index: e.GetIndex(), Own: k.pending[env.Mark], Result: k.m.Apply(e.GetIndex(), env.Command)}
		delete(k.pending, env.Mark)
		k.done = append(k.done, d)
	}
}

// compact makes a snapshot where the log has become long.
func (k *Core) compact() {
	first, _ := k.store.FirstIndex()
	if k.applied-first < uint64(k.c.Keep) || k.applied < first {
		return
	}
	if _, err := k.store.CreateSnapshot(k.applied, k.conf, wire.Word(snapshot{k.voters, k.m.Snapshot(), k.rank})); err != nil {
		return
	}
	if err := k.store.Compact(k.applied - uint64(k.c.Keep)/4); err == nil {
		k.dirty = true
		k.save(nil, nil)
	}
}

// save hands out what has to last before anything of it is said.
func (k *Core) save(h *raftpb.HardState, entries []*raftpb.Entry) {
	if !k.c.Disk || k.raw == nil {
		k.dirty = false
		return
	}
	s := &Saved{Group: k.group, Rank: k.rank, ID: k.id, Voters: slices.Clone(k.voters), Hard: h, Entries: entries}
	if k.dirty {
		s.Snapshot, _ = k.store.Snapshot()
		k.dirty = false
	}
	k.acts = append(k.acts, Action{Save: s})
}

// long is a message that takes more than one datagram.
type long struct {
	seat   string
	to     uint64
	number uint64
	parts  [][]byte
	have   []bool
	left   int
	tries  int
	at     int // tick
	snap   bool
}

// post sends a message of Raft.
func (k *Core) post(m *raftpb.Message) {
	seat := k.seatOf(m.GetTo())
	b, err := proto.Marshal(m)
	if seat == "" || err != nil || len(b) > mostLongBytes {
		return
	}
	if len(b) <= partBytes && m.GetType() != raftpb.MsgSnap { // a snapshot has to be confirmed, or the leader waits for ever
		k.say(seat, &message{To: m.GetTo(), Raft: b})
		return
	}
	k.number++
	l := &long{seat: seat, to: m.GetTo(), number: k.number, at: k.ticks, snap: m.GetType() == raftpb.MsgSnap}
	for p := range slices.Chunk(b, partBytes) {
		l.parts = append(l.parts, p)
	}
	l.have, l.left = make([]bool, len(l.parts)), len(l.parts)
	same := 0
	k.outbox = slices.DeleteFunc(k.outbox, func(o *long) bool { // the newest ones count
		if o.seat == seat {
			same++
		}
		return o.seat == seat && (!o.snap && same >= mostLong || o.snap && l.snap)
	})
	k.outbox = append(k.outbox, l)
	k.parts(l)
}

// parts sends what has not come of a long message, not all at once.
func (k *Core) parts(l *long) {
	n := 0
	for i, p := range l.parts {
		if !l.have[i] && n < 64 {
			n++
			k.say(l.seat, &message{To: l.to, Raft: p, Number: l.number, Part: i, Parts: len(l.parts)})
		}
	}
}

// resend sends again what has not been confirmed of long messages, and gives up those that are old.
func (k *Core) resend() {
	k.outbox = slices.DeleteFunc(k.outbox, func(l *long) bool {
		if k.ticks-l.at < 2 {
			return false
		}
		l.at = k.ticks
		if l.tries++; l.tries > mostInstalling {
			if l.snap && k.raw != nil {
				k.raw.ReportSnapshot(l.to, raft.SnapshotFailure)
			}
			return true
		}
		k.parts(l)
		return false
	})
	k.inbox = slices.DeleteFunc(k.inbox, func(l *long) bool { return k.ticks-l.at > longTicks })
}

// part takes a part of a long message.
func (k *Core) part(from string, m *message) {
	if m.Part < 0 || m.Part >= m.Parts || m.Parts > mostLongBytes/partBytes+1 || len(m.Raft) > partBytes {
		return
	}
	var l *long
	mine := 0
	for _, o := range k.inbox {
		if o.seat == from {
			mine++
			if o.to == m.From.ID && o.number == m.Number && len(o.parts) == m.Parts {
				l = o
			}
		}
	}
	if l == nil {
		if mine >= mostLong { // the oldest one gives way
			i := slices.IndexFunc(k.inbox, func(o *long) bool { return o.seat == from })
			k.inbox = slices.Delete(k.inbox, i, i+1)
		}
		l = &long{seat: from, to: m.From.ID, number: m.Number, parts: make([][]byte, m.Parts), have: make([]bool, m.Parts), left: m.Parts}
		k.inbox = append(k.inbox, l)
	}
	l.at = k.ticks
	fresh := !l.have[m.Part]
	if fresh {
		l.have[m.Part], l.parts[m.Part] = true, m.Raft
		l.left--
	}
	bits := make([]uint8, (m.Parts+7)/8)
	for i, h := range l.have {
		if h {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	k.say(from, &message{To: m.From.ID, Number: m.Number, Got: bits})
	if fresh && l.left == 0 {
		k.heard(m, slices.Concat(l.parts...))
		for i := range l.parts { // it stays a while, so that a part that comes again is confirmed again
			l.parts[i] = nil
		}
	}
}

// got takes the word of which parts have come.
func (k *Core) got(from string, m *message) {
	k.outbox = slices.DeleteFunc(k.outbox, func(l *long) bool {
		if l.seat != from || l.number != m.Number {
			return false
		}
		for i := range l.have {
			if i/8 < len(m.Got) && m.Got[i/8]&(1<<(i%8)) != 0 && !l.have[i] {
				l.have[i] = true
				l.left--
			}
		}
		if l.left == 0 && l.snap && k.raw != nil {
			k.raw.ReportSnapshot(l.to, raft.SnapshotFinish)
		}
		return l.left == 0
	})
}

// silent is Raft's logger: what matters is noted by this package. What the library holds for impossible ends the process, as
// with any other fault of the program.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(v) }
func (silent) Fatalf(f string, v ...any) {
	panic(v)
}
func (silent) Panic(v ...any)            { panic(v) }
func (silent) Panicf(f string, v ...any) { panic(v) }
