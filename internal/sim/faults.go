package sim

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/node"
	"swiftdeal/internal/standin"
)

// on is what a fault strikes.
type on int

const (
	onAll on = iota
	onPeer
	onNode
)

// faultKind is a kind of fault: what it does when it begins, and when it ends.
type faultKind struct {
	on    on
	means string // of the amount, and what it is
	begin func(w *World, f *Fault)
	end   func(w *World, f *Fault)
}

// ail makes a fault of a peer's trouble that passes.
func ail(means string, set func(t *standin.Trouble, amount float64)) faultKind {
	return faultKind{on: onPeer, means: means,
		begin: func(w *World, f *Fault) { w.peer(f).peer.Change(func(t *standin.Trouble) { set(t, f.Amount) }) },
		end:   func(w *World, f *Fault) { w.peer(f).peer.Change(func(t *standin.Trouble) { set(t, 0) }) },
	}
}

func (w *World) peer(f *Fault) *machineState { return w.order[f.Target] }

var faults map[string]faultKind

func init() {
	faults = map[string]faultKind{
		"slow":         ail("the peer is up to 10 times slower", func(t *standin.Trouble, a float64) { t.Slow = 1 + 9*a }),
		"fail":         ail("the share of jobs that fail at once", func(t *standin.Trouble, a float64) { t.Fail = a }),
		"neighbour":    ail("the share of the machine that another program takes", func(t *standin.Trouble, a float64) { t.Steal = 0.8 * a }),
		"report-late":  ail("reports come up to 5 s late", func(t *standin.Trouble, a float64) { t.Late = ms(5000 * a) }),
		"report-stuck": ail("reports are not renewed", func(t *standin.Trouble, a float64) { t.Freeze = a > 0 }),
		"report-lies":  ail("reports say that all is free", func(t *standin.Trouble, a float64) { t.Lie = a > 0 }),
		"reset":        ail("the share of jobs whose connection breaks as they end", func(t *standin.Trouble, a float64) { t.Reset = a }),
		"garble":       ail("the share of answers that are to no request", func(t *standin.Trouble, a float64) { t.Garble = a }),
		"pieces":       ail("answers come in pieces", func(t *standin.Trouble, a float64) { t.Pieces = a > 0 }),
		"forget":       ail("idle connections are closed at once", func(t *standin.Trouble, a float64) { t.ForgetConn = a > 0 }),
		"table-full":   ail("the peer refuses new connections and goes on serving those it has", func(t *standin.Trouble, a float64) { t.FullTable = a > 0 }),
		"no-connect": {on: onPeer, means: "connections to the peer do not come up",
			begin: func(w *World, f *Fault) { w.peer(f).mute = true },
			end:   func(w *World, f *Fault) { w.peer(f).mute = false }},
		"die": {on: onPeer, means: "the peer dies, and starts cold after a while; discovery tells late",
			begin: func(w *World, f *Fault) {
				w.stopPeer(w.peer(f))
				w.publish(w.peer(f), "terminated")
			},
			end: (*World).restartPeer},
		"restart": {on: onPeer, means: "the peer's process is replaced by a cold one at once, and the list tells late",
			begin: func(w *World, f *Fault) { w.stopPeer(w.peer(f)) },
			end:   (*World).restartPeer},
		"vanish": {on: onPeer, means: "the machine says nothing for a while",
			begin: func(w *World, f *Fault) { w.cut(w.peer(f), true) },
			end:   func(w *World, f *Fault) { w.cut(w.peer(f), false) }},
		"drain": {on: onPeer, means: "the peer drains, ends, and starts cold",
			begin: func(w *World, f *Fault) { w.drainPeer(w.peer(f)) },
			end: func(w *World, f *Fault) {
				m := w.peer(f)
				if w.stopPeer(m); m.entry.State == "terminating" {
					w.publish(m, "terminated")
					w.After(ms(300+2000*f.Amount), func() { w.restartPeer(f) })
				}
			}},
		"drain-die": {on: onPeer, means: "the peer's drain is told and it dies at the same instant",
			begin: func(w *World, f *Fault) {
				m := w.peer(f)
				w.drainPeer(m)
				w.After(w.disco.Late+ms(f.Amount-0.5), func() { w.stopPeer(m) })
			},
			end: (*World).restartPeer},
		"list-down": {on: onAll, means: "discovery is down",
			begin: func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Down(true) }) },
			end:   func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Down(false) }) }},
		"unlist": {on: onPeer, means: "the list drops the peer, which runs on, and names it again after a while",
			begin: func(w *World, f *Fault) {
				if m := w.peer(f); m.peer.Up() && m.entry.State == "in_service" {
					w.publish(m, "terminated")
				}
			},
			end: func(w *World, f *Fault) {
				if m := w.peer(f); m.peer.Up() && m.entry.State == "terminated" {
					w.publish(m, "in_service")
				}
			}},
		"list-stale": {on: onAll, means: "discovery answers with an old list",
			begin: func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Stale(true) }) },
			end:   func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Stale(false) }) }},
		"list-empty": {on: onAll, means: "discovery answers with an empty list, and tells it",
			begin: func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Empty(true) }) },
			end:   func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Empty(false) }) }},
		"list-busy": {on: onAll, means: "discovery serves calls one after the other, each up to a second; after a second they fail",
			begin: func(w *World, f *Fault) { w.disco.Each, w.disco.Wait = ms(1000*f.Amount), time.Second },
			end:   func(w *World, _ *Fault) { w.disco.Each = 0 }},
		"list-silent": {on: onAll, means: "watches fall silent for good",
			begin: func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Silent() }) }},
		"list-slow": {on: onAll, means: "discovery answers up to 4 s late",
			begin: func(w *World, fault *Fault) {
				w.fronts(func(f *standin.Front) { f.Delay = ms(4000 * fault.Amount) })
			},
			end: func(w *World, _ *Fault) { w.fronts(func(f *standin.Front) { f.Delay = 0 }) }},
		"heavy-tail": {on: onAll, means: "an eighth of one class's jobs, which the amount picks, are 5 to 30 times as long as their hints say",
			begin: func(w *World, f *Fault) { w.heavy = f },
			end:   func(w *World, _ *Fault) { w.heavy = nil }},
		"move": {on: onAll, means: "discovery moves: SIGHUP with its new address, the old one ends 1.5 s later",
			begin: func(w *World, _ *Fault) { w.move() }},
		"reload": {on: onNode, means: "SIGHUP with an unchanged file",
			begin: func(w *World, f *Fault) { w.reload(w.nodes[f.Target], w.nodes[f.Target].disco) }},
		"send-away": {on: onNode, means: "the drain call, four seconds at least, and then the resume call",
			begin: func(w *World, f *Fault) { w.sendAway(f.Target) },
			end:   func(w *World, f *Fault) { w.takeBack(f.Target) }},
		"figures": {on: onNode, means: "the node's figures are read, which must be true once nothing is open",
			begin: func(w *World, f *Fault) { w.figures(w.nodes[f.Target]) }},
		"retune": {on: onNode, means: "SIGHUP with settings that lack charge-card, a broken file, and then SIGHUP with the class again",
			begin: func(w *World, f *Fault) {
				n := w.nodes[f.Target]
				to := *n.conf
				all := to.Settings.Balance.Classes
				to.Settings.Balance.Classes = all[:len(all)-1] // the last one
				w.hup(n, node.Reload{Config: &to})
				w.After(ms(f.For/2), func() { w.hup(n, node.Reload{Err: errors.New("cut off")}) })
			},
			end: func(w *World, f *Fault) { n := w.nodes[f.Target]; w.hup(n, node.Reload{Config: n.conf}) }},
		"term": {on: onNode, means: "SIGTERM; the node starts again after a while",
			begin: func(w *World, f *Fault) {
				n := w.nodes[f.Target]
				w.term(n, func() { w.After(ms(f.For), func() { w.again(f.Target) }) })
			}},
		"replace": {on: onNode, means: "a second process takes the node's place, and the first gets SIGTERM so long after its yes",
			begin: func(w *World, f *Fault) { w.replace(f.Target, ms(f.For)) }},
		"kill": {on: onNode, means: "the node is killed, and starts again after a while",
			begin: func(w *World, f *Fault) {
				n := w.nodes[f.Target]
				for _, o := range w.olds { // a second process of it dies as well
					if o.name == n.name {
						w.kill(o, forever)
					}
				}
				w.kill(n, forever)
			},
			end: func(w *World, f *Fault) { w.again(f.Target) }},
	}
}

// faultNames lists the kinds of fault.
func faultNames() (names []string) {
	for k := range faults {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// Help words what each kind of fault does.
func Help() (lines []string) {
	for _, k := range faultNames() {
		lines = append(lines, k+": "+faults[k].means)
	}
	for _, k := range slices.Sorted(maps.Keys(fleetFaults)) {
		lines = append(lines, k+" (with fleet): "+fleetFaults[k].means)
	}
	return lines
}

// lengthen makes a job longer than its hint while a heavy tail is on.
func (w *World) lengthen(j *standin.Job) {
	if w.heavy == nil || j.Class != classPlans[int(w.heavy.Amount*1000)%len(classPlans)].name {
		return
	}
	if h := xxhash.Sum64String(j.Name); h%8 == 0 {
		j.Work *= float64(5 + h/8%26)
	}
}

// strike plans a fault.
func (w *World) strike(f *Fault) {
	k, _ := faultOf(f.Kind)
	w.at(ms(f.At), func() {
		w.trace("fault %s on %d begins (%g for %g ms)", f.Kind, f.Target, f.Amount, f.For)
		k.begin(w, f)
	})
	if k.end != nil {
		w.at(ms(f.At+f.For), func() {
			w.trace("fault %s on %d ends", f.Kind, f.Target)
			k.end(w, f)
		})
	}
}

// publish changes a peer's entry in discovery's list.
func (w *World) publish(m *machineState, state string) {
	m.entry.State = state
	w.disco.Set(m.entry)
}

func (w *World) drainPeer(m *machineState) {
	if m.peer.Up() && m.entry.State == "in_service" {
		m.peer.Drain()
		w.publish(m, "terminating")
	}
}

// restartPeer starts a peer again, cold, and has the list tell.
func (w *World) restartPeer(f *Fault) {
	m := w.peer(f)
	if m.peer.Up() {
		return
	}
	w.startPeer(m, true)
	m.entry.Started = time.Now().UnixMilli()
	w.publish(m, "in_service")
}

// fronts does something at every address of discovery that is in service.
func (w *World) fronts(do func(*standin.Front)) {
	for _, m := range w.machines() {
		if m.front != nil && !m.gone {
			do(m.front)
		}
	}
	w.listed()
}

// move moves discovery to a new address.
func (w *World) move() {
	var old []*machineState
	for _, m := range w.machines() {
		if m.front != nil && !m.gone {
			old = append(old, m)
		}
	}
	m := w.newFront()
	for i, n := range w.nodes {
		w.nodes[i].disco = m.addr
		w.reload(n, m.addr)
	}
	w.After(1500*time.Millisecond, func() {
		for _, o := range old {
			o.gone = true
			o.front.Down(true)
		}
	})
}

// reload sends a node SIGHUP: never within its first second, nor before it is ready.
func (w *World) reload(n *simNode, disco string) {
	if !n.up || n.dead {
		return
	}
	if !n.ready && n.termed == 0 || w.now() < n.began+time.Second {
		w.After(200*time.Millisecond, func() { w.reload(n, disco) })
		return
	}
	to := *n.conf
	to.Discovery = disco
	w.trace("%s SIGHUP, discovery at %s", n.name, disco)
	w.hup(n, node.Reload{Config: &to})
}

// hup hands a node what it reads at SIGHUP.
func (w *World) hup(n *simNode, r node.Reload) {
	reloads := n.reloads
	go func() {
		select {
		case reloads <- r:
		case <-n.over:
		}
	}()
}

// sendAway makes the drain call. Four seconds later the node must hold no connection that carries no request, and still
// say no.
func (w *World) sendAway(i int) {
	n := w.nodes[i]
	if !n.up || !n.ready || n.away {
		return
	}
	n.away = true
	w.dialNode(n, n.ln, 0, &stays{})
	w.After(5*time.Millisecond, func() {
		w.call(n, n.ctl, "POST /-/drain", func(code string) { w.wants(n, "drain", code, "200") })
	})
	w.After(300*time.Millisecond, func() { n.ready = false }) // the front has noticed
	w.After(4*time.Second, func() {
		if !n.up || !n.away || n.termed > 0 {
			return
		}
		idle := -w.checker.OwedSince(n.name, w.now())
		for l := range n.links {
			if l.machine.name == "client" && !l.nodeEnd && !l.farShut && !l.broken {
				idle++
			}
		}
		if idle > 0 {
			w.fault("away", fmt.Sprintf("%s holds %d idle client connections 4 s after the drain call", n.name, idle), n.name, "")
		}
		w.call(n, n.ln, "GET /ready", func(code string) { w.wants(n, "/ready in a drain", code, "503") })
	})
}

// takeBack makes the resume call; the node is to take clients within two seconds.
func (w *World) takeBack(i int) {
	n := w.nodes[i]
	if !n.up || !n.away || n.termed > 0 {
		return
	}
	w.call(n, n.ctl, "POST /-/resume", func(code string) {
		w.wants(n, "resume", code, "200")
		n.away = false
		w.call(n, n.ln, "GET /ready", func(code string) {
			w.wants(n, "/ready after resume", code, "200")
			n.ready = true
		})
	})
}

// wants checks the answer to a call. A node that ends meanwhile owes none.
func (w *World) wants(n *simNode, what, code, want string) {
	if code != want && n.up && n.termed == 0 {
		w.fault("away", fmt.Sprintf("%s answers %s with %q, want %s", n.name, what, code, want), n.name, "")
	}
}

// call makes one call of a node's and tells how it is answered; an empty code is no answer.
func (w *World) call(n *simNode, ln *door, text string, then func(code string)) {
	w.dialNode(n, ln, 0, &calls{text: text + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", then: then})
}

// figures reads a node's figures and holds them against what its clients have seen.
func (w *World) figures(n *simNode) {
	if !n.up || n.termed > 0 || n.answers == nil || w.checker.OwedSince(n.name, w.now()) > 0 {
		return
	}
	w.dialNode(n, n.ctl, 0, &reads{then: func(text string) {
		got := map[string]int{}
		for line := range strings.Lines(text) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			name, _, _ = strings.Cut(name, "{")
			v, _ := strconv.Atoi(value)
			got[strings.TrimPrefix(name, "gw_")] += v
		}
		for _, k := range []string{"served", "refused", "failed"} {
			if more := got[k] - n.answers[k]; more < 0 || more > n.answers["unseen"]+w.odd() {
				w.fault("figures", fmt.Sprintf("%s: %d %s, its clients have seen %d", n.name, got[k], k, n.answers[k]), n.name, "")
			}
		}
		w.out.Figures++
		// Attempts are written whole; some break before.
		if got["in_flight"] != 0 || got["attempts"] < got["served"] || got["attempts"] > n.answers["sent"] || got["workers_known"] > len(w.plan.Peers) {
			w.fault("figures", fmt.Sprintf("%s: %v", n.name, got), n.name, "")
		}
	}})
}

// odd counts the clients so far that break the protocol: they do not wait for answers, which the node counts.
func (w *World) odd() (n int) {
	for _, j := range w.plan.Jobs {
		if ms(j.At) < w.now() && !j.Shape.Usual() {
			n++
		}
	}
	return n
}

// reads is who reads a node's figures.
type reads struct {
	text []byte
	then func(string)
}

func (a *reads) Up(c standin.Conn) {
	c.Write([]byte("GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
}
func (a *reads) Data(p []byte) { a.text = append(a.text, p...) }
func (a *reads) Gone(bool)     { a.then(string(a.text)) }

// stays is a client that has asked once and keeps its connection.
type stays struct{}

func (*stays) Up(c standin.Conn) { c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), nil) }
func (*stays) Data([]byte)       {}
func (*stays) Gone(bool)         {}

// calls is who makes a call.
type calls struct {
	c    standin.Conn
	text string
	then func(string)
	told bool
}

func (a *calls) Up(c standin.Conn) {
	a.c = c
	c.Write([]byte(a.text), nil)
}

func (a *calls) Data(p []byte) {
	if !a.told {
		a.told = true
		_, code, _ := standin.Words(p)
		a.c.Close()
		a.then(code)
	}
}

func (a *calls) Gone(bool) {
	if !a.told {
		a.told = true
		a.then("")
	}
}

// again starts a node again.
func (w *World) again(i int) {
	if n := w.nodes[i]; !n.up {
		w.startNode(n)
	}
}
