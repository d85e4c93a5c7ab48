package decision

import (
	"strings"
	"testing"
)

const printed = `goos: linux
pkg: swiftdeal/balance
BenchmarkWorkers/workers=20/decide-8     100000	      1200.5 ns/op	     294 B/op	       6 allocs/op
BenchmarkWorkers/workers=20/decide-8     100000	      1000.5 ns/op	     294 B/op	       6 allocs/op
BenchmarkWorkers/workers=670/decide      1035	    106370 ns/op	     294 B/op	       6 allocs/op
BenchmarkWorkers/workers=670/all-8       3	    58351440 ns/op	  53051739 module-ns/op	       270.5 reports/op	 7309941 B/op	   11425 allocs/op
PASS
`

// The output of benchmarks becomes a point for each size. Repeated results are combined, and custom units are kept.
func TestParse(t *testing.T) {
	lines, err := Parse(strings.NewReader(printed), "workers")
	if err != nil || len(lines) != 4 || lines[2].Size != 670 || lines[2].Event != "decide" {
		t.Fatalf("%v: %+v", err, lines)
	}
	p := points(lines, "decision", map[string]float64{"queue": 0}, "workers")
	if len(p) != 2 || p[1].Plan["running"] != 2500 {
		t.Fatalf("%+v", p)
	}
	if v := p[0].Roles["decision"].Values["ns:decide"]; v.Median != 1100.5 || v.Worst != 1200.5 || v.Count != 2 || v.Unit != "ns" {
		t.Errorf("%+v", v)
	}
	all := p[1].Roles["decision"].Values
	if all["ns:module"].Median != 53051739 || all["reports"].Median != 270.5 || all["reports"].Unit != "reports" || all["allocs:decide"].Unit != "allocs" {
		t.Errorf("%+v", all)
	}
}

// An error names the line that cannot be parsed.
func TestParseNamesTheLine(t *testing.T) {
	for _, c := range []struct{ text, sweep, want string }{
		{printed, "queue", "BenchmarkWorkers/workers=20/decide-8: no size of queue"},
		{"BenchmarkX-8 1 5 ns/op", "queue", "BenchmarkX-8: not named"},
		{"BenchmarkX/queue=1/a-8 1 fast ns/op", "queue", `bad value "fast"`},
		{"PASS", "queue", "no line of a benchmark"},
	} {
		if _, err := Parse(strings.NewReader(c.text), c.sweep); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v", c.text, err)
		}
	}
}
