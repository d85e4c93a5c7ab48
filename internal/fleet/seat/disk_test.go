package seat

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/fleet/accord"
	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/member"
	"swiftdeal/internal/fleet/revision"
	"swiftdeal/internal/fleet/rollout"
	"swiftdeal/internal/fleet/wire"
)

// still is a node that does nothing.
type still struct{}

func (still) State() wire.State                                                { return wire.Serving }
func (still) SentAway() bool                                                   { return false }
func (still) Idle() bool                                                       { return true }
func (still) Drain()                                                           {}
func (still) Resume()                                                          {}
func (still) Told(bool)                                                        {}
func (still) Apply(*revision.Revision)                                         {}
func (still) Applied() []Applied                                               { return nil }
func (still) Settled()                                                         {}
func (still) Counts() map[string]rollout.Count                                 { return nil }
func (still) Known() (map[string]balance.Known, map[string]int, time.Duration) { return nil, nil, 0 }

// full is a store whose disk is full for a while.
type full struct {
	store
	fails int
	saved *accord.Saved
}

func (f *full) Save(n *accord.Saved) error {
	if f.fails > 0 {
		f.fails--
		return errors.New("no space left on device")
	}
	f.saved = f.saved.With(n)
	return f.store.Save(n)
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", i+1) }

// A seat whose disk fails for a while says nothing meanwhile, and forgets nothing: it goes on as the voter that it was.
func TestDiskFullForAWhile(t *testing.T) {
	names := []string{"n1", "n2", "n3"}
	seats := map[string]*Seat{}
	views := map[string]*member.Core{}
	broken := &full{saved: &accord.Saved{}}
	random := uint64(0)
	for i, name := range names {
		c := Config{Name: name, Program: "1", Life: uint64(i + 1), Random: func() uint64 { random += 0x9e3779b97f4a7c15; return random }, Drainer: NewDrainer(&told{}, func([]string, func([]string)) {}),
			Fleet: &config.Fleet{Name: "f", Site: "a", Period: time.Second, Council: &config.Council{Seats: names, Dir: t.TempDir()}}}
		s, err := New(c, still{}, 0, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if name == "n1" {
			broken.store = s.store
			s.store = broken
		}
		seats[name] = s
		views[name] = member.New(member.Config{Self: wire.Record{Ident: wire.Ident{Name: name}, Site: "a", Addr: address(i)}, Life: uint64(i + 1), Seeds: []string{address(0), address(1), address(2)},
			Period: time.Second, Most: 8}, rand.New(rand.NewPCG(1, uint64(i))), 0)
	}
	at := map[string]string{address(0): "n1", address(1): "n2", address(2): "n3"}
	sent := map[string]int{}
	now := time.Duration(0)
	play := func(d time.Duration) {
		for end := now + d; now < end; now += 50 * time.Millisecond {
			var letters []struct {
				from string
				l    gossip.Letter
			}
			for i, name := range names {
				views[name].Step(now)
				for _, d := range views[name].Out() {
					views[at[d.To]].Take(now, address(i), d.Packet)
				}
				for _, l := range seats[name].Step(now, views[name]) {
					sent[name]++
					letters = append(letters, struct {
						from string
						l    gossip.Letter
					}{name, l})
				}
			}
			for _, x := range letters {
				seats[x.l.To].Take(now, x.from, x.l.Kind, x.l.Body)
			}
		}
	}
	play(time.Minute)
	core := seats["n1"].core.Accord()
	id := core.ID()
	if group, _ := core.Group(); group.None() || broken.saved.Hard == nil {
		t.Fatal("no group was founded")
	}
	broken.fails = 1 << 30
	decide := func() { // something that every seat has to save
		for _, s := range seats {
			if a := s.core.Accord(); a.Leads() {
				a.Propose([]byte("no command"))
			}
		}
	}
	decide()
	play(time.Second)
	if !seats["n1"].failing {
		t.Fatal("nothing was to be saved")
	}
	before := sent["n1"]
	play(30 * time.Second)
	if sent["n1"] != before {
		t.Errorf("%d datagrams went out while nothing could be saved", sent["n1"]-before)
	}
	broken.fails = 0
	play(time.Minute)
	if core.ID() != id || core.Counts().Forgotten != 0 {
		t.Errorf("voter %x before, %x after; forgotten %d times", id, core.ID(), core.Counts().Forgotten)
	}
	if sent["n1"] == before {
		t.Error("the seat is silent for good")
	}
	if broken.saved.ID != id {
		t.Errorf("saved for voter %x, it is %x", broken.saved.ID, id)
	}
}
