// Command proving runs plans of internal/testing/chaos with real processes of the program on loopback: a plan from a file, a named
// scenario or a series of random plans. It also shows the results of a run. Run it from the repository's root.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"swiftdeal/internal/testing/chaos"
)

type cli struct {
	Run    run    `cmd:"" help:"Play the plan in a file, or a named scenario."`
	Draw   draw   `cmd:"" help:"Print the plan of a seed, as a file that can be changed and played."`
	Soak   soak   `cmd:"" help:"Play drawn plans one after the other."`
	Report report `cmd:"" help:"Show what a run has left in its folder, and plot how the views converged."`
	Faults faults `cmd:"" help:"List the kinds of fault that a plan may name, and the scenarios."`
}

// runFlags holds the flags of commands that run plans.
type runFlags struct {
	Dir   string `default:"" placeholder:"FOLDER" help:"Where logs and results stay; a new folder if it is not given."`
	Quiet bool   `                                help:"No progress bar."`
}

type run struct {
	runFlags
	Plan string `arg:"" help:"The plan's file, or a scenario's name."`
}

type draw struct {
	Seed uint64 `arg:""`
}

type soak struct {
	runFlags
	N     int    `short:"n" default:"20" help:"How many."`
	From  uint64 `          default:"1"  help:"The first seed."`
	Nodes int    `                       help:"So many processes, in place of the number drawn."`
}

type report struct {
	Dir  string `arg:"" type:"existingdir"`
	Plot string `                          placeholder:"FILE.png" help:"Plot the views that were right over time."`
}

type faults struct{}

// buildVersions builds the program, another version of it and the versions that scenarios need. The caller calls remove to delete them.
func buildVersions() (bin, other string, versions map[string]string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "proving-")
	if err != nil {
		return "", "", nil, nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	if bin, err = chaos.Build(dir, ""); err == nil {
		other, err = chaos.Build(dir, "0.2.0-other")
	}
	if err == nil {
		versions = map[string]string{}
		versions["older"], err = chaos.BuildWith(dir, "older", chaos.OlderBuild...)
	}
	if err != nil {
		remove()
	}
	return bin, other, versions, remove, err
}

// makeDir creates the folder of a run.
func (h runFlags) makeDir(name string) (string, error) {
	if h.Dir == "" {
		return os.MkdirTemp("", "proving-"+name+"-")
	}
	dir := filepath.Join(h.Dir, name)
	return dir, os.MkdirAll(dir, 0o755)
}

// progressBar returns a function that shows the progress of a run on stderr; nil with Quiet.
func (h runFlags) progressBar(name string) func(chaos.Step) {
	if h.Quiet {
		return nil
	}
	return func(s chaos.Step) {
		const width = 30
		share := 0.0
		if s.Of > 0 {
			share = min(1, s.Done.Seconds()/s.Of.Seconds())
		}
		n := int(share * width)
		fmt.Fprintf(
			os.Stderr,
			"\r%-28s [%s%s] %-30s %5.1f s left ",
			name,
			strings.Repeat("#", n),
			strings.Repeat(".", width-n),
			s.What,
			max(0, (s.Of-s.Done).Seconds()),
		)
	}
}

// play runs one plan, prints a summary and leaves the plan, result and events in a folder.
func (h runFlags) play(
	name string,
	p *chaos.Plan,
	bin, other string,
	versions map[string]string,
	checks ...chaos.Check,
) (*chaos.Result, error) {
	dir, err := h.makeDir(name)
	if err != nil {
		return nil, err
	}
	if err := writeJSON(filepath.Join(dir, "plan.json"), p); err != nil {
		return nil, err
	}
	r, err := chaos.Run(
		p,
		chaos.Options{Bin: bin, Other: other, Versions: versions, Dir: dir, Progress: h.progressBar(name)},
		checks...)
	if !h.Quiet {
		fmt.Fprintln(os.Stderr)
	}
	if err != nil {
		return nil, err
	}
	if err := writeJSON(filepath.Join(dir, "result.json"), r); err != nil {
		return nil, err
	}
	verdict := "holds"
	if !r.Ok() {
		verdict = "FAILED: " + strings.Join(r.Failures, "; ")
	}
	fmt.Printf(
		"%s: %s\n  views settled after %.0f ms; %d jobs asked, %d served, %d lost; "+
			"each process %.2f%% of a core, %.0f MB, %.0f bytes a second to its fleet\n  %s\n",
		name,
		verdict,
		r.Stats.SettledMs,
		r.Stats.Asked,
		r.Stats.Served,
		r.Stats.Lost,
		100*r.Stats.CPU,
		r.Stats.RSSMB,
		r.Stats.BytesEach,
		dir,
	)
	for _, note := range r.Notes {
		fmt.Println("  " + note)
	}
	return r, nil
}

// writeJSON writes a value as indented JSON.
func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Run runs the command.
func (r run) Run() error {
	var p *chaos.Plan
	var checks []chaos.Check
	name := strings.TrimSuffix(filepath.Base(r.Plan), ".json")
	for _, s := range scenarios() {
		if s.Name == r.Plan {
			p = &s.Plan
			if s.Then != nil {
				checks = append(checks, s.Then)
			}
		}
	}
	if p == nil {
		text, err := os.ReadFile(r.Plan)
		if err != nil {
			return err
		}
		if p, err = chaos.Parse(text); err != nil {
			return fmt.Errorf("%s:%w", r.Plan, err)
		}
	}
	bin, other, versions, remove, err := buildVersions()
	if err != nil {
		return err
	}
	defer remove()
	res, err := r.play(name, p, bin, other, versions, checks...)
	if err == nil && !res.Ok() {
		err = errors.New("the plan failed")
	}
	return err
}

// Run runs the command.
func (d draw) Run() error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(chaos.Draw(d.Seed))
}

// Run runs the command.
func (s soak) Run() error {
	bin, other, versions, remove, err := buildVersions()
	if err != nil {
		return err
	}
	defer remove()
	failed, start := 0, time.Now()
	for i := range s.N {
		p := chaos.Draw(s.From + uint64(i))
		if s.Nodes > 0 {
			p.Nodes = s.Nodes
		}
		r, err := s.play(fmt.Sprintf("seed-%d", p.Seed), p, bin, other, versions)
		if err != nil {
			return err
		}
		if !r.Ok() {
			failed++
		}
	}
	fmt.Printf("%d plans in %v, %d failed\n", s.N, time.Since(start).Round(time.Second), failed)
	if failed > 0 {
		return errors.New("some plans failed")
	}
	return nil
}

// Run runs the command.
func (r report) Run() error {
	text, err := os.ReadFile(filepath.Join(r.Dir, "result.json"))
	if err != nil {
		return err
	}
	var res chaos.Result
	if err := json.Unmarshal(text, &res); err != nil {
		return err
	}
	fmt.Printf("%+v\n", res.Stats)
	for _, f := range res.Failures {
		fmt.Println("FAILED:", f)
	}
	fmt.Print(res.Timeline)
	if r.Plot == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Views that are right", "seconds", "views"
	var right, of plotter.XYs
	for _, s := range res.Views {
		right, of = append(
			right,
			plotter.XY{X: s.Ms / 1000, Y: float64(s.Right)},
		), append(
			of,
			plotter.XY{X: s.Ms / 1000, Y: float64(s.Of)},
		)
	}
	for _, l := range []plotter.XYs{right, of} {
		line, err := plotter.NewLine(l)
		if err != nil {
			return err
		}
		p.Add(line)
	}
	return p.Save(16*vg.Centimeter, 8*vg.Centimeter, r.Plot)
}

// Run runs the command.
func (faults) Run() error {
	for _, k := range chaos.FaultKinds() {
		fmt.Println(k)
	}
	fmt.Println("\nscenarios:")
	for _, s := range scenarios() {
		fmt.Println(" ", s.Name)
	}
	return nil
}

// scenarios returns the scenarios that can be run by name: of membership views, and of settings for the whole fleet.
func scenarios() []chaos.Scenario {
	return slices.Concat(chaos.Scenarios, chaos.SettingsScenarios)
}

func main() {
	ctx := kong.Parse(
		&cli{},
		kong.Name("proving"),
		kong.Description("Real processes of the program under faults, on loopback."),
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
