package soak

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	return Build(dir, "soaked")
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := built(); err == nil {
		os.RemoveAll(filepath.Dir(bin))
	}
	os.Exit(code)
}

// looseSlack is by how many seconds times are judged more loosely in tests: only a real failure is as late.
const looseSlack = 10

// play plays a plan and fails where an invariant breaks.
func play(t *testing.T, p *Plan) *Result {
	t.Helper()
	bin, err := built()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(p, Options{Bin: bin, Dir: t.TempDir(), Slack: looseSlack})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r.Stats)
	for i, v := range append(r.Broken, r.Unjudged...) {
		t.Errorf("%s: %s", v.Invariant, v.Text)
		if i == 0 {
			t.Log(strings.Join(v.Trace, "\n"))
		}
	}
	return r
}

// A machine's wall clock is stepped by an hour between a request and its hand-over to the next process, while no worker answers:
// the request is answered by its deadline all the same, and no worker is told more time than its client has.
func TestHandOverAcrossAStep(t *testing.T) {
	for name, step := range map[string]float64{"back": -3600, "forward": 3600} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, &Plan{Seed: 5, Nodes: 1, Workers: 4, Rate: 60, WorkMs: 300, LengthMs: 2600, Troubles: []Trouble{
				{Kind: WorkerHang, At: 1500, For: 12000, Amount: 1}, {Kind: Clock, At: 1900, Amount: step}, {Kind: Replace, At: 1950},
			}})
			if r.Stats.Served == 0 || r.Stats.Failed+r.Stats.Refused == 0 {
				t.Errorf("nothing was served, or nothing met the trouble: %+v", r.Stats)
			}
		})
	}
}
