package scale

import (
	"cmp"
	"context"
	"fmt"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"time"

	"swiftdeal/internal/testing/scale/record"
)

// Sweep is one thing that a run sweeps over sizes, all else as in the plan.
type Sweep struct {
	Help  string
	Sizes []float64
	Set   func(p *Plan, size float64)
	Note  string
}

// Sweeps are what may be swept.
var Sweeps = map[string]Sweep{
	"members": {
		"members of the fleet", []float64{32, 64, 128, 256, 512, 1000},
		func(p *Plan, v float64) { p.Members = int(v) }, "",
	},
	"workers": {
		"workers in discovery's list", []float64{80, 160, 335, 670},
		func(p *Plan, v float64) { p.Workers = int(v) }, "",
	},
	"tenants": {
		"tenants, a class of jobs each in the settings", []float64{10, 40, 80, 160},
		func(p *Plan, v float64) { p.Tenants = int(v) },
		"Settings know no tenants: each is a class of its own, as an operator would have to word it today.",
	},
	"zones": {
		"regions times zones: 1 is 1x1, 3 is 3x1, 12 is 3x4, 24 is 3x8", []float64{1, 3, 12, 24}, setZones, "",
	},
	"changes": {
		"changes of the configuration at every node, a minute", []float64{0, 2, 6, 12, 30},
		func(p *Plan, v float64) { p.ChangesPerMinute = v },
		"A change is a new file for each node and a SIGHUP to each real one; hollow nodes read and check theirs as " +
			"SIGHUP would have it. change_s is until each real node's gw_reloads_ok has grown. " +
			"That figure counts files that were read: nothing at any node, in the view or in the council says which " +
			"configuration is in force, or where.",
	},
	"settings": {
		"members of the fleet, with changes of its settings that its nodes spread", []float64{32, 100, 335, 1000},
		func(p *Plan, v float64) {
			setChangingMembers(p, v)
			p.Settings = true
		},
		"A change is a revision of the fleet's settings (all classes and the prices), asked for at a real node. change_s " +
			"is from that call until a node has it in force: of a hollow one by its own " +
			"clock, of a real one when its figures say so; the tool's is the last node's.",
	},
	"files": {
		"members of the fleet, with changes of files at every node", []float64{32, 100, 335, 1000},
		setChangingMembers,
		"The same changes by a new file for each node and a SIGHUP to each real one, by a tool that knows every node and " +
			"reaches each at once. change_s of the tool is until the last real node has read it; " +
			"of a hollow one it is the time to read and check a file alone.",
	},
	"starts": {
		"jobs a second that clients start at the real nodes", []float64{5, 20, 55, 110},
		func(p *Plan, v float64) { p.Rate = v }, "",
	},
	"running": {
		"jobs that run at once at the real nodes: 110 a second start, each for as long as it takes",
		[]float64{150, 600, 1200, 2500}, setRunning, "",
	},
}

// setZones sets the regions and zones of each by the zones in all.
func setZones(p *Plan, v float64) {
	p.Regions, p.Zones = 1, int(v)
	if int(v)%3 == 0 {
		p.Regions, p.Zones = 3, int(v)/3
	}
}

// changesOfSweeps is how many changes a minute a sweep over members has if the plan names none.
const changesOfSweeps = 6

// setChangingMembers sets the members of a fleet whose configuration changes.
func setChangingMembers(p *Plan, v float64) {
	p.Members = int(v)
	if p.ChangesPerMinute == 0 {
		p.ChangesPerMinute = changesOfSweeps
	}
}

// setRunning sets how long jobs take by how many run at once.
func setRunning(p *Plan, v float64) {
	p.Rate = 110
	p.WorkMs = 1000 * v / p.Rate
}

// Run plays a sweep, and writes what it has after each size, whatever becomes of the next one. Points of other sizes that the run's
// file in the folder has are kept where add says so.
func Run(
	ctx context.Context,
	name, note, dir, sweep string,
	sizes []float64,
	add bool,
	play func(ctx context.Context, size float64) ([]record.Point, error),
	o Options,
) error {
	r := &record.Run{Name: name, Sweep: sweep, Note: note}
	if add {
		old, err := record.ReadAll(dir)
		if err != nil {
			return err
		}
		if was := old[name]; was != nil {
			r.Points = was.Points
		}
	}
	r.At = time.Now().UTC().Truncate(time.Second)
	r.Commit, r.Dirty = tree()
	r.Machine = record.Machine{Cores: o.Host.Cores, MemoryBytes: o.Host.Memory, Go: runtime.Version()}
	for k, size := range sizes {
		begin := time.Now()
		points, err := play(ctx, size)
		if err != nil {
			r.Failed = fmt.Sprintf("size %g: %v", size, err)
		}
		for _, p := range points {
			r.Points = slices.DeleteFunc(r.Points, func(q record.Point) bool { return q.Size == p.Size })
			r.Points = append(r.Points, p)
		}
		slices.SortFunc(r.Points, func(a, b record.Point) int { return cmp.Compare(a.Size, b.Size) })
		if len(r.Points) > 0 {
			if err := record.Write(dir, r); err != nil {
				return err
			}
		}
		if err != nil {
			return fmt.Errorf("%s, size %g: %w", name, size, err)
		}
		if o.Log != nil {
			o.Log(
				fmt.Sprintf("size %g done in %.0f s, %d of %d", size, time.Since(begin).Seconds(), k+1, len(sizes)),
				0,
			)
		}
	}
	return nil
}

// tree is the commit of the working folder, and whether there are changes beside it.
func tree() (commit string, dirty bool) {
	out, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown", true
	}
	status, err := exec.Command(
		"git", "status", "--porcelain", "--untracked-files=no", "--", ".", ":!bench/scale",
	).Output()
	return strings.TrimSpace(string(out)), err != nil || len(status) > 0
}
