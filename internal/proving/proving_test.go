package proving

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

var (
	keep     = flag.String("keep", "", "a folder in which the logs of all runs stay")
	scenario = flag.String("scenario", "", "only this one")
	planFile = flag.String("plan", "", "play the plan in this file")
)

var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "proving")
	if err != nil {
		return "", err
	}
	return Build(dir, "")
})

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if bin, err := built(); err == nil {
		os.RemoveAll(filepath.Dir(bin))
	}
	os.Exit(code)
}

// play plays a plan with the program as it stands.
func play(t *testing.T, p *Plan, opt Options, checks ...Check) *Result {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	bin, err := built()
	if err != nil {
		t.Fatal(err)
	}
	if opt.Bin == "" {
		opt.Bin = bin
	}
	opt.Dir = t.TempDir()
	if *keep != "" {
		opt.Dir = filepath.Join(*keep, strings.ReplaceAll(t.Name(), "/", "_"))
		if err := os.MkdirAll(opt.Dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	r, err := Run(p, opt, checks...)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("settled after %v ms; %+v", r.Stats.SettledMs, r.Stats)
	if !r.Ok() {
		t.Errorf("%s\nplan: %+v\n%s", strings.Join(r.Failures, "\n"), *p, r.Timeline)
	}
	return r
}

// The hard cases with real processes.
func TestScenarios(t *testing.T) {
	for i := range Scenarios {
		s := &Scenarios[i]
		if *scenario != "" && s.Name != *scenario {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			var checks []Check
			if s.Then != nil {
				checks = append(checks, s.Then)
			}
			play(t, &s.Plan, Options{}, checks...)
		})
	}
}

// Plans that cannot be played name the key, and where it stands.
func TestBadPlans(t *testing.T) {
	head := "{\n  \"sites\": 1, \"nodes\": 3, \"workers\": 2, \"period_ms\": 200, \"knows\": \"all\", \"length_ms\": 1000,\n"
	for _, c := range [][2]string{
		{"{", "1:"}, {"{\n \"noodles\": 1}", "2:"}, {head + `  "settle_ms": -1}`, "3:3: settle_ms: "},
		{head + "  \"faults\": [\n    {\"kind\": \"kill\"},\n    {\"kind\": \"boom\"}]}", "5:6: faults[1].kind: unknown fault \"boom\""},
		{head + "  \"faults\": [\n    {\"kind\": \"kill\", \"target\": 3}]}", "4:22: faults[0].target: 3 is not among the 3"},
		{head + "  \"faults\": [\n    {\"kind\": \"cut\", \"at\": 1001, \"other\": 1}]}", "4:21: faults[0].at: "},
		{head + "  \"faults\": [\n    {\"kind\": \"cut\", \"target\": 1, \"other\": 1}]}", "faults[0].other: "},
	} {
		if _, err := Parse([]byte(c[0])); err == nil || !strings.HasPrefix(err.Error(), c[1]) && !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v, not %q", c[0], err, c[1])
		}
	}
	for seed := range uint64(300) {
		if key, what := Draw(seed).check(); key != "" {
			t.Errorf("seed %d: %s: %s", seed, key, what)
		}
	}
}

// One plan from a file, for the hand.
func TestPlan(t *testing.T) {
	if *planFile == "" {
		t.Skip("for the hand: -plan FILE")
	}
	text, err := os.ReadFile(*planFile)
	if err != nil {
		t.Fatal(err)
	}
	p, err := Parse(text)
	if err != nil {
		t.Fatalf("%s:%v", *planFile, err)
	}
	fmt.Printf("%+v\n", play(t, p, Options{}).Stats)
}
