// Package council is a node's part in the council of its fleet: a seat, where the node has one (package accord, with permits and
// releases as the state that is kept), the leader's watch over the fleet, and the node's own end: it asks a seat once a period
// what concerns it, leaves service only under a permit that was confirmed right before, and comes back. It is a state machine
// like the view's: events in, actions out, no I/O and no clock.
package council

import (
	"cmp"
	"slices"

	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/permit"
	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/fleet/rollout"
	"swiftdeal/internal/fleet/wire"
)

// command is one entry of the council's log.
type command struct {
	Permit  *permit.Command   `cbor:"1,keyasint,omitempty"`
	Release *rollout.Command  `cbor:"2,keyasint,omitempty"`
	Setting *revision.Command `cbor:"3,keyasint,omitempty"`
}

// Result is what a command has come to.
type Result struct {
	OK   bool   `cbor:"1,keyasint,omitempty" json:"ok"`
	No   uint64 `cbor:"2,keyasint,omitempty" json:"no,omitempty"`
	Text string `cbor:"3,keyasint,omitempty" json:"text"`

	Revision *revision.ID `cbor:"4,keyasint,omitempty" json:"revision,omitempty"` // of a command on settings
}

// machine is the state that the council keeps: permits and the release together, so that one command changes both, and the
// revisions of the fleet's settings.
type machine struct {
	permits *permit.State
	release *rollout.State
	setting revision.State
	older   bool // for checks: commands on settings are not known, and no snapshot has them
	index   uint64
	begun   []Begun // exits confirmed since it was last asked, for checks
}

// Begun is an exit that was confirmed, with what was out by the council's word as it was.
type Begun struct {
	Group accord.Group
	Of    permit.Subject
	No    uint64
	Out   int
	Most  int
}

func newMachine() *machine { return &machine{permits: permit.New(), release: rollout.New()} }

// Reset implements accord.Machine.
func (m *machine) Reset() {
	m.permits, m.release, m.setting, m.index = permit.New(), rollout.New(), revision.State{}, 0
}

// kept is what a snapshot holds.
type kept struct {
	Permits *permit.State  `cbor:"1,keyasint"`
	Release *rollout.State `cbor:"2,keyasint"`
	Index   uint64         `cbor:"3,keyasint"`
	Setting revision.State `cbor:"4,keyasint,omitempty"`
}

// Snapshot implements accord.Machine.
func (m *machine) Snapshot() []byte { return wire.Word(kept{m.permits, m.release, m.index, m.setting}) }

// Restore implements accord.Machine.
func (m *machine) Restore(b []byte) error {
	k := kept{permit.New(), rollout.New(), 0, revision.State{}}
	if err := wire.Read(b, &k); err != nil {
		return err
	}
	if k.Permits.Members == nil {
		k.Permits.Members = map[string]*permit.Member{}
	}
	if k.Permits.Bad == nil {
		k.Permits.Bad = map[string]string{}
	}
	if k.Permits.Off == nil {
		k.Permits.Off = map[string]bool{}
	}
	if m.older {
		k.Setting = revision.State{}
	}
	m.permits, m.release, m.setting, m.index = k.Permits, k.Release, k.Setting, k.Index
	return nil
}

// Apply implements accord.Machine.
func (m *machine) Apply(index uint64, b []byte) any {
	m.index = index
	var c command
	if err := wire.Read(b, &c); err != nil {
		return Result{Text: err.Error()}
	}
	switch {
	case c.Permit != nil:
		return m.permit(index, c.Permit)
	case c.Release != nil:
		return m.rollout(index, c.Release)
	case c.Setting != nil && !m.older:
		return m.revise(index, c.Setting)
	}
	return Result{Text: "a command that this version does not know"}
}

// permit puts a command on permits into effect, and tells the release what has come of it.
func (m *machine) permit(index uint64, c *permit.Command) Result {
	r := m.permits.Apply(index, c)
	p := m.permits.Permit(c.Of)
	switch {
	case c.Op == permit.Confirm && r.OK:
		m.begun = append(m.begun, Begun{Of: c.Of, No: c.No, Out: m.permits.OutNodes(), Most: m.permits.Budgets.Nodes})
		if p.Release != "" {
			m.release.Begun(c.Of.Name, p.Release)
		}
	case c.Op == permit.Back && r.OK && r.Back.Release != "":
		version := ""
		if k := m.permits.Members[c.Of.Name]; k != nil {
			version = k.Version
		}
		why, next := m.release.Back(c.Of.Name, version, r.Back.Release)
		if why != "" {
			m.rollout(index, &rollout.Command{Op: rollout.Halt, At: c.At, Why: "the plan no longer matches the fleet: " + why})
		}
		if next != nil {
			m.permits.Apply(index, &permit.Command{Op: permit.Wish, At: c.At, Ask: next})
		}
		m.settle(index, c.At, false)
	case c.Op == permit.Register:
		for _, n := range c.Nodes {
			of := permit.Subject{Name: n.Name}
			if held := m.permits.Permit(of); (held == nil || held.Phase == permit.Granted) && m.release.Restarted(n.Name, n.Version) {
				m.permits.Apply(index, &permit.Command{Op: permit.Resume, At: c.At, Of: of, By: "release"}) // nothing is to be done any more
			}
		}
		m.settle(index, c.At, false)
	case c.Op == permit.WriteOff && r.OK && c.Of.Kind == permit.Node:
		m.rollout(index, &rollout.Command{Op: rollout.Gone, At: c.At, Node: c.Of.Name})
	}
	return Result{OK: r.OK, No: r.No, Text: r.Text}
}

// rollout puts a command on the release into effect, and has the permits follow.
func (m *machine) rollout(index uint64, c *rollout.Command) Result {
	was := m.release.Phase
	r, e := m.release.Apply(index, c)
	if !r.OK {
		return Result{Text: r.Text}
	}
	if m.release.Phase != was || c.Op == rollout.Start {
		m.permits.Note(index, c.At, "release", m.release.ID+": "+m.release.Phase.String(), c.By, cmp.Or(c.Why, m.release.Why))
	}
	for n, why := range e.Bad {
		if m.permits.Members[n] != nil {
			m.permits.Bad[n] = why
		}
	}
	m.settle(index, c.At, m.release.Phase == rollout.Backing && was != rollout.Backing)
	for _, a := range e.Asks {
		if p := m.permits.Permit(a.Subject); p != nil && p.Release == a.Release {
			p.Target, p.Why = a.Target, a.Why // out already: it comes back with another version
			continue
		}
		m.permits.Apply(index, &permit.Command{Op: permit.Wish, At: c.At, Ask: &a})
	}
	return Result{OK: true, Text: r.Text}
}

// settle has the permits follow the release's phase: exits that it no longer wants are stopped, those not begun are taken back.
func (m *machine) settle(index uint64, at int64, anew bool) {
	s, id := m.permits, m.release.ID
	if s.Barred = ""; m.release.Barred() {
		s.Barred = id
	}
	if s.Barred != "" || anew {
		for _, q := range slices.Clone(s.Queue) {
			if q.Release == id {
				s.Queue = slices.DeleteFunc(s.Queue, func(o *permit.Request) bool { return o == q })
			}
		}
		for _, p := range slices.Clone(s.Permits) {
			if p.Release == id && p.Phase == permit.Granted {
				s.Apply(index, &permit.Command{Op: permit.Void, At: at, Of: p.Subject, By: "release", Why: m.release.Phase.String()})
			}
		}
	}
	if m.release.Phase == rollout.Undone || m.release.Phase == rollout.Done {
		clear(s.Bad)
	}
}
