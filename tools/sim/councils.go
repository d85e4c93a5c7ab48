package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"swiftdeal/internal/testing/simulation/fleetsim"
	"swiftdeal/internal/testing/simulation/statespace"
)

type controlPlanesCmd struct {
	Seeds    controlPlaneSeeds    `cmd:"" help:"Play drawn seeds of fleets with a council on all cores."`
	Measure  controlPlaneMeasure  `cmd:"" help:"Measure how long permits take at several sizes and losses."`
	Releases controlPlaneReleases `cmd:"" help:"Play releases of good and bad versions, and say how they end."`
	Explore  controlPlaneExplore  `cmd:"" help:"Explore all states of a small fleet's permits."`
}

type controlPlaneSeeds struct {
	N    int    `short:"n" default:"1000" help:"How many."`
	From uint64 `default:"1" help:"The first one."`
}

// Run implements councils seeds.
func (s controlPlaneSeeds) Run() error {
	var mu sync.Mutex
	failed, start, steps := 0, time.Now(), 0
	forEachParallel(s.N, func(i int) {
		seed := s.From + uint64(i)
		o := fleetsim.Run(fleetsim.DrawControlPlane(seed), false)
		mu.Lock()
		defer mu.Unlock()
		steps += o.Steps
		if o.Fault != "" {
			failed++
			fmt.Printf("seed %d at %v: %s\n", seed, o.At, o.Fault)
		}
	})
	fmt.Printf("%d seeds in %.0f s, %d steps; %d failed\n", s.N, time.Since(start).Seconds(), steps, failed)
	if failed > 0 {
		return errors.New("some seeds failed")
	}
	return nil
}

type controlPlaneMeasure struct {
	Sizes []int     `default:"6,32,128" help:"Members."`
	Loss  []float64 `default:"0,0.1,0.3" help:"Shares of datagrams that are lost."`
	Times int       `default:"60" help:"Drains at each."`
}

// Run implements councils measure.
func (m controlPlaneMeasure) Run() error {
	printTableHead(
		"members",
		"loss",
		"from the wish to the exit: median, 99th percentile (periods)",
		"a new leader after the old one's end: median, most",
		"datagrams a second: a seat, another",
		"bytes a second: a seat, another",
	)
	type cell struct {
		n    int
		loss float64
	}
	var cells []cell
	for _, n := range m.Sizes {
		for _, l := range m.Loss {
			cells = append(cells, cell{n, l})
		}
	}
	rows := make([]string, len(cells))
	forEachParallel(len(cells), func(i int) {
		c := cells[len(cells)-1-i]
		f := fleetsim.MeasureControlPlane(c.n, c.loss, m.Times, 1)
		rows[len(cells)-1-i] = fmt.Sprintf(
			"| %d | %.2f | %.1f, %.1f (%d of %d) | %.1f, %.1f | %.1f, %.1f | %.0f, %.0f |",
			c.n,
			c.loss,
			quantile(f.Waits, 0.5),
			quantile(f.Waits, 0.99),
			len(f.Waits),
			m.Times,
			quantile(f.Leader, 0.5),
			quantile(f.Leader, 1),
			f.Datagrams[0],
			f.Datagrams[1],
			f.Bytes[0],
			f.Bytes[1],
		)
	})
	for _, r := range rows {
		fmt.Println(r)
	}
	return nil
}

type controlPlaneReleases struct {
	Nodes int     `default:"12"`
	N     int     `short:"n" default:"20" help:"Seeds of each version."`
	Most  float64 `default:"3000" help:"Periods that a release may take."`
	Good  bool    `help:"Only the good version: counts false halts."`
}

// Run implements councils releases.
func (r controlPlaneReleases) Run() error {
	printTableHead(
		"version",
		"ended as it should",
		"nodes that had it at the halt: most",
		"halted after, periods: median",
		"over after: median, most",
	)
	for v, name := range fleetsim.Versions() {
		if r.Good && v > 0 {
			break
		}
		var mu sync.Mutex
		var halts, ends []float64
		right, had := 0, 0
		forEachParallel(r.N, func(i int) {
			phase, released, halt, end, _ := fleetsim.Release(r.Nodes, 3, 3, v, uint64(1000*v+i+1), r.Most)
			mu.Lock()
			defer mu.Unlock()
			if phase == "done" && v == 0 || phase == "undone" && v > 0 {
				right++
			} else {
				fmt.Printf("  %s, seed %d: %s\n", name, 1000*v+i+1, phase)
			}
			had = max(had, released)
			halts, ends = append(halts, halt), append(ends, end)
		})
		fmt.Printf(
			"| %s | %d of %d | %d | %.0f | %.0f, %.0f |\n", name, right, r.N, had, quantile(halts, 0.5),
			quantile(ends, 0.5), quantile(ends, 1),
		)
	}
	return nil
}

type controlPlaneExplore struct {
	Nodes   int `default:"3"`
	Sites   int `default:"1"`
	Budget  int `default:"1"`
	Crashes int `default:"1"`
	Sleeps  int `default:"1"`
	Forgets int `default:"0"`
	Most    int `default:"3000000" help:"States."`
}

// Run implements councils explore.
func (e controlPlaneExplore) Run() error {
	start := time.Now()
	r := statespace.Explore(
		statespace.Model{
			Nodes: e.Nodes, Sites: e.Sites, Budget: e.Budget, SiteBudget: e.Budget, Crashes: e.Crashes,
			Sleeps: e.Sleeps, Forgets: e.Forgets, MaxStates: e.Most,
		},
	)
	fmt.Printf(
		"%d states, %d steps, %d exits begun; all of them: %v; %.0f s\n", r.States, r.Steps, r.ExitsBegun,
		r.Complete, time.Since(start).Seconds(),
	)
	for _, s := range r.Trace {
		fmt.Println(" ", s)
	}
	if len(r.Trace) > 0 {
		return errors.New("a budget can be broken")
	}
	return nil
}
