package node

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/control"
	"swiftdeal/internal/fleet/council"
	"swiftdeal/internal/fleet/gossip"
	"swiftdeal/internal/fleet/permit"
	"swiftdeal/internal/fleet/rollout"
	"swiftdeal/internal/fleet/seat"
	"swiftdeal/internal/fleet/wire"
)

// part makes the node's part in the council as it enters the fleet; nil where the fleet's file has no council.
func (f *fleet) part(life uint64, now time.Duration) gossip.Part {
	log := f.log.With("part", "council")
	s, err := seat.New(seat.Config{Fleet: f.c.Fleet, Name: f.name(), Program: f.c.Program, Life: life, ColdFor: f.c.Settings.Balance.ColdFor, BindWait: f.n.limits.BindWait,
		Random: f.m.Random, Drainer: f.drainer}, host{f}, now, log)
	if err != nil {
		log.Error("takes no part in the council", "error", err)
		return nil
	}
	return s
}

// host is the node as its part in the council sees it.
type host struct{ f *fleet }

// State implements seat.Host.
func (h host) State() wire.State { return h.f.state() }

// SentAway implements seat.Host.
func (h host) SentAway() bool { return h.f.n.standing.sentAway() }

// Idle implements seat.Host.
func (h host) Idle() bool { return h.f.n.admit.Open() == 0 }

// Drain implements seat.Host.
func (h host) Drain() { h.f.n.Drain() }

// Resume implements seat.Host.
func (h host) Resume() { h.f.n.Resume() }

// Told implements seat.Host.
func (h host) Told(told bool) { h.f.told.Store(told) }

// Counts implements seat.Host.
func (h host) Counts() map[string]rollout.Count {
	counts := map[string]rollout.Count{}
	for _, t := range h.f.n.book.Tallies() {
		if t.Served+t.Failed+t.Refused > 0 && len(counts) < 12 {
			counts[t.Class] = rollout.Count{Served: t.Served, Failed: t.Failed, Refused: t.Refused, Late: t.Late}
		}
	}
	return counts
}

// Known implements seat.Host.
func (h host) Known() (workers map[string]balance.Known, room map[string]int, now time.Duration) {
	l := h.f.last.Load()
	if l == nil {
		return nil, nil, 0
	}
	room = map[string]int{}
	n := h.f.n
	n.settle.Lock()
	names := n.inForce.ClassNames()
	n.settle.Unlock()
	for i, r := range l.rooms[:min(len(l.rooms), len(names))] {
		room[names[i]] = r
	}
	return l.know, room, h.f.n.route.Now()
}

// held reports whether clients are to wait until the node has heard which workers are drained, and what the fleet's settings
// are. That is bounded: a council that
// cannot answer keeps no node from its service.
func (f *fleet) held() bool {
	if f == nil || f.c.Fleet.Council == nil {
		return false
	}
	return !f.told.Load() && time.Since(f.entered) <= f.n.limits.CouncilWait || f.n.overlay.held()
}

// with has something done with the node's part in the council, and reports whether it was: not where that has not begun.
func (f *fleet) with(do func(now time.Duration, s *seat.Seat)) (done bool) {
	f.now().Do(func(now time.Duration, p gossip.Part) {
		do(now, p.(*seat.Seat))
		done = true
	})
	return done
}

// answer waits for what has become of a call on the council, as long as the limits let it.
func (f *fleet) answer(reply <-chan council.Result) (int, any) {
	timer := time.NewTimer(f.n.limits.CouncilCall)
	defer timer.Stop()
	select {
	case r := <-reply:
		return http.StatusOK, r
	case <-timer.C:
		return http.StatusGatewayTimeout, "no answer of the council yet; the call goes on: look at its status"
	}
}

// CouncilCall implements control.Calls.
func (n *Node) CouncilCall(path string, q url.Values, body []byte) (int, any) {
	f := n.fleet
	if f == nil || f.c.Fleet.Council == nil {
		return http.StatusNotFound, "this node has no part in a council"
	}
	var status = http.StatusServiceUnavailable
	var answer any = "the node's part in the fleet has not begun, or is busy"
	with := f.with
	switch path {
	case "settings", "settings-call":
		return f.settingsCall(path, body)
	case "call":
		var c council.Call
		if err := json.Unmarshal(body, &c); err != nil {
			return http.StatusBadRequest, err.Error()
		}
		reply := make(chan council.Result, 1)
		if !with(func(now time.Duration, s *seat.Seat) { s.Call(now, c, reply) }) {
			return status, answer
		}
		return f.answer(reply)
	case "council":
		with(func(now time.Duration, s *seat.Seat) { status, answer = http.StatusOK, s.Report(now) })
	case "duty":
		with(func(now time.Duration, s *seat.Seat) {
			if node := q.Get("node"); node != "" && node != f.name() {
				d, ok := s.DutyOf(node)
				if status, answer = http.StatusOK, d; !ok {
					status, answer = http.StatusMisdirectedRequest, "this node has no seat"
				}
				return
			}
			status, answer = http.StatusOK, s.Duty()
		})
	case "did":
		with(func(now time.Duration, s *seat.Seat) {
			d, ok := s.Did(q.Get("permit"))
			if status, answer = http.StatusOK, d; !ok {
				status, answer = http.StatusConflict, "nothing is to be done under that permit now"
			}
		})
	}
	return status, answer
}

// councilFigures returns the council's figures; none without one.
func (f *fleet) councilFigures() (list []control.Family) {
	f.with(func(now time.Duration, s *seat.Seat) {
		r := s.Report(now)
		if list = figures(r); s.Revision() != nil {
			list = append(list, settingsFigures(r.Settings, s.Revision())...)
		}
	})
	return list
}

func figures(r *council.Report) []control.Family {
	phases := control.Family{Name: "gw_council_permits", Help: "Permits by phase.", Gauge: true, Label: "phase"}
	by := map[permit.Phase]int64{}
	for _, p := range r.Permits {
		by[p.Phase]++
	}
	for p := permit.Granted; p <= permit.Returning; p++ {
		phases.Rows = append(phases.Rows, control.Row{Of: p.String(), Value: by[p]})
	}
	one := func(yes bool) int64 {
		if yes {
			return 1
		}
		return 0
	}
	return []control.Family{phases,
		control.One("gw_council_leads", "1 while this node leads the council.", true, one(r.Leads)),
		control.One("gw_council_trouble", "1 while the council does not answer this node.", true, one(r.Trouble != "")),
		control.One("gw_council_waiting", "Requests that wait.", true, int64(len(r.Queue))),
		control.One("gw_council_out_nodes", "Nodes out of service, whatever the reason, as the leader saw them last.", true, int64(r.OutNodes)),
		control.One("gw_council_group", "Number of the council's group.", true, int64(r.Group.Number)),
		control.One("gw_council_index", "How far this seat's state has come.", true, int64(r.Index)),
		control.One("gw_council_exits_begun", "Exits that this node has begun under permits.", false, r.Counts.Begun),
		control.One("gw_council_returns_alone", "Returns of this node without the council's word.", false, r.Counts.Alone),
		control.One("gw_council_release", "Phase of the release: 0 none, 1 running, 2 paused, 3 halted, 4 going back, 5 stuck, 6 done, 7 undone.", true, int64(r.ReleasePhase)),
	}
}
