// Package fleetsim plays many nodes' views of their fleet on virtual time: the product's own cores and wire form, with a
// network, processes and faults drawn by seed. It checks the invariants after every step, and at the end, once all has
// been quiet for long enough, that every view is right and that all are equal. A plan always gives the same trace.
package fleetsim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Plan is all that is played. Times are in periods of the members' probes.
type Plan struct {
	Seed         uint64  `json:"seed"`
	Members      int     `json:"members"`
	SeedTopology string  `json:"knows"`  // whom each has as seeds: first, ring, some or all
	Loss         float64 `json:"loss"`   // share of datagrams lost
	Delay        float64 `json:"delay"`  // one way, in periods
	Jitter       float64 `json:"jitter"` // up to so much more
	Duplicates   float64 `json:"twice"`  // share of datagrams that come twice
	Damage       float64 `json:"damage"` // share of datagrams that are damaged
	Forget       float64 `json:"forget"`
	MaxMembers   int     `json:"most"`
	Length       float64 `json:"length"` // until then things go wrong
	SettleBound  float64 `json:"quiet"`  // so long after that, all has to be settled
	Faults       []Fault `json:"faults"`

	Replicas   int  `json:"council,omitempty"` // seats; 0: there is no council
	Budget     int  `json:"budget,omitempty"`  // nodes out at once
	SiteBudget int  `json:"site,omitempty"`    // nodes out at once of each site
	Disk       bool `json:"disk,omitempty"`    // seats keep what they have promised

	Settings bool  `json:"settings,omitempty"` // the council decides on settings of the fleet
	Older    []int `json:"older,omitempty"`    // members whose program knows nothing of settings
	Refuses  []int `json:"refuses,omitempty"`  // members that cannot put some revisions into effect
}

// Fault is something that goes wrong.
type Fault struct {
	Kind   string  `json:"kind"`
	At     float64 `json:"at"`
	Length float64 `json:"for"`
	Target int     `json:"target"`
	Amount float64 `json:"amount"`
}

// faultKinds of fault, with what they do.
var faultKinds = map[string]string{
	"kill":          "the process is killed; it starts again after for, if that is above 0",
	"leave":         "the process says that it leaves, and ends; it starts again after for, if that is above 0",
	"stop":          "the process stands still for a while",
	"slow":          "the process stands still and goes on in turn",
	"split":         "the members fall apart into amount parts that do not reach one another",
	"alone":         "one member reaches nobody",
	"half":          "one member does not reach every second of the others",
	"deaf-to":       "one member hears the next one no more, and is heard by it",
	"flap":          "one member is cut off and reached again every two periods",
	"loss":          "this share of all datagrams is lost",
	"jitter":        "datagrams take up to amount periods longer, and overtake one another",
	"damage":        "this share of all datagrams is damaged",
	"overflow":      "the process reads only this share of what comes",
	"twin":          "a second process of the same name lives at another address",
	"replace":       "another process takes the place of this one without a gap",
	"many":          "this share of all processes is killed at once; they start again after for",
	"rolling":       "all processes leave and start again, one after the other within for",
	"again":         "datagrams that the member has sent before come again, to anybody",
	"drain":         "an operator asks another node to drain this one, under a permit",
	"resume":        "an operator has the node come back",
	"write-off":     "an operator says that the node is gone for good",
	"release":       "an operator starts a release of version amount, with soaks of for",
	"halt":          "an operator halts the release",
	"go":            "an operator has the release go on",
	"way-back":      "an operator has the release go back",
	"wrong":         "the node's supervisor starts another version than it was told, once",
	"bad":           "the node serves worse for a while",
	"region":        "one site is cut off from the others",
	"set":           "an operator changes the settings, to some 40 times amount bytes",
	"set-back":      "an operator takes the settings back to the ones before",
	"garbles":       "the node hands over bodies of revisions that are damaged",
	"upgrade":       "the node is started again, with a program that knows settings",
	"dies-applying": "the process ends while it puts the next revision into effect",
	"liar":          "one member says of others that they are dead or suspect, with made up incarnations",
}

// controlPlaneKinds are those that mean something only where there is a council.
var controlPlaneKinds = map[string]bool{
	"drain":         true,
	"resume":        true,
	"write-off":     true,
	"release":       true,
	"halt":          true,
	"go":            true,
	"way-back":      true,
	"bad":           true,
	"wrong":         true,
	"region":        true,
	"set":           true,
	"set-back":      true,
	"garbles":       true,
	"upgrade":       true,
	"dies-applying": true,
}

// settingsKinds are those that mean something only where there are settings of the fleet.
var settingsKinds = map[string]bool{
	"set":           true,
	"set-back":      true,
	"garbles":       true,
	"upgrade":       true,
	"dies-applying": true,
	"region":        true,
}

// Kinds lists the kinds of fault with what they do.
func Kinds() (list []string) {
	for _, k := range slices.Sorted(maps.Keys(faultKinds)) {
		list = append(list, k+": "+faultKinds[k])
	}
	return list
}

// Parse reads a plan; its errors name the key, and the place where the text itself is at fault.
func Parse(text []byte) (*Plan, error) {
	p := new(Plan)
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		before := text[:min(d.InputOffset(), int64(len(text)))]
		return nil, fmt.Errorf(
			"%d:%d: %w",
			1+bytes.Count(before, []byte("\n")),
			len(before)-bytes.LastIndexByte(before, '\n'),
			err,
		)
	}
	return p, p.check()
}

func (p *Plan) check() error {
	ok := func(v, least, most float64) bool { return v >= least && v <= most }
	switch {
	case p.Members < 1 || p.Members > 2000:
		return fmt.Errorf("members: out of range")
	case !slices.Contains([]string{"first", "ring", "some", "all"}, p.SeedTopology):
		return fmt.Errorf("knows: %q is not first, ring, some or all", p.SeedTopology)
	case !ok(p.Loss, 0, 0.9), !ok(p.Duplicates, 0, 1), !ok(p.Damage, 0, 0.9):
		return fmt.Errorf("loss, twice, damage: out of range")
	case !ok(p.Delay, 0, 1), !ok(p.Jitter, 0, 5):
		return fmt.Errorf("delay, jitter: out of range")
	case !ok(p.Length, 0, 1e5), !ok(p.SettleBound, 0, 1e5), !ok(p.Forget, 1, 1e6):
		return fmt.Errorf("length, quiet, forget: out of range")
	case p.Settings && p.Replicas == 0:
		return fmt.Errorf("settings: they need a council")
	case p.MaxMembers <= p.Members && p.MaxMembers != 0:
		return fmt.Errorf("most: not above members")
	}
	for i, f := range p.Faults {
		if faultKinds[f.Kind] == "" {
			return fmt.Errorf(
				"faults[%d].kind: unknown fault %q; there are %s",
				i,
				f.Kind,
				strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "),
			)
		}
		if controlPlaneKinds[f.Kind] && p.Replicas == 0 {
			return fmt.Errorf("faults[%d].kind: %s needs a council", i, f.Kind)
		}
		if settingsKinds[f.Kind] && !p.Settings {
			return fmt.Errorf("faults[%d].kind: %s needs settings", i, f.Kind)
		}
		if f.Target < 0 || f.Target >= p.Members {
			return fmt.Errorf("faults[%d].target: %d is not among the %d", i, f.Target, p.Members)
		}
		if !ok(f.At, 0, p.Length) || !ok(f.Length, 0, p.Length) || !ok(f.Amount, 0, 1000) {
			return fmt.Errorf("faults[%d]: at, for or amount is out of range", i)
		}
	}
	return nil
}
