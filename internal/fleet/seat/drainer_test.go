package seat

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// told notes what the Balancer would be told.
type told struct{ list []string }

func (t *told) Listed(kind balance.List, g config.Group) {
	for _, p := range g.Peers {
		t.list = append(t.list, fmt.Sprintf("%d %s %d", kind, p.ID, p.State))
	}
}

func (t *told) take() []string {
	l := t.list
	t.list = nil
	return l
}

// A drained worker is told as draining whatever discovery says, once, and as ready again only where discovery says so; its being
// quiet is asked for anew whenever the drained ones change.
func TestDrainer(t *testing.T) {
	out := &told{}
	var asked []string
	var answer func([]string)
	d := &Drainer{Events: out, busy: func(peers []string, quiet func([]string)) { asked, answer = peers, quiet }}
	peer := func(id string, s balance.State) config.Peer {
		return config.Peer{Worker: balance.Worker{ID: id, State: s, Zone: "a", Kind: "k"}}
	}
	want := func(what string, list ...string) {
		t.Helper()
		if got := out.take(); !slices.Equal(got, list) {
			t.Errorf("%s: %q, not %q", what, got, list)
		}
	}
	d.Listed(balance.ListFull, config.Group{Version: 1, Full: true, Peers: []config.Peer{peer("w1", balance.Ready), peer("w2", balance.Ready)}})
	want("the list", "1 w1 1", "1 w2 1")
	d.set([]string{"w1"})
	want("a drain", fmt.Sprintf("%d w1 2", balance.ListNoted))
	d.Listed(balance.ListChanges, config.Group{Version: 2, Peers: []config.Peer{peer("w1", balance.Ready), peer("w2", balance.Draining)}})
	want("news of a drained worker", "0 w1 2", "0 w2 2")
	d.look()
	if !slices.Equal(asked, []string{"w1"}) || d.isQuiet("w1") {
		t.Errorf("asked for %q", asked)
	}
	late := answer
	answer([]string{"w1"})
	if !d.isQuiet("w1") {
		t.Error("not quiet")
	}
	d.set([]string{"w1", "w2"})
	want("another drain", fmt.Sprintf("%d w2 2", balance.ListNoted))
	if d.isQuiet("w1") {
		t.Error("quiet by an answer of before")
	}
	d.look()
	late([]string{"w1"})
	if d.isQuiet("w1") {
		t.Error("a late answer counts")
	}
	d.set(nil)
	want("back", fmt.Sprintf("%d w1 1", balance.ListNoted), fmt.Sprintf("%d w2 2", balance.ListNoted))
	d.Listed(balance.ListFailed, config.Group{})
	now := 100 * time.Second
	list := d.workers(now, 10*time.Second, map[string]balance.Known{"w1": {Started: 95 * time.Second}})
	if len(list) != 2 || list[0].Out != "cold" || list[1].Out != "discovery ends it" {
		t.Errorf("%+v", list)
	}
}
