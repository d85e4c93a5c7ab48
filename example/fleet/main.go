// Command fleet runs a fleet of three nodes with workers and clients on loopback. It prints the fleet's view at the start, after one
// node is killed, and after that node has returned. Run it from the repository root: go run ./example/fleet
//
// With -release good, or another build (fails, slow, crashes, dead), it shows the release of that build to a fleet of four nodes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/testing/chaos"
)

var build = flag.String("release", "", "release this build: good, fails, slow, crashes or dead")

func main() {
	flag.Parse()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "swiftdeal-fleet-")
	if err != nil {
		return err
	}
	fmt.Println("building the program ...")
	bin, err := chaos.Build(dir, "")
	if err != nil {
		return err
	}
	defer os.Remove(bin)
	show := newShowFunc(bin)
	if *build != "" {
		return release(dir, bin, show)
	}
	return crash(dir, bin, show)
}

// showFunc runs a command of the program (by default "fleet view") against a node and prints its output.
type showFunc func(what string, f *chaos.Cluster, at int, args ...string)

func newShowFunc(bin string) showFunc {
	return func(what string, f *chaos.Cluster, at int, args ...string) {
		if len(args) == 0 {
			args = []string{"fleet", "view"}
		}
		args = append(args, "--control", f.Control(at))
		fmt.Printf("\n%s: swiftdeal %s\n", what, strings.Join(args, " "))
		c := exec.Command(bin, args...)
		out, err := c.CombinedOutput()
		fmt.Print(string(out))
		if err != nil {
			fmt.Println("(", err, ")")
		}
	}
}

// crash shows a node that is killed and restarted.
func crash(dir, bin string, show showFunc) error {
	plan := &chaos.Plan{
		Name:         "example",
		Seed:         1,
		Sites:        1,
		Nodes:        3,
		Workers:      4,
		PeriodMs:     500,
		SeedTopology: "all",
		Rate:         10,
		WorkMs:       60,
		LengthMs:     8000,
		SettleMs:     60000,
		Faults:       []chaos.Fault{{Kind: "kill", At: 1000, Target: 2}},
	}
	options := chaos.Options{
		Bin:     bin,
		Dir:     dir,
		Started: func(f *chaos.Cluster) { show("three nodes", f, 0) },
	}
	r, err := chaos.Run(plan, options, func(f *chaos.Cluster) {
		show("n2 was killed", f, 0)
		f.RestartNode(2)
		f.Wait(plan.Bound(), func() bool { why, _, _ := f.ViewsProblem(); return why == "" })
		show("n2 is back", f, 1)
	})
	if err != nil {
		return err
	}
	fmt.Printf("\n%d jobs asked, %d served; logs and events are in %s\n", r.Stats.Asked, r.Stats.Served, dir)
	if !r.Ok() {
		return fmt.Errorf("did not hold: %v", r.Failures)
	}
	return nil
}

// release shows the release of the build that the flag names.
func release(dir, bin string, show showFunc) error {
	changes, ok := chaos.BadBuild[*build]
	if !ok {
		return fmt.Errorf("no build %q", *build)
	}
	other, err := chaos.BuildWith(dir, *build, changes...)
	if err != nil {
		return err
	}
	defer os.Remove(other)
	plan := &chaos.Plan{
		Name:         "release",
		Seed:         1,
		Sites:        2,
		Nodes:        4,
		Workers:      6,
		PeriodMs:     300,
		SeedTopology: "all",
		Rate:         60,
		WorkMs:       25,
		LengthMs:     6000,
		SettleMs:     180000,
		Replicas:     3,
		Budget:       1,
		Release:      *build,
		WorseRelease: true,
		Faults:       []chaos.Fault{{Kind: "release", At: 300, Length: 3000}},
	}
	options := chaos.Options{
		Bin:      bin,
		Dir:      dir,
		Versions: map[string]string{*build: other},
		Started: func(f *chaos.Cluster) {
			show("four nodes, three of them in the council", f, 3, "fleet", "status")
		},
	}
	r, err := chaos.Run(plan, options, func(f *chaos.Cluster) {
		f.Wait(plan.Bound(), func() bool {
			l, _ := f.Leader()
			return l != nil && (l.ReleasePhase == rollout.PhaseCompleted || l.ReleasePhase == rollout.PhaseRolledBack)
		})
		show("the release has ended", f, 3, "fleet", "release", "status")
		show("who decided what", f, 3, "fleet", "status")
		show("what the nodes run", f, 3)
	})
	if err != nil {
		return err
	}
	fmt.Printf("\n%d jobs asked, %d served; logs and events are in %s\n", r.Stats.Asked, r.Stats.Served, dir)
	if !r.Ok() {
		return fmt.Errorf("did not hold: %v", r.Failures)
	}
	return nil
}
