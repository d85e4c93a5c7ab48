package simulation

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"swiftdeal/internal/testing/fake"
)

// Plan is the complete input of a simulation: nodes, workers, jobs and faults. The same plan always yields the same trace. Times are in
// milliseconds from the start.
type Plan struct {
	Seed             uint64   `json:"seed"`
	Nodes            int      `json:"nodes"`
	Sockets          int      `json:"sockets"`   // file descriptor limit of a node
	MemoryMB         int      `json:"memory_mb"` // memory limit of a node
	Net              Net      `json:"net"`
	Scale            float64  `json:"scale"`   // factor on the classes' times
	Windows          float64  `json:"windows"` // further factor on the deduplication windows
	Hedges           bool     `json:"copies"`
	ReportsProgress  bool     `json:"tells"`              // workers report starts and progress
	Queue            bool     `json:"queue"`              // load reports include the queue length
	DiscoveryDelay   float64  `json:"late"`               // delay until discovery announces a change
	DiscoveryHistory int      `json:"keep"`               // number of changes that discovery remembers; 0: all
	Fleet            bool     `json:"fleet,omitempty"`    // nodes take part in fleet membership
	NoObservations   bool     `json:"no_facts,omitempty"` // nodes ignore other nodes' observations of workers
	Workers          []Worker `json:"peers"`
	Jobs             []Job    `json:"jobs"`
	Faults           []Fault  `json:"faults"`
}

// hasControl reports whether nodes get a control listener: needed where a fault makes control calls, and for every second seed, whose
// metrics are read at the end.
func (p *Plan) hasControl() bool {
	return p.Seed%2 == 0 || p.replacesProcesses() ||
		slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Kind == "send-away" || f.Kind == "figures" })
}

// replacesProcesses reports whether a fault replaces a node's process.
func (p *Plan) replacesProcesses() bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Kind == "replace" })
}

// Net holds the one-way latencies of the network.
type Net struct {
	Near   float64 `json:"near"`
	Far    float64 `json:"far"`
	Jitter float64 `json:"jitter"`
}

// Worker is a worker of a plan.
type Worker struct {
	Zone    int     `json:"zone"`
	Cell    int     `json:"cell"`
	Cores   float64 `json:"cores"`
	Slots   float64 `json:"slots"`
	Speed   float64 `json:"speed"`
	Queue   int     `json:"queue"`
	Refresh float64 `json:"refresh"`
	Returns bool    `json:"returns"`
	Cold    bool    `json:"cold"` // starts cold at the start of the simulation
}

// Job is a client's request in a plan.
type Job struct {
	At      float64    `json:"at"`
	Class   string     `json:"class"`
	Work    float64    `json:"work"` // milliseconds on a standard core
	Hint    float64    `json:"hint"` // milliseconds; 0: none
	Slots   float64    `json:"slots"`
	Memory  float64    `json:"memory"`
	Body    int        `json:"body"`
	Shape   fake.Shape `json:"shape,omitempty"`
	GiveUp  float64    `json:"give_up,omitempty"`
	Pause   float64    `json:"pause"`
	Retries int        `json:"tries"` // after the first
	ID      string     `json:"id,omitempty"`
	Key     string     `json:"key,omitempty"`
	Name    int        `json:"name,omitempty"` // 1 plus the number that the request IDs are made from; 0: the job's index
}

// Fault is a fault injected by a plan.
type Fault struct {
	Kind   string  `json:"kind"`
	At     float64 `json:"at"`
	Length float64 `json:"for"`
	Target int     `json:"target"` // index of the worker or node
	Amount float64 `json:"amount"` // its meaning depends on the kind
}

func (p *Plan) class(name string) *classPlan {
	for i := range classPlans {
		if classPlans[i].name == name {
			return &classPlans[i]
		}
	}
	return nil
}

// Parse reads a plan. Errors name the invalid key, or the line and column of invalid JSON.
func Parse(text []byte) (*Plan, error) {
	p := new(Plan)
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		at := d.InputOffset()
		var syntax *json.SyntaxError
		var kind *json.UnmarshalTypeError
		if errors.As(err, &syntax) {
			at = syntax.Offset
		} else if errors.As(err, &kind) {
			at = kind.Offset
		}
		before := text[:min(at, int64(len(text)))]
		line, column := 1+bytes.Count(before, []byte("\n")), len(before)-bytes.LastIndexByte(before, '\n')
		return nil, fmt.Errorf("%d:%d: %w", line, column, err)
	}
	return p, p.check()
}

// isWithin reports whether least <= v <= most; it is false for NaN.
func isWithin(v, least, most float64) bool { return v >= least && v <= most }

// outOfRange is the error for a key whose value is out of range.
func outOfRange(key string, a ...any) error {
	return fmt.Errorf("%s: out of range", fmt.Sprintf(key, a...))
}

// check validates the plan; the error names the invalid key.
func (p *Plan) check() error {
	if err := p.checkFleet(); err != nil {
		return err
	}
	for i := range p.Workers {
		if !p.Workers[i].isValid() {
			return outOfRange("peers[%d]", i)
		}
	}
	for i := range p.Jobs {
		if err := p.checkJob(i, &p.Jobs[i]); err != nil {
			return err
		}
	}
	for i := range p.Faults {
		if err := p.checkFault(i, &p.Faults[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkFleet validates the values that apply to all nodes.
func (p *Plan) checkFleet() error {
	switch {
	case p.Nodes < 1 || p.Nodes > maxNodes:
		return outOfRange("nodes")
	case len(p.Workers) < 1 || len(p.Workers) > 200:
		return outOfRange("peers")
	case p.Sockets < 96 || p.Sockets > 1<<20:
		return outOfRange("sockets")
	case p.MemoryMB < 32 || p.MemoryMB > 1<<20:
		return outOfRange("memory_mb")
	case !isWithin(p.Scale, 0.01, 100):
		return outOfRange("scale")
	case p.DiscoveryHistory < 0:
		return outOfRange("keep")
	case !isWithin(p.Windows, 0.001, 100):
		return outOfRange("windows")
	case !isWithin(p.DiscoveryDelay, 0, 60000):
		return outOfRange("late")
	case !isWithin(p.Net.Near, 0, 1000), !isWithin(p.Net.Far, 0, 1000), !isWithin(p.Net.Jitter, 0, 1000):
		return outOfRange("net")
	}
	return nil
}

func (w *Worker) isValid() bool {
	return isWithin(w.Cores, 0.1, 1000) &&
		isWithin(w.Slots, 1, 1000) &&
		isWithin(w.Speed, 0.001, 1000) &&
		isWithin(w.Refresh, 1, 1e6) &&
		w.Queue >= 0 &&
		w.Zone >= 0 && w.Zone <= 1
}

func (j *Job) isValid() bool {
	return isWithin(j.At, 0, 1e7) &&
		isWithin(j.Work, 0.01, 1e7) &&
		isWithin(j.Slots, 0.01, 1e4) &&
		isWithin(j.Memory, 0, 1e6) &&
		j.Body >= 0 && j.Body <= 60000 &&
		j.Retries >= 0 && j.Retries <= 10 &&
		isWithin(j.Pause, 0, 1e6)
}

func (p *Plan) checkJob(i int, j *Job) error {
	if p.class(j.Class) == nil {
		return fmt.Errorf("jobs[%d].class: no class %q", i, j.Class)
	}
	if !slices.Contains(fake.Shapes, j.Shape) {
		return fmt.Errorf("jobs[%d].shape: unknown shape %q", i, j.Shape)
	}
	if !j.isValid() {
		return outOfRange("jobs[%d]", i)
	}
	return nil
}

func (p *Plan) checkFault(i int, f *Fault) error {
	k, known := faultOf(f.Kind)
	if !known {
		return fmt.Errorf(
			"faults[%d].kind: unknown fault %q; there are %s", i, f.Kind, strings.Join(faultNames(), ", "),
		)
	}
	most := len(p.Workers)
	if k.target == targetNode {
		most = p.Nodes
	}
	if k.target != targetAll && (f.Target < 0 || f.Target >= most) {
		return fmt.Errorf("faults[%d].target: %d is not among the %d", i, f.Target, most)
	}
	if !isWithin(f.At, 0, 1e7) || !isWithin(f.Length, 0, 1e7) || math.IsNaN(f.Amount) {
		return outOfRange("faults[%d]", i)
	}
	return nil
}
