package council

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/fleet/wire"
)

// The fleet's settings: the council decides on their revisions, package revision spreads them, and each node says with its
// question to the council which one it has in force.

// setting is what a node says of the fleet's settings.
type setting struct {
	Held    revision.ID `cbor:"1,keyasint,omitempty"`
	Force   revision.ID `cbor:"2,keyasint,omitempty"`
	Refused revision.ID `cbor:"3,keyasint,omitempty"`
	Why     string      `cbor:"4,keyasint,omitempty"`
}

// Body names what a call asks to have decided on: too long for a datagram, it is fetched from the node that was asked.
type Body struct {
	Sum  []byte `cbor:"1,keyasint"`
	Size int    `cbor:"2,keyasint"`
}

// NodeSettings is a node that does not have the latest revision in force.
type NodeSettings struct {
	Node    string      `json:"node"`
	Holds   revision.ID `json:"holds"`
	InForce revision.ID `json:"in_force"`
	Why     string      `json:"why"`
	HeardMs int64       `json:"heard_ms"` // since its last word; -1: none came
}

// SettingsReport is what a node knows of the fleet's settings. What concerns others is known where the council is led.
type SettingsReport struct {
	Latest revision.ID `json:"latest"` // that this node knows of
	Prior  revision.ID `json:"prior"`  // where a seat is asked
	By     string      `json:"by,omitempty"`
	Why    string      `json:"why,omitempty"`
	AtMs   int64       `json:"at_ms,omitempty"`
	Sum    string      `json:"sum,omitempty"` // SHA-256 of the packed settings
	Bytes  int         `json:"bytes"`         // packed

	Here    NodeSettings   `json:"here"`
	Leads   bool           `json:"leads"` // the rest is known
	InForce int            `json:"in_force"`
	Of      int            `json:"of"`
	Lag     []NodeSettings `json:"behind"` // by name, the first mostBehind of them
}

const (
	mostBehind = 64
	mostWhy    = 200 // bytes of a reason in a datagram
	meetFor    = 12  // periods in which nodes and seats that have come back empty find one another
	settleFor  = 16  // periods for which a leader without settings waits for what nodes hold, at most
)

// Revision is the node's part in spreading the fleet's settings; nil where there are none.
func (k *Core) Revision() *revision.Core { return k.rev }

// Settings is what this seat has of the council's word on settings, for checks.
func (k *Core) Settings() *revision.State { return &k.m.setting }

// Applied takes what has become of an Apply: why is empty where the revision is in force.
func (k *Core) Applied(now time.Duration, id revision.ID, why string) {
	k.now = max(k.now, now)
	if k.rev != nil {
		k.rev.Applied(k.now, id, why)
	}
}

// SetSettings has a body, as revision.Pack words it, decided on in the place of the revision base. Its end comes with Replies.
func (k *Core) SetSettings(now time.Duration, body []byte, base revision.ID, by, why string) (ticket uint64) {
	if k.rev == nil {
		k.ticket++
		k.replies = append(k.replies, Reply{k.ticket, Result{Text: "this node's fleet file has no [settings]"}})
		return k.ticket
	}
	sum := k.rev.Stage(now, body)
	return k.Call(now, Call{Op: "settings-set", Base: &base, By: clip(by), Why: clip(why), Body: &Body{sum[:], len(body)}})
}

func clip(s string) string { return s[:min(len(s), mostWhy)] }

// ownSetting is what this node says to the council.
func (k *Core) ownSetting() *setting {
	s := &setting{Force: k.rev.InForce()}
	if h := k.rev.Held(); h != nil {
		s.Held = h.ID
	}
	s.Refused, s.Why = k.rev.Refused()
	s.Why = clip(s.Why)
	return s
}

// revised takes what the spreading has done, and hands over what the council has decided on at this seat.
func (k *Core) revised() {
	if c := k.m.setting.Current; c != nil {
		if h := k.rev.Held(); h == nil || c.ID.Compare(h.ID) > 0 {
			k.rev.Committed(k.now, c)
		}
	}
	for _, a := range k.rev.Out() {
		switch a.Do {
		case revision.Send:
			k.do(Action{Do: Send, To: a.To, Kind: wire.Revision, Body: a.Body})
		case revision.Apply:
			k.do(Action{Do: Apply, Rev: a.Rev})
		case revision.Say:
			k.say("%s", a.Text)
		}
	}
}

// revise puts a command on settings into effect.
func (m *machine) revise(index uint64, c *revision.Command) Result {
	if why := m.setting.Apply(c); why != "" {
		return Result{Text: why}
	}
	id := m.setting.Current.ID
	if s, err := revision.Unpack(m.setting.Current.Body); err == nil {
		m.permits.Note(index, s.At, "settings", "revision "+id.String(), s.By, s.Why)
	}
	return Result{OK: true, No: id.No, Text: fmt.Sprintf("revision %v is decided on", id), Revision: &id}
}

// lacks is the revision that nodes hold and the council does not know; nil: none. A group begins with an empty state, and seats
// with an older program keep none.
func (k *Core) lacks() *revision.Revision {
	h, c := k.rev.Held(), k.m.setting.Current
	if h == nil || c != nil && h.ID.Compare(c.ID) <= 0 {
		return nil
	}
	return h
}

// settling reports whether the leader does not know yet what nodes may hold of an earlier group's revisions.
func (k *Core) settling() bool {
	return k.lacks() != nil || k.m.setting.Current == nil && !k.heardAll()
}

// heardAll reports whether all that the view holds for there have said what they hold, and this node has the latest of it. A leader
// that waits for one that does not speak, or cannot hand over what it holds, waits no longer than settleFor.
func (k *Core) heardAll() bool {
	switch span := k.now - k.lead.since; {
	case span < meetFor*k.c.Period: // guards against a view that does not have yet who remembers
		return false
	case span >= settleFor*k.c.Period:
		return true
	}
	for name, s := range k.lead.seen {
		if s.Status > wire.Suspect || name == k.c.Name {
			continue
		}
		p := k.lead.polls[name]
		if p == nil || p.ask.Setting != nil && p.ask.Setting.Held.Compare(idOf(k.rev.Held())) > 0 {
			return false
		}
	}
	return true
}

// adopt has the council keep what was decided on by an earlier group. It waits for as long as it takes to hear of a later one.
func (k *Core) adopt() {
	r := k.lacks()
	if r == nil {
		return
	}
	k.acc.Heard(r.ID.Group) // guards against a group that numbers its own revisions before those that it adopts
	if k.m.setting.Current != nil || k.heardAll() {
		k.propose("adopt "+r.ID.String(), "", nil, &command{Setting: &revision.Command{Op: revision.Adopt, Next: r}})
	}
}

// revise is what an operator's call on settings has decided on; nil: nothing yet, or nothing any more. done is the end of a call
// that was decided on already, by a leader whose answer was lost; text says why it cannot be.
func (k *Core) revise(from string, c *Call, by string) (next *revision.Command, done *Result, text string) {
	if k.rev == nil {
		return nil, nil, "this fleet's file has no [settings]"
	}
	if c.Base == nil {
		return nil, nil, "no base was named"
	}
	if k.settling() {
		return nil, nil, "" // the node asks again until it can be known
	}
	s := &k.m.setting
	now := s.Current.Head()
	own, _ := k.acc.Group()
	if own.Compare(now.ID.Group) < 0 {
		k.acc.Heard(now.ID.Group)
		return nil, nil, "" // its own would not come after what it has adopted: the node asks again once it goes by a later number
	}
	next = &revision.Command{Op: revision.Set, Base: *c.Base, Next: &revision.Revision{ID: revision.ID{Group: own, No: now.ID.No + 1}}}
	again := *c.Base != now.ID && s.Current != nil && *c.Base == s.Prior.Head().ID // it may be what this call has come to
	ok := &Result{OK: true, No: now.ID.No, Text: fmt.Sprintf("revision %v is decided on", now.ID), Revision: &now.ID}
	if c.Op == "settings-back" {
		if is, err := revision.Unpack(bodyOf(s.Current)); again && err == nil && is.At == c.At && is.By == by {
			return nil, ok, ""
		}
		if s.Prior == nil {
			return nil, nil, "there is none before it that the council knows"
		}
		was, err := revision.Unpack(s.Prior.Body)
		if err != nil {
			return nil, nil, err.Error()
		}
		why := clip(fmt.Sprintf("back to %v", s.Prior.ID))
		if c.Why != "" {
			why = clip(why + ": " + c.Why)
		}
		if next.Next.Body, err = revision.Pack(revision.Content{Settings: was.Settings, By: by, Why: why, At: c.At}); err != nil {
			return nil, nil, err.Error()
		}
		return next, nil, ""
	}
	var sum revision.Sum
	if c.Body == nil || len(c.Body.Sum) != len(sum) || c.Body.Size <= 0 || c.Body.Size > revision.MostBody {
		return nil, nil, "a call without settings, or with more than can be decided on"
	}
	copy(sum[:], c.Body.Sum)
	if again && now.Sum == sum {
		return nil, ok, ""
	}
	if next.Next.Body = k.rev.Body(sum); next.Next.Body == nil {
		k.rev.Fetch(k.now, sum, c.Body.Size, from) // the node asks again; by then it is here
		k.after()
		return nil, nil, ""
	}
	return next, nil, ""
}

func bodyOf(r *revision.Revision) []byte {
	if r == nil {
		return nil
	}
	return r.Body
}

// spread says once that the latest revision is in force everywhere.
func (k *Core) spread() {
	l, c := &k.lead, k.m.setting.Current
	if c == nil || l.spread && l.latest == c.ID {
		return
	}
	if l.latest != c.ID {
		l.latest, l.spread, l.decided = c.ID, false, k.now
	}
	if in, of, _ := k.behind(0); in == of {
		l.spread = true
		k.say("revision %v of the settings is in force at all %d nodes, %v after it was seen here", c.ID, of, (k.now - l.decided).Round(10*time.Millisecond))
	}
}

// behind counts the nodes that are there and have the latest revision in force, and names up to most of those that do not.
func (k *Core) behind(most int) (in, of int, list []NodeSettings) {
	var latest revision.ID
	if c := k.m.setting.Current; c != nil {
		latest = c.ID
	}
	for _, name := range slices.Sorted(maps.Keys(k.lead.seen)) {
		if k.lead.seen[name].Status > wire.Suspect {
			continue
		}
		of++
		p, n := k.lead.polls[name], NodeSettings{Node: name, HeardMs: -1}
		if name == k.c.Name {
			p = &polled{k.now, ask{Setting: k.ownSetting()}}
		}
		switch {
		case p == nil:
			n.Why = "not heard of yet"
		case p.ask.Setting == nil:
			n.HeardMs, n.Why = (k.now - p.at).Milliseconds(), "its program, or its fleet file, has no settings of the fleet"
		default:
			s := p.ask.Setting
			n.HeardMs, n.Holds, n.InForce = (k.now - p.at).Milliseconds(), s.Held, s.Force
			switch {
			case k.now-p.at > freshFor*k.c.Period:
				n.Why = "not heard of any more"
			case s.Force == latest:
				in++
				continue
			case s.Refused == latest:
				n.Why = "refused: " + s.Why
			case s.Held.Compare(latest) < 0:
				n.Why = "it has not come there yet"
			default:
				n.Why = "it is being put into effect"
			}
		}
		if len(list) < most {
			list = append(list, n)
		}
	}
	return in, of, list
}

// settingsReport is what this node knows of the fleet's settings.
func (k *Core) settingsReport() *SettingsReport {
	own := k.ownSetting()
	latest := k.rev.Held()
	r := &SettingsReport{Here: NodeSettings{Node: k.c.Name, Holds: own.Held, InForce: own.Force}, Lag: []NodeSettings{}}
	if own.Refused != (revision.ID{}) {
		r.Here.Why = fmt.Sprintf("revision %v refused: %s", own.Refused, own.Why)
	}
	if k.Knows() {
		r.Prior = idOf(k.m.setting.Prior)
		if c := k.m.setting.Current; c != nil && c.ID.Compare(own.Held) >= 0 {
			latest = c
		}
	}
	if latest != nil {
		h := latest.Head()
		r.Latest, r.Sum, r.Bytes = h.ID, fmt.Sprintf("%x", h.Sum), h.Size
		if c, err := revision.Unpack(latest.Body); err == nil {
			r.By, r.Why, r.AtMs = c.By, c.Why, c.At
		}
	}
	if k.acc != nil && k.acc.Leads() {
		r.Leads = true
		r.InForce, r.Of, r.Lag = k.behind(mostBehind)
		if r.Lag == nil {
			r.Lag = []NodeSettings{}
		}
	}
	return r
}

func idOf(r *revision.Revision) revision.ID {
	if r == nil {
		return revision.ID{}
	}
	return r.ID
}
