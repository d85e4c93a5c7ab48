package rollout

import "fmt"

// Gate configures the comparison of updated nodes with their references.
type Gate struct {
	// Alpha is the maximum probability of halting a good version, over all comparisons of a release.
	Alpha float64 `cbor:"1,keyasint" json:"alpha"`
	// Power is the probability of detecting, at the end of a soak time, a version that is worse by MinDifference.
	Power float64 `cbor:"2,keyasint" json:"power"`
	// MinDifference is the difference to detect, as a share of a class's requests.
	MinDifference float64 `cbor:"3,keyasint" json:"worse"`
}

const (
	defaultAlpha         = 0.005
	defaultPower         = 0.9
	defaultMinDifference = 0.05
)

// SetDefaults sets fields that are 0 to their defaults.
func (g *Gate) SetDefaults() {
	if g.Alpha == 0 {
		g.Alpha = defaultAlpha
	}
	if g.Power == 0 {
		g.Power = defaultPower
	}
	if g.MinDifference == 0 {
		g.MinDifference = defaultMinDifference
	}
}

// validate returns a *PlanError for the first invalid setting; nil if all are valid.
func (g *Gate) validate() error {
	for _, setting := range []struct {
		key             string
		value, min, max float64
	}{
		{"gate.alpha", g.Alpha, 1e-9, 0.2},
		{"gate.power", g.Power, 0.5, 0.9999},
		{"gate.worse", g.MinDifference, 0.001, 0.9},
	} {
		inRange := setting.value >= setting.min && setting.value <= setting.max // false for NaN
		if !inRange {
			return planError(setting.key, "%g is out of range, %g to %g", setting.value, setting.min, setting.max)
		}
	}
	return nil
}

// measures are the request outcomes whose shares are compared.
var measures = []struct {
	name  string
	count func(Count) int64
}{
	{"failed", func(c Count) int64 { return c.Failed }},
	{"refused", func(c Count) int64 { return c.Rejected }},
	{"late", func(c Count) int64 { return c.Late }},
}

// References that updated nodes are compared with.
const (
	referenceOthers = "others" // nodes that are not updated, over the same period
	referenceBefore = "before" // all nodes before the release, compared with all nodes now
)

// Comparison compares one measure of one class with one reference.
type Comparison struct {
	Class             string  `cbor:"1,keyasint" json:"class"`
	Measure           string  `cbor:"2,keyasint" json:"measure"`
	Reference         string  `cbor:"3,keyasint,omitempty" json:"against"` // "others" or "before"
	Rate              float64 `cbor:"4,keyasint" json:"share"`             // share of the measure in Requests
	ReferenceRate     float64 `cbor:"5,keyasint" json:"other"`             // share of the measure in ReferenceRequests
	Requests          int64   `cbor:"6,keyasint" json:"n"`
	ReferenceRequests int64   `cbor:"7,keyasint" json:"other_n"`
	PValue            float64 `cbor:"8,keyasint" json:"p"` // see proportionPValue
	RequestsNeeded    int64   `cbor:"9,keyasint,omitempty" json:"need"`
}

// String returns the comparison as it is shown to operators.
func (c Comparison) String() string {
	return fmt.Sprintf("%s %s %.1f%% of %d, %.1f%% of %d %s (p %.2g)",
		c.Class, c.Measure, 100*c.Rate, c.Requests, 100*c.ReferenceRate, c.ReferenceRequests, c.Reference, c.PValue)
}

// Verdict is the result of a gate.
type Verdict struct {
	FailReason  string // empty if the gate does not fail
	WaitReason  string // empty if there are enough requests for a decision
	Comparisons []Comparison
}

// gateCounts are the request counts that a gate compares.
type gateCounts struct {
	updated  classCounts // at updated nodes
	others   classCounts // at nodes that are not updated, over the same period
	current  classCounts // at all nodes, over the same period
	baseline classCounts // at all nodes, from before the release
}

// reference is a set of counts together with the counts that are tested against it.
type reference struct {
	name      string
	tested    classCounts
	counts    classCounts
	tolerance float64 // a difference up to this never halts the release
}

func (g *Gate) references(counts gateCounts) []reference {
	return []reference{
		{referenceOthers, counts.updated, counts.others, g.MinDifference / 2},
		{referenceBefore, counts.current, counts.baseline, g.MinDifference}, // traffic itself changes with time
	}
}

// evaluate makes all comparisons and decides on them. The probability of error over all evaluations of a release adds up to at
// most Alpha: the i-th evaluation is assigned Alpha/(i(i+1)), divided equally among classes, measures and references.
func (g *Gate) evaluate(counts gateCounts, evaluation int) Verdict {
	classes := sortedClasses(counts.updated, counts.current)
	level := g.Alpha / float64(2*len(measures)*max(1, len(classes))) / float64(evaluation*(evaluation+1))
	var verdict Verdict
	for _, class := range classes {
		for _, reference := range g.references(counts) {
			for _, comparison := range g.compareClass(reference, class) {
				verdict.Comparisons = append(verdict.Comparisons, comparison)
				worse := comparison.PValue < level && comparison.Rate-comparison.ReferenceRate > reference.tolerance
				if worse && verdict.FailReason == "" {
					verdict.FailReason = comparison.String()
				}
			}
		}
	}
	verdict.WaitReason = counts.waitReason(verdict.Comparisons)
	return verdict
}

// compareClass compares a class with a reference, once for each measure.
func (g *Gate) compareClass(reference reference, class string) []Comparison {
	tested, counts := reference.tested[class], reference.counts[class]
	var comparisons []Comparison
	for _, measure := range measures {
		comparison := Comparison{
			Class: class, Measure: measure.name, Reference: reference.name,
			Rate: rate(measure.count(tested), tested.Total()), Requests: tested.Total(),
			ReferenceRate: rate(measure.count(counts), counts.Total()), ReferenceRequests: counts.Total(),
		}
		comparison.PValue = proportionPValue(measure.count(tested), tested.Total(), measure.count(counts), counts.Total())
		comparison.RequestsNeeded = g.sampleSize(comparison.ReferenceRate, tested.Total(), counts.Total())
		comparisons = append(comparisons, comparison)
	}
	return comparisons
}

func rate(count, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(count) / float64(total)
}

// minClassShareInverse: the gate waits for a class only if at least 1 in this many requests at updated nodes is of that class.
const minClassShareInverse = 20

// waitReason describes why there are too few requests for a decision; it returns "" if there are enough. If all nodes are updated
// there is no reference, and so nothing to wait for.
func (counts gateCounts) waitReason(comparisons []Comparison) string {
	updated := counts.updated.sum().Total()
	if updated == 0 {
		return "no requests at released nodes"
	}
	if counts.others.sum().Total() <= 0 {
		return ""
	}
	for _, c := range comparisons {
		if c.Reference != referenceOthers || c.Measure != measures[0].name {
			continue // the number of requests is the same for all measures
		}
		if c.Requests*minClassShareInverse >= updated && c.Requests < c.RequestsNeeded {
			return fmt.Sprintf("too few requests of %s at released nodes: %d of %d", c.Class, c.Requests, c.RequestsNeeded)
		}
	}
	return ""
}
