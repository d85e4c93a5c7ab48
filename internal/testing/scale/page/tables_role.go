package page

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"swiftdeal/internal/testing/scale/fit"
	"swiftdeal/internal/testing/scale/record"
)

// role is the table of one role: first what grows with the nodes, then what grows with something else.
func role(name string, all []*series) string {
	var g grid
	for _, members := range []bool{true, false} {
		first := true
		for _, s := range all {
			if s.Table != name || (s.Sweep == "members" || s.Sweep == "nodes") != members {
				continue
			}
			switch {
			case first && members:
				g.head(
					"what",
					"N = 100",
					"N = 335",
					"N = 1,000",
					"limit",
					"of the limit at N = 1,000",
					"slope",
					"sizes",
					"from",
					"carried by",
				)
			case first:
				g.head("what", "at", "figure", "limit", "of the limit", "slope", "sizes", "from", "carried by")
			}
			first = false
			if members {
				g.row(
					s.What,
					s.cell(100),
					s.cell(335),
					s.cell(1000),
					s.limit(),
					s.ratio(1000),
					s.formula(),
					sizes(s.size),
					s.source(),
					s.carrier(),
				)
				continue
			}
			for _, n := range Targets[s.Sweep] {
				g.row(
					s.What,
					Plain(n)+" "+counted(s.Sweep),
					s.cell(n),
					s.limit(),
					s.ratio(n),
					s.formula(),
					sizes(s.size),
					s.source(),
					s.carrier(),
				)
			}
		}
	}
	return g.String()
}

func slopes(all []*series) string {
	var g grid
	g.head(
		"slope",
		"form",
		"residual",
		"of the values",
		"missed leaving one out: constant, linear, n log n",
		"fitted on",
		"foretold for the largest",
		"measured",
		"error",
		"verdict",
	)
	for _, s := range all {
		if s.slope == nil {
			g.row(s.label(), s.why, "–", "–", "–", "–", "–", "–", "–", "not used")
			continue
		}
		c := s.check
		on, foretold, missed := sizes(c.Sizes), Number(c.Predicted, s.Unit)+" at "+Plain(c.Largest), percent(c.Error)
		if c.FormGiven {
			on += " (" + c.Form.String() + " given by all sizes)"
		} else {
			on += " (" + c.Form.String() + ")"
		}
		verdict := c.Verdict.String()
		if c.Verdict == fit.TooFew {
			on, foretold, missed = sizes(c.Sizes), "–", "–"
		}
		if c.Verdict != fit.Holds {
			verdict = "**" + verdict + "**: not used"
		}
		a := s.slope.LeaveOneOutErrors
		g.row(
			s.label(),
			s.slope.Form.String(),
			Number(s.slope.RMSError, s.Unit),
			percent(s.slope.RelativeRMSError),
			percent(a[0])+", "+percent(a[1])+", "+percent(a[2]),
			on,
			foretold,
			Number(c.Measured, s.Unit),
			missed,
			verdict,
		)
	}
	return g.String()
}

func honesty(all []*series) string {
	var g grid
	g.head("series", "sizes with both", "hollow against real, medians", "widest", "verdict")
	n, seen := 0, map[string]bool{}
	for _, s := range all {
		key := s.Run + " " + strings.Join(s.Metrics, " ")
		if len(s.differ) == 0 || seen[key] {
			continue
		}
		seen[key] = true
		n++
		var at, differ []string
		widest := 0.0
		for _, d := range s.differ {
			at, differ = append(at, Plain(d.size)), append(differ, percent(d.difference))
			if math.Abs(d.difference) > math.Abs(widest) {
				widest = d.difference
			}
		}
		verdict := "alike"
		if !(math.Abs(widest) <= fit.MaxPredictionError) {
			verdict = "**differ**"
		}
		g.row(s.label(), strings.Join(at, ", "), strings.Join(differ, ", "), percent(widest), verdict)
	}
	if n == 0 {
		g.row(notRun, "–", "–", "–", "–")
	}
	return g.String()
}

// times is how many times the target a size is.
func times(s *series, size float64) float64 {
	t := Targets[s.Sweep]
	if len(t) == 0 {
		return math.NaN()
	}
	return size / t[len(t)-1]
}

// ranking lists what breaks its limit first as the fleet grows: what nothing carries, then by how many times the target a
// slope that holds has to be gone up to reach the limit; where none holds, up to the first size measured above it.
func ranking(all []*series) string {
	var g grid
	g.head("place", "what", "breaks at", "times the target", "why")
	place := 0
	add := func(cells ...string) { place++; g.row(append([]string{strconv.Itoa(place)}, cells...)...) }
	for _, x := range Gaps {
		add(x.What, "any size", "–", "nothing carries it: "+x.Why)
	}
	type reach struct {
		*series
		at, times float64
	}
	var known []reach
	var open []*series
	for _, s := range all {
		switch {
		case s.By == "":
			add(s.label(), "any size", "–", "nothing carries it: "+s.Why)
		case s.Limit == 0:
		case s.slope == nil || s.check.Verdict != fit.Holds:
			if i := slices.IndexFunc(s.value, func(v float64) bool { return v >= s.Limit }); i >= 0 {
				known = append(known, reach{s, s.size[i], times(s, s.size[i])})
			} else {
				open = append(open, s)
			}
		default:
			at := s.slope.SizeAtLimit(s.Limit)
			known = append(known, reach{s, at, times(s, at)})
		}
	}
	slices.SortStableFunc(known, func(a, b reach) int { return cmp.Compare(a.times, b.times) })
	for _, r := range known {
		at, times := Plain(math.Round(r.at))+" "+counted(r.Sweep), strconv.FormatFloat(r.times, 'g', 3, 64)
		switch {
		case math.IsInf(r.at, 1) || r.at > 1e8:
			at, times = "never by this slope", "–"
		case r.at == 0:
			at, times = "any size: above its limit from the first", "–"
		}
		why := r.formula() + " against " + r.limit()
		if i := slices.Index(r.size, r.at); i >= 0 && (r.slope == nil || r.check.Verdict != fit.Holds) {
			at, why = at+", measured", Number(r.value[i], r.Unit)+" there, against "+r.limit()
			if i > 0 {
				why += "; still " + Number(r.value[i-1], r.Unit) + " at " + Plain(r.size[i-1])
			}
		}
		add(r.label(), at, times, why)
	}
	for _, s := range open {
		why := s.why
		if s.slope != nil {
			why = "slope " + s.check.Verdict.String()
		}
		g.row("–", s.label(), "unknown", "–", why)
	}
	return g.String()
}

func list(runs map[string]*record.Run) string {
	var g grid
	g.head("run", "what grows", "sizes", "at", "commit", "machine", "ended early")
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		r := runs[name]
		var at []float64
		for _, p := range r.Points {
			at = append(at, p.Size)
		}
		commit := r.Commit
		if len(commit) > 10 {
			commit = commit[:10]
		}
		if r.Dirty {
			commit += ", with changes of its own"
		}
		g.row(
			fmt.Sprintf("[%s](../%s/%s.json)", name, Dir, name),
			r.Sweep,
			sizes(at),
			r.At.UTC().Format("2006-01-02 15:04"),
			commit,
			fmt.Sprintf(
				"%d cores, %s, %s",
				r.Machine.Cores,
				Number(float64(r.Machine.MemoryBytes), "B"),
				r.Machine.Go,
			),
			cmp.Or(r.Failed, "no"),
		)
	}
	if len(runs) == 0 {
		g.row(notRun, "–", "–", "–", "–", "–", "–")
	}
	return g.String()
}
