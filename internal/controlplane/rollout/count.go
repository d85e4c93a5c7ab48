package rollout

import (
	"maps"
	"slices"
)

// Count has the outcomes of requests of one class, at one or more nodes over a period of time.
type Count struct {
	Served   int64 `cbor:"1,keyasint,omitempty" json:"served"`
	Failed   int64 `cbor:"2,keyasint,omitempty" json:"failed"`
	Rejected int64 `cbor:"3,keyasint,omitempty" json:"refused"`
	Late     int64 `cbor:"4,keyasint,omitempty" json:"late"` // served, but later than the latency objective allows
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{c.Served + other.Served, c.Failed + other.Failed, c.Rejected + other.Rejected, c.Late + other.Late}
}

// Sub returns the difference from an earlier count of the same process.
func (c Count) Sub(earlier Count) Count {
	return Count{c.Served - earlier.Served, c.Failed - earlier.Failed, c.Rejected - earlier.Rejected, c.Late - earlier.Late}
}

// Total returns the number of requests with an outcome. Late requests are among the served ones.
func (c Count) Total() int64 { return c.Served + c.Failed + c.Rejected }

// classCounts has counts by class.
type classCounts map[string]Count

func (c classCounts) add(class string, count Count) { c[class] = c[class].Add(count) }

func (c classCounts) sum() Count {
	var sum Count
	for _, count := range c {
		sum = sum.Add(count)
	}
	return sum
}

// sortedClasses returns the classes that are in a or b.
func sortedClasses(a, b classCounts) []string {
	classes := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(classes)
	return slices.Compact(classes)
}
