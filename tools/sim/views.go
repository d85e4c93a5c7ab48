package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"swiftdeal/internal/testing/simulation/fleetsim"
	"swiftdeal/internal/testing/simulation/mutants"
)

type viewsCmd struct {
	Seeds    viewSeeds    `cmd:"" help:"Play drawn seeds of fleets' views on all cores."`
	Replay   viewReplay   `cmd:"" help:"Play one seed again and print all that views hold."`
	Settings viewSettings `cmd:"" help:"Measure how long a change of the fleet's settings takes to be in force everywhere, and what it sends."`
	Measure  viewMeasure  `cmd:"" help:"Measure detection, spread, false deaths, healing and traffic at several sizes."`
	Mutants  viewMutants  `cmd:"" help:"Plant faults in the view, and say which scenarios and seeds catch each."`
	Faults   viewFaults   `cmd:"" help:"List the kinds of fault."`
}

type viewSeeds struct {
	N        int    `short:"n" name:"seeds" default:"1000" help:"How many."`
	From     uint64 `                       default:"1"    help:"The first one."`
	Settings bool   `                                      help:"With a council that decides on settings of the fleet."`
}

// draw generates the plan of a seed.
func draw(seed uint64, settings bool) *fleetsim.Plan {
	if settings {
		return fleetsim.DrawSettings(seed)
	}
	return fleetsim.Draw(seed)
}

// forEachParallel calls do for each i below n, on forEachParallel cores in parallel.
func forEachParallel(n int, do func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	wg.Wait()
}

// printTableHead prints the header and separator lines of a Markdown table.
func printTableHead(columns ...string) {
	fmt.Println("| " + strings.Join(columns, " | ") + " |")
	fmt.Println("|" + strings.Repeat(" --- |", len(columns)))
}

// Run implements views seeds.
func (s viewSeeds) Run() error {
	var mu sync.Mutex
	failed, start := 0, time.Now()
	worst, steps := time.Duration(0), 0
	forEachParallel(s.N, func(i int) {
		seed := s.From + uint64(i)
		o := fleetsim.Run(draw(seed, s.Settings), false)
		mu.Lock()
		defer mu.Unlock()
		steps += o.Steps
		worst = max(worst, o.ConvergedAfter)
		if o.Fault != "" {
			failed++
			fmt.Printf("seed %d at %v: %s\n", seed, o.At, o.Fault)
		}
	})
	fmt.Printf(
		"%d seeds in %.0f s, %d steps; the slowest settled %.0f periods after its last fault; %d failed\n",
		s.N,
		time.Since(start).Seconds(),
		steps,
		worst.Seconds()/fleetsim.Period.Seconds(),
		failed,
	)
	if failed > 0 {
		return errors.New("some seeds failed")
	}
	return nil
}

type viewReplay struct {
	Seed     uint64 `arg:""`
	Settings bool   `       help:"With a council that decides on settings of the fleet."`
}

// Run implements views replay.
func (r viewReplay) Run() error {
	p := draw(r.Seed, r.Settings)
	fmt.Printf("%+v\n", *p)
	o := fleetsim.Run(p, true)
	for _, l := range o.Log {
		fmt.Println(l)
	}
	if o.Fault != "" {
		return errors.New(o.Fault)
	}
	return nil
}

type viewMeasure struct {
	Sizes   []int     `default:"8,32,128,512,1000" help:"Members."`
	Loss    []float64 `default:"0,0.1,0.3" help:"Shares of datagrams that are lost."`
	Crashes int       `default:"20" help:"At each size, without loss."`
	Life    float64   `default:"100000" help:"Periods of members in which false deaths are counted, at each size and loss."`
	Seed    uint64    `default:"1"`
	Plot    string    `help:"Plot detection and spread over the size." placeholder:"FILE.png"`
}

func quantile(l []float64, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	l = append([]float64(nil), l...)
	sort.Float64s(l)
	return l[int(q*float64(len(l)-1)+0.5)]
}

func mean(l []float64) (m float64) {
	for _, v := range l {
		m += v / float64(len(l))
	}
	return m
}

// Run implements views measure.
func (m viewMeasure) Run() error {
	printTableHead(
		"members",
		"loss",
		"first suspected (mean)",
		"known to all (median, most)",
		"healed",
		"bytes a second",
		"datagrams a second",
		"suspicions and false deaths in a million member-periods",
	)
	cells := m.cells()
	var mu sync.Mutex // rows are printed as they are finished
	forEachParallel(len(cells), func(i int) {
		c := &cells[len(cells)-1-i] // the large sizes first
		m.measure(c)
		mu.Lock()
		defer mu.Unlock()
		c.printRow()
	})
	if m.Plot == "" {
		return nil
	}
	return plotDetection(cells, m.Plot)
}

// viewCell is a combination of size and loss, with its measurements.
type viewCell struct {
	members int
	loss    float64
	figures fleetsim.Figures
}

// cells lists the combinations to measure in the order of the flags.
func (m viewMeasure) cells() (cells []viewCell) {
	for _, n := range m.Sizes {
		for _, l := range m.Loss {
			cells = append(cells, viewCell{members: n, loss: l})
		}
	}
	return cells
}

// measure runs the measurements of a cell.
func (m viewMeasure) measure(c *viewCell) {
	crashes := 0
	if c.loss == 0 {
		crashes = m.Crashes
	}
	c.figures = fleetsim.Measure(c.members, c.loss, crashes, m.Life/float64(c.members), m.Seed)
}

// printRow prints a cell as a table row.
func (c *viewCell) printRow() {
	fmt.Printf(
		"| %d | %.2f | %.2f | %.1f, %.1f | %.1f | %.0f | %.2f | %.0f, %.2f (in %.0f) |\n",
		c.members,
		c.loss,
		mean(c.figures.First),
		quantile(c.figures.Known, 0.5),
		quantile(c.figures.Known, 1),
		quantile(c.figures.Healed, 1),
		c.figures.Bytes,
		c.figures.Datagrams,
		c.figures.Suspected,
		c.figures.FalsePerMillion,
		c.figures.MemberPeriods,
	)
}

// plotDetection writes a plot of detection and dissemination time over size to a file, for the cells without loss.
func plotDetection(cells []viewCell, file string) error {
	var first, known plotter.XYs
	for _, c := range cells {
		if c.loss == 0 {
			first = append(first, plotter.XY{X: float64(c.members), Y: mean(c.figures.First)})
			known = append(known, plotter.XY{X: float64(c.members), Y: quantile(c.figures.Known, 0.5)})
		}
	}
	p := plot.New()
	p.Title.Text = "A crash: first suspected, and known to all"
	p.X.Label.Text = "members"
	p.Y.Label.Text = "periods"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{}
	for _, points := range []plotter.XYs{first, known} {
		line, scatter, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		p.Add(line, scatter)
	}
	return p.Save(16*vg.Centimeter, 8*vg.Centimeter, file)
}

type viewSettings struct {
	Sizes []int     `default:"8,32,128,512,1000" help:"Members."`
	Loss  []float64 `default:"0,0.1"             help:"Shares of datagrams that are lost."`
	Kib   []float64 `default:"1,40"              help:"Settings that cannot be packed, in KiB."`
	Times int       `default:"20"                help:"Changes at each."`
}

// Run implements views settings.
func (m viewSettings) Run() error {
	printTableHead(
		"members",
		"loss",
		"KiB",
		"decided: median, most (periods)",
		"in force everywhere: median, most (periods)",
		"datagrams (bytes) of a node in a period without changes",
		"datagrams, KiB of all for one change",
	)
	type cell struct {
		n         int
		loss, kib float64
	}
	var cells []cell
	for _, n := range m.Sizes {
		for _, l := range m.Loss {
			for _, k := range m.Kib {
				cells = append(cells, cell{n, l, k})
			}
		}
	}
	var mu sync.Mutex
	failed := 0
	forEachParallel(len(cells), func(i int) {
		c := cells[len(cells)-1-i]
		f, o := fleetsim.MeasureSettings(c.n, m.Times, c.kib, c.loss, 1)
		mu.Lock()
		defer mu.Unlock()
		if o.Fault != "" {
			failed++
			fmt.Printf("%d members, loss %.2f, at %v: %s\n", c.n, c.loss, o.At, o.Fault)
		}
		fmt.Printf(
			"| %d | %.2f | %.0f | %.2f, %.2f (%d of %d) | %.2f, %.2f (%d) | %.2f (%.0f) | %.0f, %.0f |\n",
			c.n,
			c.loss,
			c.kib,
			quantile(f.First, 0.5),
			quantile(f.First, 1),
			len(f.First),
			m.Times,
			quantile(f.All, 0.5),
			quantile(f.All, 1),
			len(f.All),
			f.Idle,
			f.IdleBytes,
			f.Datagrams,
			f.Bytes/1024,
		)
	})
	if failed > 0 {
		return errors.New("some changes went wrong")
	}
	return nil
}

type viewMutants struct {
	Only string `help:"Only this one."`
	Most int    `help:"Seeds to play on each." default:"60"`
}

// Run implements views mutants.
func (m viewMutants) Run() error {
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	lines := make([]string, len(mutants.Fleet))
	missed := 0
	forEachParallel(len(mutants.Fleet), func(i int) {
		mu := &mutants.Fleet[i]
		if m.Only != "" && m.Only != mu.Name {
			return
		}
		lines[i] = m.findDetections(mu, root)
	})
	printTableHead("mutant", "offends", "caught by")
	for i, l := range lines {
		if l != "" {
			fmt.Printf("| %s | %s | %s |\n", mutants.Fleet[i].Name, mutants.Fleet[i].Breaks, l)
			if strings.HasPrefix(l, "MISSED") {
				missed++
			}
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d mutants were missed", missed)
	}
	return nil
}

// findDetections runs all scenarios, the tests of internal/membership, and seeds on one mutant. It returns a table cell that names what detected
// the mutant.
func (m viewMutants) findDetections(mu *mutants.FleetMutant, root string) string {
	dir, err := os.MkdirTemp("", "swiftdeal-mutant-")
	if err != nil {
		return "MISSED: " + err.Error()
	}
	defer os.RemoveAll(dir)
	overlay, err := mu.Overlay(root, dir)
	if err != nil {
		return "MISSED: " + err.Error()
	}
	var by []string
	for _, t := range []struct {
		pkg  string
		args []string
	}{
		{"views", []string{"-test.run", "^TestScenarios$"}}, {"member", []string{"-test.run", "."}},
		{"views", []string{"-test.run", "^TestSeeds$", "-seeds", fmt.Sprint(m.Most)}},
	} {
		bin := filepath.Join(dir, t.pkg+".test")
		path := map[string]string{
			"views": "./internal/testing/simulation/fleetsim", "member": "./internal/membership",
		}[t.pkg]
		build := exec.Command("go", "test", "-c", "-vet=off", "-o", bin, "-overlay", overlay, path)
		if out, err := build.CombinedOutput(); err != nil {
			return "MISSED: " + string(out)
		}
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		c := exec.CommandContext(ctx, bin, t.args...)
		c.Dir, c.Env = dir, append(os.Environ(), "GOMAXPROCS=1")
		var out bytes.Buffer
		c.Stdout, c.Stderr = &out, &out
		if c.Run() != nil {
			for _, l := range strings.Split(out.String(), "\n") {
				if name, ok := strings.CutPrefix(strings.TrimSpace(l), "--- FAIL: "); ok && len(by) < 6 {
					name, _, _ = strings.Cut(name, " ")
					by = append(by, strings.TrimPrefix(name, "TestScenarios/"))
				}
			}
			if ctx.Err() != nil {
				by = append(by, "time running out")
			}
		}
		stop()
	}
	if len(by) == 0 {
		return "MISSED"
	}
	return strings.Join(by, ", ")
}

type viewFaults struct{}

// Run implements views faults.
func (viewFaults) Run() error {
	for _, k := range fleetsim.Kinds() {
		fmt.Println(k)
	}
	return nil
}
