package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// Period is the members' in a simulation.
const Period = time.Second

// Outcome is what a plan has come to.
type Outcome struct {
	Fault string // the first invariant that did not hold; empty if all did
	At    time.Duration
	Trace uint64 // a fingerprint of all that was sent and seen
	Sent  uint64 // a fingerprint of the datagrams alone, with their times and addresses
	Steps int

	Datagrams, Bytes int64 // sent by all
	LongestDatagram  int   // datagram
	Revisions        int64 // datagrams that spread settings
	RevisionBytes    int64
	MaxMembers       int // members in one view
	FalseDeaths      int // a living process was held for dead by somebody who could reach it
	MemberPeriods    float64
	ConvergedAfter   time.Duration // after the last fault
	Log              []string
}

// Simulation is one simulation.
type Simulation struct {
	plan             *Plan
	random           *rand.Rand
	now              time.Duration
	seq              int
	events           events
	processes        []*process // the one in force of each member
	twins            []*process // twins
	processByAddress map[string]*process
	serial           int
	outcome          *Outcome
	hash             *xxhash.Digest
	sent             *xxhash.Digest // of datagrams alone
	fleetMark        uint32

	cuts                 map[int]func(from, to int) bool // that are in force: whether a datagram is lost
	nextCut              int
	loss, damage, jitter float64
	liars                map[int]*rand.Rand
	lastFaultEnd         time.Duration // when the last fault ended
	stepsAtInstant       int           // steps since time moved
	verbose              bool
	keep                 bool // changes are kept in seen
	seen                 []membership.Change
	onView               func(p *process, c membership.Change)
	truth                *groundTruth // what the council settles, as it is; nil without one
}

func periods(n float64) time.Duration { return time.Duration(n * float64(Period)) }

// fail notes the first thing that went wrong.
func (w *Simulation) fail(format string, a ...any) {
	if w.outcome.Fault == "" {
		w.outcome.Fault, w.outcome.At = fmt.Sprintf(format, a...), w.now
		w.record("FAULT %s", w.outcome.Fault)
	}
}

func (w *Simulation) record(format string, a ...any) {
	text := fmt.Sprintf("%10.3f ", w.now.Seconds()) + fmt.Sprintf(format, a...)
	w.hash.WriteString(text)
	if w.verbose || w.outcome.Fault != "" {
		w.outcome.Log = append(w.outcome.Log, text)
	}
}

// build makes the world of a plan.
func build(p *Plan, verbose bool) *Simulation {
	w := &Simulation{
		plan: p, random: source(p.Seed, 2), processByAddress: map[string]*process{}, outcome: &Outcome{},
		hash: xxhash.New(), sent: xxhash.New(), fleetMark: codec.FleetTag("sim"),
		cuts: map[int]func(int, int) bool{}, loss: p.Loss, damage: p.Damage, jitter: p.Jitter,
		liars: map[int]*rand.Rand{}, verbose: verbose,
	}
	w.processes = make([]*process, p.Members)
	if p.Replicas > 0 {
		w.truth = newField(w)
	}
	return w
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func addr(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, 1+i%250) }
