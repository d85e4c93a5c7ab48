// Package facts settles what a node tells others of workers that it has seen itself, and what it takes of others' word. It
// does no I/O and reads no clock. Others' word only ever adds caution, for a bounded time, and less than a node's own newer
// evidence ends it at once: a wrong fact, or a lie told again and again, costs a worker no more than is stated here.
package facts

import (
	"cmp"
	"slices"
	"time"

	"swiftdeal/internal/fleet/wire"
)

// Limits of what is told and believed.
type Limits struct {
	Told    time.Duration // a fact is told for so long after it was seen
	Fresh   time.Duration // one older than this is not believed
	Restart time.Duration // a restart is believed at most once in this
	Most    int           // workers kept
}

// Defaults are the limits in service. A worker that is lied about all the time is taken for cold for one warming up in three.
func Defaults(coldFor time.Duration) Limits {
	return Limits{Told: 10 * time.Second, Fresh: 5 * time.Second, Restart: max(3*coldFor, 10*time.Second), Most: 4096}
}

// Seen is what the node itself holds of a worker at a time.
type Seen struct {
	Worker  string
	Started time.Duration // of the process that it knows of; 0: long ago, or not known
	Ill     bool          // it has erred or was out of reach more than once in a row
}

// Caution is what others' word comes to.
type Caution struct {
	Worker string
	Kind   wire.FactKind
	At     time.Duration // Restarted: when its process has started, at the earliest
}

// Book is what one node has told and heard.
type Book struct {
	l       Limits
	started map[string]time.Duration
	own     map[string]note // what it has seen itself
	heard   map[key]time.Duration
}

type note struct {
	kind wire.FactKind
	at   time.Duration
	ill  bool
}

type key struct {
	worker string
	kind   wire.FactKind
}

// New returns an empty book.
func New(l Limits) *Book {
	return &Book{l: l, started: map[string]time.Duration{}, own: map[string]note{}, heard: map[key]time.Duration{}}
}

// Own takes what the node holds of all its workers, and returns what it tells: the newest first.
func (b *Book) Own(now time.Duration, list []Seen) (facts []wire.Fact) {
	for _, s := range list {
		was, known := b.started[s.Worker]
		if len(b.started) < b.l.Most || known {
			b.started[s.Worker] = s.Started
		}
		n := b.own[s.Worker]
		switch {
		case known && s.Started > was && !b.believed(s.Worker, s.Started):
			n = note{wire.Restarted, s.Started, s.Ill}
		case s.Ill && !n.ill:
			n = note{wire.Ill, now, true}
		}
		n.ill = s.Ill
		if n.kind != 0 || n.ill {
			b.own[s.Worker] = n
		}
		if n.kind == wire.Ill && !s.Ill { // it is well again: nothing more is told of it
			delete(b.own, s.Worker)
		}
	}
	type told struct {
		wire.Fact
		at time.Duration
	}
	var t []told
	for w, n := range b.own {
		if age := now - n.at; n.kind != 0 && age < b.l.Told {
			t = append(t, told{wire.Fact{Worker: w, Kind: n.kind, AgeMs: uint32(max(age, 0) / time.Millisecond)}, n.at})
		} else if !n.ill {
			delete(b.own, w)
		}
	}
	slices.SortFunc(t, func(x, y told) int { return cmp.Or(cmp.Compare(y.at, x.at), cmp.Compare(x.Worker, y.Worker)) })
	for _, x := range t[:min(len(t), wire.MostFacts)] {
		facts = append(facts, x.Fact)
	}
	return facts
}

// believed reports whether a start is one that the node has only heard of: it is not passed on as its own.
func (b *Book) believed(worker string, started time.Duration) bool {
	at, ok := b.heard[key{worker, wire.Restarted}]
	return ok && (started-at).Abs() < time.Minute
}

// Heard takes others' word, and returns the cautions that it comes to.
func (b *Book) Heard(now time.Duration, list []wire.Fact) (c []Caution) {
	for _, f := range list {
		age := time.Duration(f.AgeMs) * time.Millisecond
		at := now - age
		started, known := b.started[f.Worker]
		if age > b.l.Fresh || !known { // old, or of a worker that the node does not have
			continue
		}
		k := key{f.Worker, f.Kind}
		last, before := b.heard[k]
		switch f.Kind {
		case wire.Restarted:
			// Its own knowledge is as new: what it has seen start, or what has answered as it should a while after that.
			if started+time.Second >= at || before && now-last < b.l.Restart {
				continue
			}
			c = append(c, Caution{f.Worker, f.Kind, at})
		default:
			// Of a kind that this version does not know, or that a worker is ill: leaving it alone on others' word gained nothing
			// (docs/operators/view.md has the figures), so that is for operators to see only.
			continue
		}
		b.heard[k] = now
	}
	return c
}
