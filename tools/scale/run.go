package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"swiftdeal/internal/testing/chaos"
	"swiftdeal/internal/testing/scale"
	"swiftdeal/internal/testing/scale/record"
)

// how is how plans are made and played; flags that are not given leave what a sweep starts from.
type how struct {
	Out        string  `default:"bench/scale" placeholder:"FOLDER" help:"Where records are written."`
	Name       string  `placeholder:"NAME" help:"Of the record; the sweep's, or fault-NAME, if it is not given."`
	Note       string  `help:"Put into the record."`
	Logs       string  `placeholder:"FOLDER" help:"Where logs of the processes stay; a folder that is removed if it is not given."`
	Quiet      bool    `help:"No progress."`
	Members    int     `default:"64" help:"Of the fleet, in all."`
	Seats      int     `default:"3" help:"Of the council: 3, 5 or 7."`
	Real       int     `default:"3" help:"Real processes of the program."`
	Workers    int     `default:"80" help:"In discovery's list."`
	Tenants    int     `default:"10" help:"A class of jobs each."`
	Regions    int     `default:"3"`
	Zones      int     `default:"4" help:"Of each region."`
	Racks      int     `default:"2" help:"Of each zone."`
	PeriodMs   int     `default:"1000" help:"Of the view; the product's own is 1000."`
	Seconds    float64 `default:"30" help:"That are measured at each size."`
	PerProcess int     `default:"25" help:"Hollow nodes in a process."`
	Rate       float64 `default:"20" help:"Jobs a second at the real nodes."`
	WorkMs     float64 `default:"30" help:"Of a job."`
	Changes    float64 `default:"0" help:"Of the configuration at every node, a minute."`
	Settings   bool    `help:"Changes are of the fleet's settings, which its nodes spread; else files and SIGHUP."`
	ListMin    float64 `default:"6" help:"Of discovery's list, a minute." name:"list-changes"`
	Seed       uint64  `default:"1"`
	SettleS    float64 `default:"180" help:"For the fleet to have one view."`

	later int // sizes that are still to come, for progress
}

// aside is how many seconds a size takes beside those that are measured, about.
const aside = 30

func (h *how) plan() scale.Plan {
	return scale.Plan{
		Members:              h.Members,
		Replicas:             h.Seats,
		Real:                 h.Real,
		Workers:              h.Workers,
		Tenants:              h.Tenants,
		Regions:              h.Regions,
		Zones:                h.Zones,
		Racks:                h.Racks,
		PeriodMs:             h.PeriodMs,
		Seconds:              h.Seconds,
		PerProcess:           h.PerProcess,
		Rate:                 h.Rate,
		WorkMs:               h.WorkMs,
		ChangesPerMinute:     h.Changes,
		Settings:             h.Settings,
		ListChangesPerMinute: h.ListMin,
		Seed:                 h.Seed,
	}
}

type run struct {
	how
	Sweep string    `arg:"" help:"What is swept: see list."`
	Sizes []float64 `       help:"In place of the sweep's own."`
	Add   bool      `       help:"Keep the other sizes that the record has."`
}

type fault struct {
	how
	Fault  string  `arg:"" help:"Which: see list."`
	FaultS float64 `       help:"Seconds for which it lasts." default:"30"`
}

type list struct{}

// options prepares what plans are played with. The caller removes what it has made.
func (h *how) options(what string) (o scale.Options, remove func(), err error) {
	remove = func() {}
	host, err := scale.ThisHost()
	if err != nil {
		return o, remove, err
	}
	host.Cores = runtime.NumCPU()
	self, err := os.Executable()
	if err != nil {
		return o, remove, err
	}
	dir := h.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "scale-"); err != nil {
			return o, remove, err
		}
		remove = func() { os.RemoveAll(dir) }
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return o, remove, fmt.Errorf("logs: %w", err)
	}
	o = scale.Options{
		Self:   []string{self, "child"},
		Dir:    dir,
		Host:   host,
		Settle: time.Duration(h.SettleS * float64(time.Second)),
	}
	if !h.Quiet {
		o.Log = func(text string, left time.Duration) {
			more := ""
			if left > 0 {
				more = fmt.Sprintf(", %.0f s left of it", left.Seconds())
			}
			if h.later > 0 {
				more += fmt.Sprintf("; then %d sizes, some %.0f s", h.later, float64(h.later)*(h.Seconds+aside))
			}
			fmt.Fprintf(os.Stderr, "\r%-10s %-130.130s", what, text+more)
			if strings.Contains(text, " done in ") {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
	if h.Real > 0 {
		if o.Bin, err = chaos.Build(dir, ""); err != nil {
			return o, remove, err
		}
	}
	return o, remove, nil
}

// Run plays a sweep.
func (r *run) Run(ctx context.Context) error {
	s, ok := scale.Sweeps[r.Sweep]
	if !ok {
		return fmt.Errorf(
			"sweep: %q is none of them: %s",
			r.Sweep,
			strings.Join(slices.Sorted(maps.Keys(scale.Sweeps)), ", "),
		)
	}
	sizes := s.Sizes
	if len(r.Sizes) > 0 {
		sizes = r.Sizes
	}
	o, remove, err := r.options(r.Sweep)
	defer remove()
	if err != nil {
		return err
	}
	plans := map[float64]scale.Plan{}
	for _, size := range sizes { // all of them before the first one is played
		p := r.plan()
		s.Set(&p, size)
		if err := p.Check(o.Host); err != nil {
			return fmt.Errorf("sizes: %g: %w", size, err)
		}
		plans[size] = p
	}
	name := r.Name
	if name == "" {
		name = r.Sweep
	}
	return scale.Run(
		ctx,
		name,
		join(s.Note, r.Note),
		r.Out,
		r.Sweep,
		sizes,
		r.Add,
		func(ctx context.Context, size float64) ([]record.Point, error) {
			p := plans[size]
			r.later = len(sizes) - 1 - slices.Index(sizes, size)
			points, err := scale.Play(ctx, &p, o)
			for i := range points {
				points[i].Size = size
			}
			return points, err
		},
		o,
	)
}

// Run plays a fault.
func (f *fault) Run(ctx context.Context) error {
	p := f.plan()
	p.Fault, p.FaultSeconds = f.Fault, f.FaultS
	what, ok := scale.Faults[f.Fault]
	if !ok {
		return fmt.Errorf(
			"fault: %q is none of them: %s",
			f.Fault,
			strings.Join(slices.Sorted(maps.Keys(scale.Faults)), ", "),
		)
	}
	o, remove, err := f.options(f.Fault)
	defer remove()
	if err != nil {
		return err
	}
	if err := p.Check(o.Host); err != nil {
		return err
	}
	name := f.Name
	if name == "" {
		name = "faults-" + f.Fault
	}
	note := fmt.Sprintf(
		"%s. Sizes are phases: 0 before, 1 while it lasts (measured for its first %g s; it lasts until all have noticed), "+
			"2 after. one_view_s is how long until all members that are up hold what is so. "+
			"While that is waited for the tool asks each node once a period, which costs the nodes some processor time.",
		what,
		f.FaultS,
	)
	return scale.Run(
		ctx,
		name,
		join(note, f.Note),
		f.Out,
		"phase",
		[]float64{float64(p.Members)},
		false,
		func(ctx context.Context, _ float64) ([]record.Point, error) {
			return scale.Play(ctx, &p, o)
		},
		o,
	)
}

func join(a, b string) string { return strings.TrimSpace(a + " " + b) }

// Run lists what there is.
func (list) Run() error {
	fmt.Println("Sweeps:")
	for _, n := range slices.Sorted(maps.Keys(scale.Sweeps)) {
		fmt.Printf("  %-8s %s: %v\n", n, scale.Sweeps[n].Help, scale.Sweeps[n].Sizes)
	}
	fmt.Println("Faults:")
	for _, n := range slices.Sorted(maps.Keys(scale.Faults)) {
		fmt.Printf("  %-8s %s\n", n, scale.Faults[n])
	}
	return nil
}
