package views

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"
)

var (
	first    = flag.Uint64("from", 1, "the first seed")
	count    = flag.Int("seeds", 100, "how many seeds")
	scenario = flag.String("scenario", "", "only this one")
	measure  = flag.Int("measure", 0, "members")
	loss     = flag.Float64("loss", 0, "of datagrams")
	crashes  = flag.Int("crashes", 10, "measured")
	calm     = flag.Float64("calm", 100, "periods")
	verbose  = flag.Bool("all", false, "print all changes")
)

// Drawn seeds: the invariants hold at any time, and in the end all views are right and equal.
func TestSeeds(t *testing.T) {
	for i := range *count {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if o := Run(Draw(seed), *verbose); o.Fault != "" {
				for _, l := range o.Log {
					fmt.Println(l)
				}
				t.Errorf("seed %d at %v: %s\n%+v", seed, o.At, o.Fault, *Draw(seed))
			} else if *verbose {
				for _, l := range o.Log {
					fmt.Println(l)
				}
			}
		})
	}
}

// The hard cases by name.
func TestScenarios(t *testing.T) {
	for i := range Scenarios {
		s := &Scenarios[i]
		if *scenario != "" && *scenario != s.Name {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			why, o := s.Play(*verbose)
			if why != "" {
				t.Errorf("at %v: %s", o.At, why)
			}
			t.Logf("settled after %v; %d datagrams, %d steps", o.SettledAfter, o.Datagrams, o.Steps)
			if *verbose {
				for _, l := range o.Log {
					fmt.Println(l)
				}
			}
		})
	}
}

// A plan always gives the same trace.
func TestSameTrace(t *testing.T) {
	for _, seed := range []uint64{3, 46, 61} {
		a, b := Run(Draw(seed), false), Run(Draw(seed), true)
		if a.Trace != b.Trace || a.Steps != b.Steps {
			t.Errorf("seed %d: %x in %d steps, %x in %d", seed, a.Trace, a.Steps, b.Trace, b.Steps)
		}
	}
	if Run(Draw(3), false).Trace == Run(Draw(4), false).Trace {
		t.Error("two seeds give one trace")
	}
}

// Plans that cannot be played name what is wrong, and where.
func TestBadPlans(t *testing.T) {
	good, err := json.Marshal(Draw(46))
	if err != nil {
		t.Fatal(err)
	}
	if p, err := Parse(good); err != nil || Run(p, false).Trace != Run(Draw(46), false).Trace {
		t.Fatalf("a drawn plan is not the same once it was written: %v", err)
	}
	for _, c := range [][2]string{
		{"{", "1:1"}, {`{"members": 0}`, "members"}, {`{"members": 2, "knows": "x"}`, "knows"}, {"{\n  \"nodes\": 1}", "2:"},
		{`{"members":2,"knows":"all","forget":9,"length":9,"faults":[{"kind":"boom"}]}`, "faults[0].kind: unknown fault \"boom\""},
		{`{"members":2,"knows":"all","forget":9,"length":9,"faults":[{"kind":"kill","target":2}]}`, "faults[0].target"},
		{`{"members":2,"knows":"all","forget":9,"length":9,"faults":[{"kind":"kill","at":10}]}`, "faults[0]"},
	} {
		if _, err := Parse([]byte(c[0])); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v, not %q", c[0], err, c[1])
		}
	}
}

// Measure prints what the operators' page states; it is for the hand.
func TestMeasure(t *testing.T) {
	if *measure == 0 {
		t.Skip("for the hand: -measure N")
	}
	f := Measure(*measure, *loss, *crashes, *calm, *first)
	sort.Float64s(f.First)
	sort.Float64s(f.Known)
	mean := 0.0
	for _, v := range f.First {
		mean += v / float64(len(f.First))
	}
	at := func(l []float64, q float64) float64 {
		if len(l) == 0 {
			return 0
		}
		return l[int(q*float64(len(l)-1))]
	}
	fmt.Printf("n=%d loss=%.2f first mean=%.2f known median=%.1f most=%.1f (aim %.1f) healed=%v B/s=%.0f dg/s=%.2f false/M=%.2f susp/M=%.0f over %.0f\n",
		f.Members, f.Loss, mean, at(f.Known, 0.5), at(f.Known, 1), 3*math.Log2(float64(f.Members)), f.Healed, f.Bytes, f.Datagrams, f.FalsePerMillion, f.Suspected, f.MemberPeriods)
}
