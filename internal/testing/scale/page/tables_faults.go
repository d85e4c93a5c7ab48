package page

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"swiftdeal/internal/testing/scale/record"
)

// faults shows the operators' list with its runs, and then each run of a fault, by phase.
func faults(runs map[string]*record.Run) string {
	var g grid
	g.head("what happens", "carried by", "run")
	for _, f := range Faults {
		state := "`" + Dir + "/" + f.Run + ".json`: " + notRun
		if r := runs[f.Run]; r != nil {
			state = "[" + f.Run + "](../" + Dir + "/" + f.Run + ".json)"
			if r.Failed != "" {
				state += ", ended early: " + r.Failed
			}
		}
		g.row(f.What, f.By, state)
	}
	if t := matrix(runs, "worst", integer, "faults"); t != "" {
		return g.String() + "\n" + t
	}
	return g.String()
}

// integer are metrics that are not parts of another one, by kind.
func integer(metric string) bool { return !strings.Contains(metric, ":") }

// timed are those of benchmarks that are shown: times, and counts without a kind.
func timed(metric string) bool { return integer(metric) || strings.HasPrefix(metric, "ns:") }

// changing are those that changes of configuration bear on.
func changing(metric string) bool {
	return strings.HasPrefix(metric, "change") ||
		slices.Contains([]string{"cpu_core", "sent_bytes_s", "received_bytes_s", "sent_msgs_s", "heap_bytes"}, metric)
}

// orNotRun says so where there is nothing.
func orNotRun(text string) string { return cmp.Or(text, notRun) }

// phases are the sizes of runs of faults.
var phases = map[float64]string{0: "before", 1: "while it lasts", 2: "after"}

// matrix shows what runs hold over their sizes, of the metrics that are wanted.
func matrix(runs map[string]*record.Run, statistic string, want func(metric string) bool, prefixes ...string) string {
	var g grid
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		if !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) }) {
			continue
		}
		r := runs[name]
		head, cells := []string{name + ", by " + counted(r.Sweep) + ", " + statistic}, map[string]map[float64]string{}
		var at []float64
		for _, p := range r.Points {
			at = append(at, p.Size)
			if r.Sweep == "phase" {
				head = append(head, cmp.Or(phases[p.Size], Plain(p.Size)))
			} else {
				head = append(head, Plain(p.Size))
			}
			for role, x := range p.Roles {
				for metric, v := range x.Values {
					if !want(metric) {
						continue
					}
					k := role + ": " + strings.TrimPrefix(metric, "ns:")
					if cells[k] == nil {
						cells[k] = map[float64]string{}
					}
					y := v.Median
					if statistic == "worst" {
						y = v.Worst
					}
					cells[k][p.Size] = Number(y, v.Unit)
				}
			}
		}
		g.head(head...)
		for _, k := range slices.Sorted(maps.Keys(cells)) {
			row := []string{k}
			for _, n := range at {
				row = append(row, cmp.Or(cells[k][n], "–"))
			}
			g.row(row...)
		}
		if r.Failed != "" {
			g.WriteString("\nEnded early: " + r.Failed + "\n")
		}
	}
	return g.String()
}
