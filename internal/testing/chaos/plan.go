// Package chaos starts real processes of the program on loopback, with fakes for workers, discovery and clients, injects
// faults into them and the links between them, and judges the outcome by the processes' logs and traces. It is a harness for
// tests and tools and not part of the node. docs/design/chaos.md describes its design.
package chaos

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Plan describes a run. Times are in milliseconds, except ForgetS (seconds). A fault's At counts from when views and control
// plane have settled for the first time and Options.Started has returned.
type Plan struct {
	Name           string  `json:"name,omitempty"`
	Seed           uint64  `json:"seed"`
	Sites          int     `json:"sites"`
	Nodes          int     `json:"nodes"`
	Workers        int     `json:"workers"`
	PeriodMs       float64 `json:"period_ms"` // between two membership probes
	ForgetS        float64 `json:"forget_s"`  // 0: the program's default
	SeedTopology   string  `json:"knows"`     // which nodes are each node's seeds: first, ring or all
	Rate           float64 `json:"rate"`      // jobs a second over all sites; 0: none
	WorkMs         float64 `json:"work_ms"`   // mean, on a standard core
	LengthMs       float64 `json:"length_ms"` // faults start, and jobs are submitted, before this
	SettleMs       float64 `json:"settle_ms"` // limit for settling, exceeded only in a real failure
	NoObservations bool    `json:"no_facts,omitempty"`
	Faults         []Fault `json:"faults"`

	LoadMs       float64 `json:"load_ms,omitempty"`     // jobs are submitted for this time or until the checks end; 0: length_ms
	Replicas     int     `json:"council,omitempty"`     // of the control plane; 0: there is no control plane
	Budget       int     `json:"budget,omitempty"`      // nodes out at once
	SiteBudget   int     `json:"site_budget,omitempty"` // nodes of each site out at once; 0: as Budget
	Disk         bool    `json:"disk,omitempty"`        // replicas keep their state on disk
	Release      string  `json:"release,omitempty"`     // version that the release installs
	Handover     bool    `json:"handover,omitempty"`    // the release replaces processes by handover, without a drain
	Settings     bool    `json:"settings,omitempty"`    // the control plane manages settings for the whole fleet
	LateNodes    int     `json:"late,omitempty"`        // number of nodes, the last ones, not started with the others
	WorseRelease bool    `json:"worse,omitempty"`       // the release's build serves worse than none: its nodes count as out already
}

// Fault is one fault or operator's request. The kind determines whether Target and Other are indexes of nodes or of workers.
type Fault struct {
	Kind   string  `json:"kind"`
	At     float64 `json:"at"`
	Length float64 `json:"for"`
	Target int     `json:"target"`
	Other  int     `json:"other,omitempty"`
	Amount float64 `json:"amount,omitempty"`
}

// faultTarget is the type of a fault's target.
type faultTarget int

const (
	targetAll          faultTarget = iota
	targetControlPlane             // a node, and the node to which an operator sends the request
	targetNode
	targetWorker
	targetNodePair // two nodes
	targetLink     // a node and a worker
)

type faultKind struct {
	target      faultTarget
	description string
}

var faultKinds = map[string]faultKind{
	"drain":         {targetControlPlane, "an operator asks, at node other, for the node to leave service"},
	"resume":        {targetControlPlane, "an operator has the node come back"},
	"write-off":     {targetControlPlane, "an operator says that the node is gone for good"},
	"drain-worker":  {targetControlPlane, "an operator asks for the worker to leave service"},
	"resume-worker": {targetControlPlane, "an operator has the worker come back"},
	"release":       {targetControlPlane, "an operator starts the plan's release, with soaks of for"},
	"pause":         {targetControlPlane, "an operator pauses the release"},
	"go":            {targetControlPlane, "an operator has the release go on"},
	"halt":          {targetControlPlane, "an operator halts the release"},
	"way-back":      {targetControlPlane, "an operator has the release go back"},
	"kill-leader":   {targetControlPlane, "the council's leader is killed, and starts again after for"},
	"stop-leader":   {targetControlPlane, "the council's leader is stopped, and goes on after for"},
	"trap": {
		targetControlPlane,
		"as the next exit is confirmed the seat that says so first is killed (amount 0) or stopped (1), " +
			"or the node that may leave, which is target then, is stopped (2) before it hears so; for ms",
	},
	"wrong-binary": {targetControlPlane, "the node's supervisor starts another version than it was told, once"},
	"site-lost":    {targetControlPlane, "all nodes of target's site are killed, and start again after for"},
	"seats-lost":   {targetControlPlane, "all of the council's seats are killed, and start again after for"},
	"kill":         {targetNode, "SIGKILL; with for, the process starts again after that"},
	"term":         {targetNode, "SIGTERM; with for, the process starts again so long after it has ended"},
	"stop":         {targetNode, "SIGSTOP, and SIGCONT after for"},
	"slow": {
		targetNode,
		"stopped and continued in turn, every 100 ms, for a while; amount is the share of time that it stands",
	},
	"replace": {
		targetNode, "a second process of the node takes its place by handover; the first gets SIGTERM then",
	},
	"other":   {targetNode, "SIGTERM, and another binary is started in its place"},
	"twin":    {targetNode, "a second process of the same name runs at another address for a while"},
	"many":    {targetAll, "amount of all nodes are killed at once, and start again after for"},
	"rolling": {targetAll, "all nodes get SIGTERM and start again, one after the other"},
	"bad-start": {
		targetNode, "a process is started with an empty configuration: it has to end by itself and say why",
	},
	"old-start":    {targetNode, "SIGKILL, and a start with an older list of workers after for"},
	"split":        {targetAll, "the nodes fall apart into amount groups that do not reach one another"},
	"alone":        {targetNode, "the node reaches no other node, and none reaches it"},
	"half":         {targetNode, "the node and every second of the others do not reach one another"},
	"cut":          {targetNodePair, "the two do not reach one another"},
	"one-way":      {targetNodePair, "what target sends to other is lost"},
	"flap":         {targetNode, "the node is cut off and reached again, every two periods"},
	"loss":         {targetAll, "amount of the datagrams between nodes is lost"},
	"delay":        {targetAll, "datagrams between nodes take amount ms longer"},
	"jitter":       {targetAll, "datagrams between nodes take up to amount ms longer, and overtake one another"},
	"twice":        {targetAll, "amount of the datagrams between nodes comes twice"},
	"corrupt":      {targetAll, "amount of the datagrams between nodes has a byte changed"},
	"narrow":       {targetNode, "amount bytes a second get through to the node"},
	"again":        {targetNode, "datagrams that the node has sent before come again, some of an earlier life"},
	"strangers":    {targetNode, "datagrams of another fleet, of no form and of nobody known come to the node"},
	"disco-down":   {targetNode, "discovery refuses the node's calls"},
	"disco-cut":    {targetNode, "discovery falls silent towards the node"},
	"worker-kill":  {targetWorker, "the worker's process dies; with for, it starts again cold"},
	"worker-drain": {targetWorker, "the worker drains, and is back after for"},
	"worker-ill":   {targetWorker, "amount of its jobs fail"},
	"worker-slow":  {targetWorker, "it runs amount times slower"},
	"worker-cut":   {targetLink, "the node (target) and the worker (other) do not reach one another"},
	"worker-late": {
		targetLink,
		"what passes between the node (target) and the worker (other) takes amount ms longer, each way",
	},
	"disco-late":   {targetNode, "what passes between the node and discovery takes amount ms longer, each way"},
	"many-workers": {targetAll, "amount of all workers die at once, and start again cold after for"},
}

// FaultKinds lists the kinds of fault with what they do.
func FaultKinds() (list []string) {
	for _, k := range slices.Sorted(maps.Keys(faultKinds)) {
		list = append(list, k+": "+faultKinds[k].description)
	}
	return list
}

// MostNodes and MostWorkers are the limits of a plan, set by the harness's loopback addresses and ports.
const (
	MostNodes   = 64
	MostWorkers = 200
)

// ParseError describes an error in a plan and its position: line and column, and the key if there is one.
type ParseError struct {
	Line, Column int
	Key, What    string
}

// Error implements error.
func (e *ParseError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.What)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Key, e.What)
}

// Parse decodes and checks a plan in JSON. Its errors are of type *ParseError.
func Parse(text []byte) (*Plan, error) {
	p := new(Plan)
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		line, column := position(text, d.InputOffset())
		return nil, &ParseError{line, column, "", err.Error()}
	}
	if key, what := p.check(); key != "" {
		line, column := position(text, keyOffset(text, key))
		return nil, &ParseError{line, column, key, what}
	}
	return p, nil
}

// position returns the line and column of an offset in a text, both from 1.
func position(text []byte, at int64) (line, column int) {
	before := text[:max(0, min(at, int64(len(text))))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

// keyOffset returns the offset of a key such as faults[2].at in a text that is complete JSON.
func keyOffset(text []byte, key string) int64 {
	d := json.NewDecoder(bytes.NewReader(text))
	var path []string // keys, or [n] in lists
	var count []int   // elements so far in each enclosing list; -1 for an object
	wantKey := false
	offset := int64(0)
	pushIndex := func() {
		if n := len(count); n > 0 && count[n-1] >= 0 {
			path = append(path, fmt.Sprintf("[%d]", count[n-1]))
			count[n-1]++
		}
	}
	pop := func() {
		if len(path) > 0 {
			path = path[:len(path)-1]
		}
		wantKey = len(count) > 0 && count[len(count)-1] < 0
	}
	for {
		start := d.InputOffset()
		t, err := d.Token()
		if err != nil {
			return offset
		}
		if wantKey {
			if s, ok := t.(string); ok {
				path = append(path, s)
				wantKey = false
				if strings.ReplaceAll(strings.Join(path, "."), ".[", "[") == key {
					return start + int64(bytes.IndexByte(text[start:], '"'))
				}
				continue
			}
		}
		switch t {
		case json.Delim('{'):
			pushIndex()
			if k := strings.ReplaceAll(strings.Join(path, "."), ".[", "["); k != "" && strings.HasPrefix(key, k) {
				offset = start // if the key is missing: the position of the object that should contain it
			}
			count, wantKey = append(count, -1), true
		case json.Delim('['):
			pushIndex()
			count = append(count, 0)
			wantKey = false
		case json.Delim('}'), json.Delim(']'):
			count = count[:len(count)-1]
			pop()
		default:
			pushIndex()
			pop()
		}
	}
}

// inRange reports whether a value lies between two bounds, both included. NaN does not.
func inRange(value, least, most float64) bool {
	return value >= least && value <= most && !math.IsNaN(value)
}

// check returns the first invalid key of the plan and the reason; empty if the plan is valid.
func (p *Plan) check() (key, what string) {
	if key, what := p.checkRanges(); key != "" {
		return key, what
	}
	if p.Settings && p.Replicas == 0 {
		return "settings", "needs a council, which decides on them"
	}
	if p.Rate > 0 && p.Workers == 0 {
		return "workers", "0, but there are jobs"
	}
	if !slices.Contains([]string{"first", "ring", "all"}, p.SeedTopology) {
		return "knows", fmt.Sprintf("%q is not first, ring or all", p.SeedTopology)
	}
	for i, f := range p.Faults {
		if key, what := p.checkFault(f); key != "" {
			return fmt.Sprintf("faults[%d].%s", i, key), what
		}
	}
	return "", ""
}

// checkRanges returns the first of the plan's own numbers that is out of range.
func (p *Plan) checkRanges() (key, what string) {
	for _, c := range []struct {
		key                string
		value, least, most float64
	}{
		{"sites", float64(p.Sites), 1, 4},
		{"nodes", float64(p.Nodes), 1, MostNodes},
		{"workers", float64(p.Workers), 0, MostWorkers},
		{"period_ms", p.PeriodMs, 50, 60000},
		{"forget_s", p.ForgetS, 0, 1e6},
		{"rate", p.Rate, 0, 10000},
		{"work_ms", p.WorkMs, 0, 60000},
		{"length_ms", p.LengthMs, 0, 3.6e6},
		{"settle_ms", p.SettleMs, 0, 3.6e6},
		{"load_ms", p.LoadMs, 0, 3.6e6},
		{"council", float64(p.Replicas), 0, min(7, float64(p.Nodes))},
		{"budget", float64(p.Budget), 0, MostNodes},
		{"late", float64(p.LateNodes), 0, float64(p.Nodes - 1)},
		{"site_budget", float64(p.SiteBudget), 0, MostNodes},
	} {
		if !inRange(c.value, c.least, c.most) {
			return c.key, fmt.Sprintf("%g is out of range, %g to %g", c.value, c.least, c.most)
		}
	}
	return "", ""
}

// checkFault returns the first invalid key of a fault in this plan and the reason.
func (p *Plan) checkFault(f Fault) (key, what string) {
	kind, known := faultKinds[f.Kind]
	if !known {
		names := strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", ")
		return "kind", fmt.Sprintf("unknown fault %q; there are %s", f.Kind, names)
	}
	if kind.target == targetControlPlane && p.Replicas == 0 {
		return "kind", f.Kind + " needs a council"
	}
	if key, what := p.checkTargets(f, kind.target); key != "" {
		return key, what
	}
	if !inRange(f.At, 0, p.LengthMs) {
		return "at", fmt.Sprintf("%g is out of range, 0 to %g", f.At, p.LengthMs)
	}
	if !inRange(f.Length, 0, 3.6e6) {
		return "for", fmt.Sprintf("%g is out of range", f.Length)
	}
	if !inRange(f.Amount, 0, 1e9) {
		return "amount", fmt.Sprintf("%g is out of range", f.Amount)
	}
	return "", ""
}

// checkTargets checks that a fault's targets exist in the plan.
func (p *Plan) checkTargets(f Fault, target faultTarget) (key, what string) {
	targets, others := p.Nodes, p.Nodes
	switch target {
	case targetAll:
		targets = 1
	case targetControlPlane:
		if strings.HasSuffix(f.Kind, "-worker") {
			targets = p.Workers
		}
	case targetWorker:
		targets = p.Workers
	case targetLink:
		others = p.Workers
	}
	if f.Target < 0 || f.Target >= targets {
		return "target", fmt.Sprintf("%d is not among the %d", f.Target, targets)
	}
	if target != targetNodePair && target != targetLink {
		return "", ""
	}
	same := target == targetNodePair && f.Other == f.Target
	if f.Other < 0 || f.Other >= others || same {
		return "other", fmt.Sprintf("%d is not among the %d, or is the target", f.Other, others)
	}
	return "", ""
}

// basePlan returns a plan without jobs and faults.
func basePlan(nodes, sites int) Plan {
	return Plan{
		Seed: 1, Sites: sites, Nodes: nodes, PeriodMs: 200, SeedTopology: "first", LengthMs: 4000,
		SettleMs: 120000,
	}
}

// Draw generates a random plan from a seed: small enough for one machine, with one to four faults.
func Draw(seed uint64) *Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := basePlan(3+r.IntN(6), 1+r.IntN(3))
	p.Seed, p.SeedTopology, p.LengthMs = seed, []string{"first", "ring", "all"}[r.IntN(3)], float64(6000+r.IntN(8000))
	p.Workers, p.Rate, p.WorkMs = 4+r.IntN(6), 10+30*r.Float64(), 40+100*r.Float64()
	names := slices.DeleteFunc(
		slices.Sorted(maps.Keys(faultKinds)),
		func(k string) bool { return faultKinds[k].target == targetControlPlane },
	)
	for range 1 + r.IntN(4) {
		f := Fault{
			Kind:   names[r.IntN(len(names))],
			At:     math.Round(p.LengthMs * 0.7 * r.Float64()),
			Length: math.Round(300 + 5000*r.Float64()*r.Float64()),
		}
		f.Target, f.Amount = r.IntN(p.Nodes), math.Round(100*r.Float64())/100
		f.Other = (f.Target + 1 + r.IntN(p.Nodes-1)) % p.Nodes
		switch faultKinds[f.Kind].target {
		case targetAll:
			f.Target = 0
		case targetWorker:
			f.Target = r.IntN(p.Workers)
		case targetLink:
			f.Other = r.IntN(p.Workers)
		}
		switch f.Kind {
		case "split":
			f.Amount = float64(2 + r.IntN(2))
		case "loss", "corrupt":
			f.Amount = 0.4 * r.Float64()
		case "delay", "jitter", "worker-late", "disco-late":
			f.Amount = 100 * r.Float64()
		case "narrow":
			f.Amount = 500 + 5000*r.Float64()
		case "worker-slow":
			f.Amount = 2 + 8*r.Float64()
		}
		p.Faults = append(p.Faults, f)
	}
	return &p
}
