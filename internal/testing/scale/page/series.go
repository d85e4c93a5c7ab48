package page

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"swiftdeal/internal/testing/scale/fit"
	"swiftdeal/internal/testing/scale/record"
)

// series is a row's, read from its run.
type series struct {
	Row
	run         *record.Run // nil: not run
	size, value []float64
	slope       *fit.Curve // nil: why says
	why         string
	check       fit.Check
	differ      []gap // of hollow from real members, where both were measured
}

// valueAt is the figure at a size: what was measured there, or what a slope that holds foretells. There is no other.
func (s *series) valueAt(n float64) (value, spread float64, measured, ok bool) {
	if i := slices.Index(s.size, n); i >= 0 {
		return s.value[i], 0, true, true
	}
	if s.slope == nil || s.check.Verdict != fit.Holds {
		return 0, 0, false, false
	}
	value, spread = s.slope.Predict(n)
	return value, spread, false, true
}

func (s *series) cell(n float64) string {
	v, spread, measured, ok := s.valueAt(n)
	switch {
	case ok && measured:
		return "**" + Number(v, s.Unit) + "**"
	case ok && math.IsNaN(spread):
		return Number(v, s.Unit)
	case ok:
		return Number(v, s.Unit) + " ± " + Number(spread, s.Unit)
	case s.slope == nil:
		return s.why
	}
	return "slope " + s.check.Verdict.String()
}

func (s *series) ratio(n float64) string {
	v, _, _, ok := s.valueAt(n)
	if s.Limit == 0 || !ok {
		return "–"
	}
	return percent(v / s.Limit)
}

func (s *series) limit() string {
	if s.Limit == 0 {
		return "none told"
	}
	if s.Why == "" {
		return Number(s.Limit, s.Unit)
	}
	return Number(s.Limit, s.Unit) + " (" + s.Why + ")"
}

func (s *series) carrier() string {
	if s.By == "" {
		return "nothing carries this: " + s.Why
	}
	return "`" + s.By + "`"
}

func (s *series) formula() string {
	if s.slope == nil {
		return "–"
	}
	if s.check.Verdict != fit.Holds {
		return s.check.Verdict.String()
	}
	b := Number(s.slope.Coefficient, s.Unit)
	switch s.slope.Form {
	case fit.Linear:
		return Number(s.slope.Intercept, s.Unit) + " + " + b + " · n"
	case fit.NLogN:
		return Number(s.slope.Intercept, s.Unit) + " + " + b + " · n log₂ n"
	}
	return Number(s.slope.Intercept, s.Unit)
}

func (s *series) source() string {
	if s.run == nil {
		return "`" + Dir + "/" + s.Run + ".json`: " + notRun
	}
	return fmt.Sprintf("[%s](../%s/%s.json), %s, %s", s.Run, Dir, s.Run, s.Role, s.Statistic)
}

// label names a series in the tables on slopes.
func (s *series) label() string { return s.Table + ": " + s.What + ", over " + counted(s.Sweep) }

// gap is how far hollow members are from real ones at a size.
type gap struct{ size, difference float64 }

// read finds a row's series. That the run is missing, or does not hold the metric, is no error: the page says so.
func read(row Row, runs map[string]*record.Run) (*series, error) {
	s := &series{Row: row, run: runs[row.Run], why: notRun}
	if s.run == nil {
		return s, nil
	}
	if s.run.Sweep != row.Sweep {
		return nil, fmt.Errorf("run %s is over %s, the row %q wants %s", s.run.Name, s.run.Sweep, row.What, row.Sweep)
	}
	var err error
	if s.size, s.value, err = sum(s.run, row.Role, row); err != nil {
		return nil, err
	}
	if len(s.size) == 0 {
		s.why = "not in this run"
		return s, nil
	}
	if s.slope, err = fit.Fit(s.size, s.value); err != nil {
		s.why = err.Error()
	} else {
		s.check = fit.CheckExtrapolation(s.size, s.value, s.slope.Form)
	}
	for _, pair := range [][2]string{{"hollow", "real"}} {
		if row.Role != pair[0] && row.Role != pair[1] {
			continue
		}
		middle := row // the worst of hundreds is worse than that of a few
		middle.Statistic = "median"
		an, av, err := sum(s.run, pair[0], middle)
		if err != nil {
			return nil, err
		}
		bn, bv, err := sum(s.run, pair[1], middle)
		if err != nil {
			return nil, err
		}
		for i, n := range an {
			if j := slices.Index(bn, n); j >= 0 {
				s.differ = append(s.differ, gap{n, fit.Difference(av[i], bv[j])})
			}
		}
	}
	return s, nil
}

// sum returns the sum of a row's metrics over the sizes that have all of them.
func sum(run *record.Run, role string, row Row) (size, value []float64, err error) {
	for k, metric := range row.Metrics {
		n, v, unit := run.Series(role, metric, row.Statistic)
		if len(n) > 0 && unit != row.Unit {
			return nil, nil, fmt.Errorf(
				"run %s: %s of %s is in %s, the row %q wants %s",
				run.Name,
				metric,
				role,
				unit,
				row.What,
				row.Unit,
			)
		}
		if k == 0 {
			size, value = n, v
			continue
		}
		var both, total []float64
		for i, at := range size {
			if j := slices.Index(n, at); j >= 0 {
				both, total = append(both, at), append(total, value[i]+v[j])
			}
		}
		size, value = both, total
	}
	return size, value, nil
}

// counted is what the sizes of a sweep are, in words.
func counted(sweep string) string {
	return cmp.Or(
		map[string]string{
			"queue": "requests held", "running": "requests running", "starts": "starts a second",
			"changes": "changes a minute", "settings": "members, six changes a minute",
			"files": "members, six changes a minute", "zones": "zones in all",
		}[sweep],
		sweep,
	)
}

func sizes(list []float64) string {
	if len(list) == 0 {
		return "–"
	}
	words := make([]string, len(list))
	for i, n := range list {
		words[i] = Plain(n)
	}
	return strings.Join(words, ", ")
}

// Plain words a number as it is counted: thousands parted, at most three digits after the point.
func Plain(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return "–"
	case v != math.Trunc(v) || math.Abs(v) < 1000:
		return strconv.FormatFloat(v, 'g', 6, 64)
	}
	s := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	if v < 0 {
		s = "-" + s
	}
	return s
}

// Number words a value with its unit, to three digits.
func Number(v float64, unit string) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "–"
	}
	v += 0 // not -0
	three := func(v float64) string {
		if a := math.Abs(v); a >= 100 || a == 0 {
			return Plain(math.Round(v))
		}
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	steps := func(v float64, units ...string) string {
		i := 0
		for i < len(units)-1 && math.Abs(v) >= 999.5 {
			v, i = v/1000, i+1
		}
		return three(v) + " " + units[i]
	}
	switch unit {
	case "B":
		return steps(v, "B", "KB", "MB", "GB")
	case "B/s":
		return steps(v, "B/s", "KB/s", "MB/s", "GB/s")
	case "s":
		if math.Abs(v) < 0.9995 && v != 0 {
			return steps(v*1e9, "ns", "µs", "ms", "s")
		}
		return three(v) + " s"
	case "core":
		return three(100*v) + "% of a core"
	case "1/s":
		return three(v) + "/s"
	case "ns":
		return steps(v, "ns", "µs", "ms", "s")
	case "entries", "":
		return three(v)
	}
	return three(v) + " " + unit
}

func percent(v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "–"
	}
	return strconv.FormatFloat(100*v, 'f', 1, 64) + "%"
}
