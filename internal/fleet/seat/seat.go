// Package seat carries a node's part in the council over the view's socket: it is the shell round the core in package council,
// and what keeps drained workers from the node's Balancer. It knows of the node what Host says, and nothing else, so that whoever
// has a Host runs the very same code.
package seat

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/accord/disk"
	"swiftdeal/internal/fleet/council"
	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/member"
	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/fleet/rollout"
	"swiftdeal/internal/fleet/wire"
)

// Host is the node round a Seat. All methods are called by the owner of the view, and must not wait.
type Host interface {
	State() wire.State // what the node says of its service
	SentAway() bool    // clients are sent away
	Idle() bool        // nothing is open in the process
	Drain()            // leave service
	Resume()           // come back into it
	Told(told bool)    // whether the council has said what concerns this node

	// Apply has a revision of the fleet's settings put into effect, whole or not at all; Applied is what has become of those since
	// it was last asked, and Settled says that the node knows what the fleet's settings are. They are used where there are any.
	Apply(r *revision.Revision)
	Applied() []Applied
	Settled()

	// Counts is what clients have been answered, by class.
	Counts() map[string]rollout.Count
	// Known is what the Balancer knows of workers, its room by class, and what its clock reads now; it is asked of a seat alone.
	// nil: nothing yet.
	Known() (workers map[string]balance.Known, room map[string]int, now time.Duration)
}

// Applied is what has become of a revision of the fleet's settings at a node.
type Applied struct {
	ID  revision.ID
	Why string // it is not in force; empty: it is
}

// store keeps what the seat has promised.
type store interface {
	Save(*accord.Saved) error
	Close() error
}

// Config is what a Seat is made with.
type Config struct {
	Fleet    *config.Fleet // it has a council
	Name     string        // of the member
	Program  string        // version
	Life     uint64        // the view's
	ColdFor  time.Duration // a worker that has started is cold for so long
	BindWait time.Duration // for the folder that another process still holds
	Random   func() uint64 // a number that no other process is given
	Drainer  *Drainer
}

// Seat is the node's part in the council: the shell round the core. All methods are called by the owner of the view alone.
type Seat struct {
	c       Config
	host    Host
	core    *council.Core
	store   store // nil: what is promised lasts as long as the process
	log     *slog.Logger
	viewed  time.Duration
	owned   time.Duration
	own     council.Own
	waiting map[uint64]chan<- council.Result
	pending []council.Action // what the core has asked for and is not done yet, in order: its first cannot be saved
	failing bool             // the last try to save failed
	retryAt time.Duration    // when what could not be saved is tried again
	begun   bool             // whoever runs the process has begun to restart it

	peers   func(n int) []string // draws members; nil until it is needed
	settled bool                 // the host has been told so
}

// New makes the node's part in the council as it enters the fleet.
func New(c Config, host Host, now time.Duration, log *slog.Logger) (*Seat, error) {
	t := c.Fleet.Council
	s := &Seat{c: c, host: host, log: log, viewed: -time.Hour, owned: -time.Hour, waiting: map[uint64]chan<- council.Result{}}
	var saved *accord.Saved
	if t.Dir != "" && t.Has(c.Name) {
		file, kept, err := disk.Open(t.Dir, c.Name, c.BindWait)
		if err != nil {
			return nil, err
		}
		s.store, saved = file, kept
	}
	var err error
	s.core, err = council.New(council.Config{Name: c.Name, Site: c.Fleet.Site, Version: c.Program, Life: c.Life, ID: c.Random() | 1, Seats: t.Seats, Spares: t.Spares, Absent: t.Absent,
		Budgets: t.Budgets, Period: c.Fleet.Period, Saved: saved, Disk: s.store != nil, Settings: c.Fleet.Settings != nil}, rand.New(rand.NewPCG(c.Random(), c.Random())), now)
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Step implements gossip.Part.
func (s *Seat) Step(now time.Duration, view *member.Core) []gossip.Letter {
	if s.core.HasSeat() && now-s.viewed >= s.c.Fleet.Period {
		s.viewed = now
		v := view.View()
		list := make([]council.Seen, 0, len(v.Members))
		for _, m := range v.Members {
			list = append(list, council.Seen{Name: m.Name, Site: m.Site, Life: m.Life, Status: m.Status, State: m.State})
		}
		s.core.See(now, list)
	}
	if now-s.owned >= s.c.Fleet.Period/4 {
		s.owned = now
		s.own = s.ask()
	}
	s.own.Inc, s.own.State = view.Self().Inc, s.host.State()
	s.own.Away = s.host.SentAway()
	if s.core.Revision() != nil {
		if s.peers == nil {
			rnd := rand.New(rand.NewPCG(s.c.Random(), s.c.Random()))
			s.peers = func(n int) []string { return view.Some(n, rnd) }
		}
		s.own.Peers = s.peers
		for _, a := range s.host.Applied() {
			s.core.Applied(now, a.ID, a.Why)
		}
	}
	s.core.Step(now, s.own)
	return s.flush(now)
}

// ask is what the node says of itself to the council.
func (s *Seat) ask() council.Own {
	d := s.c.Drainer
	o := council.Own{Whole: !s.begun, Counts: s.host.Counts(), Quiet: d.isQuiet}
	d.look()
	if s.core.HasSeat() {
		known, room, now := s.host.Known()
		o.Room, o.Workers = room, d.workers(now, s.c.ColdFor, known)
	}
	return o
}

// Take implements gossip.Part.
func (s *Seat) Take(now time.Duration, from string, kind wire.Kind, body []byte) {
	s.core.Take(now, from, kind, body)
}

// Wake implements gossip.Part.
func (s *Seat) Wake() time.Duration {
	wake := min(s.core.Wake(), s.owned+s.c.Fleet.Period/4)
	if len(s.pending) > 0 {
		wake = min(wake, s.retryAt)
	}
	return wake
}

// Close implements gossip.Part.
func (s *Seat) Close() {
	if s.store != nil {
		s.store.Close()
		s.store = nil
	}
	for t, c := range s.waiting {
		c <- council.Result{Text: "the node ends its part in the fleet"}
		delete(s.waiting, t)
	}
}

// flush lets what the core has done take effect. Where something cannot be saved, nothing that follows is done until it can:
// what is not on the disk must not be promised, and what was promised is still owed.
func (s *Seat) flush(now time.Duration) (out []gossip.Letter) {
	s.pending = append(s.pending, s.core.Out()...)
	for len(s.pending) > 0 {
		a := s.pending[0]
		if a.Do == council.Save && s.store != nil && !s.save(now, a.Saved) {
			s.shorten()
			return nil
		}
		if a.Do == council.Send {
			out = append(out, gossip.Letter{To: a.To, Kind: a.Kind, Body: a.Body})
		} else {
			s.do(a)
		}
		s.pending = s.pending[1:]
	}
	s.pending = nil
	s.report()
	return out
}

// retryEvery is how often what could not be saved is tried again.
const retryEvery = 250 * time.Millisecond

// save makes something last, and reports whether it does.
func (s *Seat) save(now time.Duration, n *accord.Saved) bool {
	if s.failing && now < s.retryAt {
		return false
	}
	err := s.store.Save(n)
	if err != nil && !s.failing {
		s.log.Error("cannot be saved: this seat is silent until it can", "error", err)
	} else if err == nil && s.failing {
		s.log.Info("can be saved again")
	}
	s.failing, s.retryAt = err != nil, now+retryEvery
	return err == nil
}

// shorten keeps what waits for the disk small: datagrams may be lost as on any way, and all that is to be saved is saved at once.
func (s *Seat) shorten() {
	kept := []council.Action{{Do: council.Save, Saved: s.pending[0].Saved}}
	for _, a := range s.pending[1:] {
		switch {
		case a.Do == council.Save && a.Saved.Group == kept[0].Saved.Group && a.Saved.ID == kept[0].Saved.ID:
			kept[0].Saved = kept[0].Saved.With(a.Saved)
		case a.Do != council.Send:
			kept = append(kept, a)
		}
	}
	s.pending = kept
}

// do lets one thing that the core asks for take effect.
func (s *Seat) do(a council.Action) {
	switch a.Do {
	case council.Begin:
		s.begun = false
		s.log.Info("leaves service", "permit", a.No, "target", a.Target, "away", a.Away)
		if a.Away {
			s.host.Drain()
		}
	case council.Return:
		s.log.Info("comes back into service", "permit", a.No)
		s.host.Resume()
	case council.Drains:
		s.log.Info("drained workers", "workers", a.Workers)
		s.c.Drainer.set(a.Workers)
	case council.Apply:
		s.host.Apply(a.Rev)
	case council.Say:
		s.log.Info("council", "says", a.Text)
	}
}

// report tells whoever waits what has become of things.
func (s *Seat) report() {
	for _, b := range s.core.Begun() {
		s.log.Info("exit confirmed", "of", b.Of.String(), "permit", b.No, "out", b.Out, "most", b.Most, "group", b.Group.String())
	}
	for _, r := range s.core.Replies() {
		if c := s.waiting[r.Ticket]; c != nil {
			c <- r.Result
			delete(s.waiting, r.Ticket)
		}
	}
	s.host.Told(s.core.Told())
	if r := s.core.Revision(); r != nil && !s.settled && settled(r) {
		s.settled = true
		s.host.Settled()
	}
}

// settled reports whether the node knows what the fleet's settings are: what it holds is in force, or cannot be, or others hold
// none either.
func settled(r *revision.Core) bool {
	if h := r.Held(); h != nil {
		refused, _ := r.Refused()
		return r.InForce() == h.ID || refused == h.ID
	}
	fetches, _, _ := r.Sizes()
	return r.Heard() && fetches == 0
}

// Call asks something of the council. What has become of it comes on reply, which has room for it.
func (s *Seat) Call(now time.Duration, c council.Call, reply chan<- council.Result) {
	s.waiting[s.core.Call(now, c)] = reply
}

// SetSettings has settings, packed, decided on in the place of the revision base.
func (s *Seat) SetSettings(now time.Duration, body []byte, base revision.ID, by, why string, reply chan<- council.Result) {
	s.waiting[s.core.SetSettings(now, body, base, by, why)] = reply
}

// Revision is the node's part in spreading the fleet's settings; nil where there are none.
func (s *Seat) Revision() *revision.Core { return s.core.Revision() }

// Report is what this node knows of the council.
func (s *Seat) Report(now time.Duration) *council.Report { return s.core.Report(now) }

// Duty is what may be done with this node's process now.
func (s *Seat) Duty() council.Duty { return s.core.Duty(s.host.Idle()) }

// DutyOf says the same of another node; ok is false where this node has no seat that would know.
func (s *Seat) DutyOf(node string) (d council.Duty, ok bool) {
	if !s.core.Knows() {
		return d, false
	}
	return s.core.DutyOf(node), true
}

// Did takes that whoever runs the process begins to restart it under a permit; ok is false where that is not to be done now.
func (s *Seat) Did(permit string) (d council.Duty, ok bool) {
	d = s.Duty()
	if fmt.Sprint(d.Permit) != permit || d.Do != "restart" {
		return d, false
	}
	s.begun, s.own.Whole = true, false
	s.log.Info("is about to be restarted", "permit", d.Permit, "version", d.Version)
	return d, true
}
