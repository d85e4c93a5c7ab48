// Package soak runs dozens of real processes of the program on loopback, injects two or three overlapping faults that are drawn from
// a seed, and checks the node's invariants. Faults are injected where they arise in production: signals, failing system calls, steps
// of the wall clock, files, blocked, delayed and reset sockets, misbehaving clients and workers.
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Plan describes a run. Times are in milliseconds from the start of the load.
type Plan struct {
	Seed       uint64  `json:"seed"`
	Nodes      int     `json:"nodes"`
	Workers    int     `json:"workers"`
	Rate       float64 `json:"rate"`    // requests per second, over all nodes
	WorkMs     float64 `json:"work_ms"` // mean work of a job
	LengthMs   float64 `json:"length_ms"`
	OddClients float64 `json:"odd"` // share of clients whose shape is not Plain
	// KillAtEarliest says that a node that was told to end gets SIGKILL as soon as the platform may send it.
	KillAtEarliest bool    `json:"kill_at_earliest,omitempty"`
	Faults         []Fault `json:"troubles"`
}

// Fault is one fault of a plan.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	At      float64   `json:"at"`
	Length  float64   `json:"for"`
	Target  int       `json:"target"`           // index of the node, for faults of a node
	Amount  float64   `json:"amount,omitempty"` // a share, a count, seconds or milliseconds, depending on the kind
	Syscall string    `json:"call,omitempty"`   // of Calls: strace's injection rule
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of fault.
const (
	Term     FaultKind = "term"      // the node gets SIGTERM, and is restarted after Length
	Kill     FaultKind = "kill"      // the node gets SIGKILL, and is restarted after Length
	HeldUp   FaultKind = "held-up"   // the node is stopped (SIGSTOP) for 100 ms every 400 ms
	Reload   FaultKind = "reload"    // the node reloads its configuration Amount times, each with the other address of discovery
	Replace  FaultKind = "replace"   // a second process of the node is started, then the first gets SIGTERM
	Clock    FaultKind = "clock"     // the node's wall clock is stepped by Amount seconds
	Calls    FaultKind = "calls"     // system calls of the node fail from its start on
	LogStall FaultKind = "log-stall" // nobody reads the node's log

	DiscoDown   FaultKind = "disco-down"   // discovery refuses connections and resets watches
	DiscoSilent FaultKind = "disco-silent" // all open watches receive nothing any more
	DiscoSlow   FaultKind = "disco-slow"   // discovery answers after Amount ms

	WorkerDrain  FaultKind = "worker-drain"  // a share Amount of the workers drains, and restarts cold
	WorkerKill   FaultKind = "worker-kill"   // a share Amount of the workers is killed, and restarts cold
	WorkerHang   FaultKind = "worker-hang"   // a share Amount of the workers neither reads nor writes
	WorkerFail   FaultKind = "worker-fail"   // a share Amount of the jobs fails, loses its connection or is answered with a wrong id
	WorkerForget FaultKind = "worker-forget" // workers close idle connections at once and answer in small pieces
	WorkerLate   FaultKind = "worker-late"   // data to and from workers is delayed by Amount ms
	WorkerReset  FaultKind = "worker-reset"  // all connections to a share Amount of the workers are reset every 300 ms

	ClientsLeave FaultKind = "clients-leave" // a share Amount of the clients disconnects early
	ClientsStop  FaultKind = "clients-stop"  // Amount clients per second stall in the middle of a request and stay connected

	// Faults that are added to the drawn ones.

	Signals      FaultKind = "signals"       // the node gets Amount times SIGHUP and then SIGTERM in quick succession, then as Term
	ClientsCrowd FaultKind = "clients-crowd" // Amount clients of one node misbehave in the same way, each on one connection after another
	ClientsFlood FaultKind = "clients-flood" // a share Amount of the clients writes much behind its request and disconnects early
)

// faultRange is a kind of fault and the range from which its Amount is drawn.
type faultRange struct {
	kind        FaultKind
	node        bool // Target is a node
	least, most float64
}

// kinds lists the kinds of fault of which two or three are drawn.
var kinds = []faultRange{
	{Term, true, 0, 0}, {Kill, true, 0, 0}, {HeldUp, true, 0, 0}, {Reload, true, 2, 6}, {Replace, true, 0, 0},
	{Clock, true, -3600, 3600}, {Calls, true, 0, 0},
	{LogStall, true, 0, 0}, {DiscoDown, false, 0, 0}, {DiscoSilent, false, 0, 0},
	{DiscoSlow, false, 200, 2500}, {WorkerDrain, false, 0.2, 0.5},
	{WorkerKill, false, 0.1, 0.4}, {WorkerHang, false, 0.1, 0.4}, {WorkerFail, false, 0.1, 0.5},
	{WorkerForget, false, 0, 0}, {WorkerLate, false, 20, 300},
	{WorkerReset, false, 0.2, 1}, {ClientsLeave, false, 0.2, 0.7}, {ClientsStop, false, 5, 30},
}

// addedKinds lists the kinds of fault that are added to the drawn ones, with their chance. They are drawn apart, so that the others of
// a seed stay the same.
var addedKinds = []struct {
	faultRange
	chance float64
}{
	{faultRange{Signals, true, 1, 5}, 0.4}, {faultRange{ClientsCrowd, true, 100, 300}, 0.35},
	{faultRange{ClientsFlood, false, 0.2, 0.6}, 0.5},
}

// allKinds returns all kinds of fault.
func allKinds() []faultRange {
	list := slices.Clone(kinds)
	for _, k := range addedKinds {
		list = append(list, k.faultRange)
	}
	return list
}

// FaultKinds returns all kinds of fault.
func FaultKinds() (list []FaultKind) {
	for _, k := range allKinds() {
		list = append(list, k.kind)
	}
	return list
}

// syscallFaults are strace rules that make system calls fail with errors that Linux documents for them.
var syscallFaults = []string{
	"accept4:error=ENOBUFS:when=3+4", "accept4:error=EPROTO:when=2+3", "accept4:error=ENFILE:when=3+2",
	"accept4:error=EHOSTUNREACH:when=2+5",
	"connect:error=ENETUNREACH:when=3+5", "connect:error=EADDRNOTAVAIL:when=2+4",
	"connect:error=EINTR:when=2+3", "socket:error=ENOBUFS:when=6+5", "socket:error=ENFILE:when=7+4",
	"epoll_pwait:error=EINTR:when=2+3", "read:error=EINTR:when=5+7", "read:error=ETIMEDOUT:when=60+40",
	"read:error=EHOSTUNREACH:when=80+50", "writev:error=EPIPE:when=15+20",
	"writev:error=EINTR:when=3+4", "write:error=EINTR:when=5+6", "setsockopt:error=EINVAL:when=4+3",
	"futex:error=EINTR:when=30+50",
}

// Draw returns the plan of a seed: two or three faults that overlap in time, and those of addedKinds by chance. Nodes that are told to
// end are killed at the earliest.
func Draw(seed uint64, nodes int) *Plan {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	p := &Plan{
		Seed:       seed,
		Nodes:      nodes,
		Workers:    6 + r.IntN(6),
		WorkMs:     40 + 160*r.Float64(),
		LengthMs:   9000,
		OddClients: 0.3 * r.Float64(),
	}
	p.Rate = float64(nodes) * (3 + 5*r.Float64())
	middle := 2500 + 2500*r.Float64()
	for _, i := range r.Perm(len(kinds))[:2+r.IntN(2)] {
		k := kinds[i]
		t := Fault{Kind: k.kind, Length: 800 + 2700*r.Float64(), Amount: k.least + (k.most-k.least)*r.Float64()}
		t.At = max(200, middle-t.Length*r.Float64())
		if k.node {
			t.Target = r.IntN(nodes)
		}
		if t.Kind == Clock {
			steps := []float64{-3600, 3600, -5, 5}
			t.Amount = steps[r.IntN(len(steps))]
		}
		if t.Kind == Calls {
			t.At, t.Length, t.Syscall = 0, p.LengthMs, syscallFaults[r.IntN(len(syscallFaults))]
		}
		p.Faults = append(p.Faults, t)
	}
	p.addFaults(rand.New(rand.NewPCG(seed, 0x5164)), middle)
	p.KillAtEarliest = true
	return p
}

// addFaults draws faults of addedKinds. A node that another fault has as its target is not drawn.
func (p *Plan) addFaults(r *rand.Rand, middle float64) {
	for _, k := range addedKinds {
		t := Fault{Kind: k.kind, Length: 800 + 2700*r.Float64(), Amount: k.least + (k.most-k.least)*r.Float64()}
		t.At = max(200, middle-t.Length*r.Float64())
		t.Target = r.IntN(p.Nodes)
		taken := k.node && slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Target == t.Target })
		if r.Float64() < k.chance && !taken {
			if !k.node {
				t.Target = 0
			}
			p.Faults = append(p.Faults, t)
		}
	}
}

// Check returns an error for an invalid plan.
func (p *Plan) Check() error {
	switch {
	case p.Nodes < 1 || p.Nodes > 40:
		return fmt.Errorf("nodes: %d, must be 1 to 40", p.Nodes)
	case p.Workers < 1 || p.Workers > 40:
		return fmt.Errorf("workers: %d, must be 1 to 40", p.Workers)
	case !(p.Rate > 0 && p.Rate <= 2000):
		return fmt.Errorf("rate: %v is out of range", p.Rate)
	case !(p.WorkMs > 0 && p.WorkMs <= 2000):
		return fmt.Errorf("work_ms: %v is out of range", p.WorkMs)
	case !(p.LengthMs > 0 && p.LengthMs <= 600000):
		return fmt.Errorf("length_ms: %v is out of range", p.LengthMs)
	}
	for i, t := range p.Faults {
		at := slices.Index(FaultKinds(), t.Kind)
		ranges := allKinds()
		switch {
		case at < 0:
			return fmt.Errorf("troubles[%d].kind: %q is unknown", i, t.Kind)
		case ranges[at].node && (t.Target < 0 || t.Target >= p.Nodes):
			return fmt.Errorf("troubles[%d].target: no node %d", i, t.Target)
		case t.At < 0 || t.Length < 0:
			return fmt.Errorf("troubles[%d]: at and for must not be negative", i)
		}
	}
	return nil
}

// Parse reads a plan from JSON, and checks it.
func Parse(text []byte) (*Plan, error) {
	p := &Plan{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, err
	}
	return p, p.Check()
}
