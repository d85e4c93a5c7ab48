// Command soak runs real processes of the program under randomly drawn, overlapping faults and checks the node's invariants
// (internal/testing/soak): for a range of seeds, for a plan from a file, or with planted faults. Run it from the root of the
// repository.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"swiftdeal/internal/testing/soak"
)

type cli struct {
	Run     run     `cmd:"" help:"Play seeds one after the other."`
	Plan    plan    `cmd:"" help:"Play the plan in a file, or print the plan of a seed."`
	Planted planted `cmd:"" help:"Play the program with each planted fault: its invariant must break."`
}

// commonFlags are the flags of all commands that run plans.
type commonFlags struct {
	Dir   string  `placeholder:"FOLDER" help:"Where plans, logs and traces stay; a new folder if it is not given."`
	Nodes int     `                     help:"Processes."                                                          default:"12"`
	Slack float64 `                     help:"Seconds by which times are judged more loosely, for a busy machine." default:"0"`
	Race  bool    `                     help:"Build the program with the race detector."`
}

type run struct {
	commonFlags
	N    int    `short:"n" default:"20" help:"How many seeds."`
	From uint64 `          default:"1"  help:"The first seed."`
}

type plan struct {
	commonFlags
	File string `arg:"" optional:"" help:"The plan's file."`
	Seed uint64 `                   help:"Print the plan of this seed."`
}

type planted struct {
	commonFlags
	Only string `help:"Only this one."`
}

// makeDir creates the folder of a run.
func (h commonFlags) makeDir(name string) (string, error) {
	if h.Dir == "" {
		return os.MkdirTemp("", "soak-"+name+"-")
	}
	dir := filepath.Join(h.Dir, name)
	return dir, os.MkdirAll(dir, 0o755)
}

// playPlan runs a plan, prints its result and leaves plan, logs and trace in a folder.
func (h commonFlags) playPlan(name, bin string, p *soak.Plan) (*soak.Result, error) {
	dir, err := h.makeDir(name)
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "plan.json"), text, 0o644); err != nil {
		return nil, err
	}
	r, err := soak.Run(p, soak.Options{Bin: bin, Dir: dir, Slack: h.Slack})
	if err != nil {
		return nil, err
	}
	var faults []string
	for _, t := range p.Faults {
		faults = append(faults, strings.TrimSpace(string(t.Kind)+" "+t.Syscall))
	}
	verdict := "holds"
	if !r.Ok() {
		verdict = "BROKEN"
	}
	fmt.Printf(
		"%s: %s  [%s]  %+v  %d unjudged  %s\n",
		name,
		verdict,
		strings.Join(faults, ", "),
		r.Stats,
		len(r.Unjudged),
		dir,
	)
	for i, v := range r.Broken {
		fmt.Printf("  %s: %s\n", v.Invariant, v.Text)
		if i == 0 {
			fmt.Println("    " + strings.Join(v.Trace, "\n    "))
		}
	}
	for _, v := range r.Unjudged {
		fmt.Printf("  unjudged, the harness was late: %s: %s\n", v.Invariant, v.Text)
	}
	return r, nil
}

// build builds the program into a temporary folder; remove deletes it.
func build() (bin string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "soak-build-")
	if err != nil {
		return "", nil, err
	}
	bin, err = soak.Build(dir, "soaked")
	return bin, func() { os.RemoveAll(dir) }, err
}

// Run runs the plans of a range of seeds.
func (r run) Run() error {
	bin, remove, err := build()
	if err != nil {
		return err
	}
	defer remove()
	broken, unjudged, start := []uint64{}, 0, time.Now()
	for i := range r.N {
		seed := r.From + uint64(i)
		res, err := r.playPlan(fmt.Sprintf("seed-%d", seed), bin, soak.Draw(seed, r.Nodes))
		if err != nil {
			return err
		}
		unjudged += len(res.Unjudged)
		if !res.Ok() {
			broken = append(broken, seed)
		}
	}
	fmt.Printf(
		"%d seeds in %v, %d broken %v, %d findings unjudged\n",
		r.N,
		time.Since(start).Round(time.Second),
		len(broken),
		broken,
		unjudged,
	)
	if len(broken) > 0 {
		return errors.New("some seeds broke an invariant")
	}
	return nil
}

// Run runs the plan in a file, or prints the plan of a seed.
func (p plan) Run() error {
	if p.File == "" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(soak.Draw(p.Seed, p.Nodes))
	}
	text, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	drawn, err := soak.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", p.File, err)
	}
	bin, remove, err := build()
	if err != nil {
		return err
	}
	defer remove()
	r, err := p.playPlan("plan", bin, drawn)
	if err == nil && !r.Ok() {
		err = errors.New("the plan broke an invariant")
	}
	return err
}

// Run runs the program with each planted fault.
func (p planted) Run() error {
	missed := 0
	for i := range soak.AllPlanted {
		m := &soak.AllPlanted[i]
		if p.Only != "" && p.Only != m.Name {
			continue
		}
		found, err := p.playPlanted(m)
		if err != nil {
			return err
		}
		if !found {
			missed++
		}
		fmt.Printf("planted %s: %s broken: %v\n", m.Name, m.Invariant, found)
	}
	if missed > 0 {
		return fmt.Errorf("%d planted faults were not found", missed)
	}
	return nil
}

// playPlanted runs the program with a planted fault, and reports whether its invariant broke.
func (p planted) playPlanted(m *soak.Planted) (found bool, err error) {
	dir, err := os.MkdirTemp("", "soak-build-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	bin, err := soak.Build(dir, m.Name, m.Changes...)
	if err != nil {
		return false, err
	}
	r, err := p.playPlan(m.Name, bin, &m.Plan)
	if err != nil {
		return false, err
	}
	for _, v := range r.Broken {
		found = found || v.Invariant == m.Invariant
	}
	return found, nil
}

func main() {
	ctx := kong.Parse(
		&cli{},
		kong.Name("soak"),
		kong.Description("Real processes of the program under drawn, overlapping troubles."),
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
