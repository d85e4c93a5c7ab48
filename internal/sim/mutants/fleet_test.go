package mutants

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Each planted fault in the view is caught by the scenario that is named for it.
func TestFleetMutants(t *testing.T) {
	root, err := filepath.Abs("../../..")
	if err != nil {
		t.Fatal(err)
	}
	for i := range Fleet {
		m := &Fleet[i]
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			overlay, err := m.Overlay(root, dir)
			if err != nil {
				t.Fatal(err)
			}
			bin, pkg, args := filepath.Join(dir, "views.test"), "internal/sim/views", []string{"-test.run", "^TestScenarios$", "-scenario", m.Scenario}
			want := "--- FAIL: TestScenarios/" + m.Scenario
			if strings.HasPrefix(m.Scenario, "Test") { // a test of the core itself
				pkg, args, want = "internal/fleet/member", []string{"-test.run", "^" + m.Scenario + "$"}, "--- FAIL: "+m.Scenario
			}
			if out, err := exec.Command("go", "test", "-c", "-vet=off", "-o", bin, "-overlay", overlay, "swiftdeal/"+pkg).CombinedOutput(); err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			ctx, stop := context.WithTimeout(context.Background(), time.Minute)
			defer stop()
			run := exec.CommandContext(ctx, bin, args...)
			run.Dir, run.Env = t.TempDir(), append(os.Environ(), "GOMAXPROCS=1")
			if out, err := run.CombinedOutput(); err == nil || !strings.Contains(string(out), want) {
				t.Errorf("it went through scenario %s: %v\n%s", m.Scenario, err, out)
			}
		})
	}
}
