package seat

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/discovery"
	"swiftdeal/internal/fleet/council"
)

// Drainer stands between discovery and whoever is told of workers: those that the council has drained are told as draining,
// whatever discovery says of them.
type Drainer struct {
	discovery.Events
	busy func(peers []string, quiet func([]string))

	mu      sync.Mutex
	group   config.Group
	drained []string
	quiet   []string // of those: no try of this node is there
	asked   bool
}

// NewDrainer returns a Drainer that tells list. busy asks which of the named workers no try of this node is at.
func NewDrainer(list discovery.Events, busy func(peers []string, quiet func([]string))) *Drainer {
	return &Drainer{Events: list, busy: busy}
}

// Listed implements upstream.Events.
func (d *Drainer) Listed(kind balance.List, g config.Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind == balance.ListFull || kind == balance.ListCached || kind == balance.ListChanges {
		d.group = d.group.With(g)
		g.Peers = d.marked(g.Peers)
	}
	d.Events.Listed(kind, g)
}

func (d *Drainer) marked(peers []config.Peer) []config.Peer {
	if len(d.drained) == 0 {
		return peers
	}
	peers = slices.Clone(peers)
	for i := range peers {
		if peers[i].State == balance.Ready && slices.Contains(d.drained, peers[i].ID) {
			peers[i].State = balance.Draining
		}
	}
	return peers
}

// set takes which workers are drained from now on.
func (d *Drainer) set(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.drained
	d.drained, d.quiet = names, nil
	var changed []config.Peer
	for _, p := range d.group.Peers {
		if slices.Contains(was, p.ID) != slices.Contains(names, p.ID) {
			changed = append(changed, p)
		}
	}
	if len(changed) > 0 {
		d.Events.Listed(balance.ListNoted, config.Group{Version: d.group.Version, Peers: d.marked(changed)})
	}
}

// look asks which of the drained workers no try is at.
func (d *Drainer) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.drained) == 0 || d.asked {
		return
	}
	d.asked = true
	names := d.drained
	d.busy(names, func(quiet []string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.asked = false; slices.Equal(names, d.drained) {
			d.quiet = quiet
		}
	})
}

func (d *Drainer) isQuiet(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.quiet, worker)
}

// workers lists what discovery says, for the leader's watch. ill and starts are the Balancer's knowledge.
func (d *Drainer) workers(now, coldFor time.Duration, know map[string]balance.Known) (list []council.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.group.Peers {
		w, k := council.Worker{ID: p.ID, Site: p.Zone, Kind: p.Kind}, know[p.ID]
		from := cmp.Or(k.WarmFrom, k.Started, p.Started) // by the Balancer's clock where it has told
		switch {
		case p.State != balance.Ready:
			w.Out = "discovery ends it"
		case from > 0 && now-from < coldFor:
			w.Out = "cold"
		case k.Fails > 1 || k.ProbeFails > 1:
			w.Out = "errs, or does not answer"
		}
		list = append(list, w)
	}
	return list
}
