// Command fleet shows a fleet of three nodes on loopback, with workers and clients: its view, what becomes of it when one
// node is killed, and that it settles when the node is back. Run it from the root: go run ./example/fleet
package main

import (
	"fmt"
	"os"
	"os/exec"

	"swiftdeal/internal/proving"
)

func main() {
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
	bin, err := proving.Build(dir, "")
	if err != nil {
		return err
	}
	defer os.Remove(bin)
	show := func(what string, f *proving.Field, at int) {
		fmt.Printf("\n%s: swiftdeal fleet view --control %s\n", what, f.Control(at))
		c := exec.Command(bin, "fleet", "view", "--control", f.Control(at))
		out, err := c.CombinedOutput()
		fmt.Print(string(out))
		if err != nil {
			fmt.Println("(", err, ")")
		}
	}
	plan := &proving.Plan{Name: "example", Seed: 1, Sites: 1, Nodes: 3, Workers: 4, PeriodMs: 500, Knows: "all", Rate: 10, WorkMs: 60, LengthMs: 8000, SettleMs: 60000,
		Faults: []proving.Fault{{Kind: "kill", At: 1000, Target: 2}}}
	r, err := proving.Run(plan, proving.Options{Bin: bin, Dir: dir, Begun: func(f *proving.Field) { show("three nodes", f, 0) }}, func(f *proving.Field) {
		show("n2 was killed", f, 0)
		f.Restart(2)
		f.Wait(plan.Bound(), func() bool { why, _, _ := f.Wrong(); return why == "" })
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
