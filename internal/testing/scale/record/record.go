// Package record is the form of scale runs on disk: what was run, on what, and what each role cost at each size. Whoever
// measures writes it, and whoever fits slopes, draws plots or writes the capacity page reads it, by this one type.
package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Form is the form written and read here.
const Form = 1

// Run is one scale run: a sweep of one thing over sizes, a fault at size, or a set of benchmarks.
type Run struct {
	Form    int       `json:"form"`
	Name    string    `json:"name"`  // the file's, without .json
	Sweep   string    `json:"sweep"` // what Size counts: "members", "workers", "tenants", "running", "starts", "regions", "changes", ...
	Note    string    `json:"note,omitempty"`
	At      time.Time `json:"at"`
	Commit  string    `json:"commit"` // of the tree that was run
	Dirty   bool      `json:"dirty"`  // with changes that are not in that commit
	Machine Machine   `json:"machine"`
	Points  []Point   `json:"points"`
	Failed  string    `json:"failed,omitempty"` // why the run ended early; its points up to then stand
}

// Machine is what a run was made on.
type Machine struct {
	Cores       int    `json:"cores"`
	MemoryBytes uint64 `json:"memory_bytes"`
	Go          string `json:"go"`
}

// Point is what was measured at one size.
type Point struct {
	Size    float64            `json:"size"`
	Plan    map[string]float64 `json:"plan"` // all that was set at this size: members, real, workers, tenants, period_ms, seconds, ...
	Seconds float64            `json:"seconds"`
	Roles   map[string]Role    `json:"roles"` // "hollow", "real", "worker", "discovery", "seat", "tool", "decision", ...
}

// Role is what the members of one role cost.
type Role struct {
	Members   int              `json:"members"`
	Processes int              `json:"processes,omitempty"`
	Values    map[string]Value `json:"values"` // by metric; its kind after a colon: "sent_bytes_s:ping", "entries:members"
}

// Value is one metric over a role's members.
type Value struct {
	Unit   string  `json:"unit"` // "B", "B/s", "1/s", "core", "s", "entries", "allocs", ...
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
	Mean   float64 `json:"mean"`
	Count  int     `json:"count"` // how many were measured
}

// Over is the Value of what was measured for each member. Worst is the largest.
func Over(unit string, list []float64) Value {
	if len(list) == 0 {
		return Value{Unit: unit}
	}
	list = slices.Clone(list)
	slices.Sort(list)
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	n := len(list)
	return Value{
		Unit: unit, Median: (list[(n-1)/2] + list[n/2]) / 2, Worst: list[n-1], Mean: sum / float64(n), Count: n,
	}
}

// Write writes a run to its file in a folder, whole or not at all.
func Write(dir string, r *Run) error {
	r.Form = Form
	if err := r.check(); err != nil {
		return err
	}
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file := filepath.Join(dir, r.Name+".json")
	if err := os.WriteFile(file+".new", append(b, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// Read reads one run.
func Read(file string) (*Run, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := new(Run)
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if r.Form != Form {
		return nil, fmt.Errorf("%s: form %d, this program reads %d", file, r.Form, Form)
	}
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if want := strings.TrimSuffix(filepath.Base(file), ".json"); r.Name != want {
		return nil, fmt.Errorf("%s: holds the run %q", file, r.Name)
	}
	return r, nil
}

// ReadAll reads all runs of a folder, by name. A folder that is not there holds none.
func ReadAll(dir string) (map[string]*Run, error) {
	files, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return map[string]*Run{}, nil
	}
	if err != nil {
		return nil, err
	}
	runs := map[string]*Run{}
	for _, f := range files {
		if filepath.Ext(f.Name()) != ".json" {
			continue
		}
		r, err := Read(filepath.Join(dir, f.Name()))
		if err != nil {
			return nil, err
		}
		runs[r.Name] = r
	}
	return runs, nil
}

func (r *Run) check() error {
	if r.Name == "" || r.Name != filepath.Base(r.Name) || strings.HasPrefix(r.Name, ".") {
		return fmt.Errorf("a run's name %q is no file's name", r.Name)
	}
	if r.Sweep == "" {
		return fmt.Errorf("run %s: sweep is missing", r.Name)
	}
	for _, p := range r.Points {
		for role, v := range p.Roles {
			for metric, x := range v.Values {
				if x.Unit == "" {
					return fmt.Errorf("run %s, size %g: %s of %s has no unit", r.Name, p.Size, metric, role)
				}
			}
		}
	}
	return nil
}

// Series returns a metric of a role over sizes, in order of size; the statistic is "median", "worst" or "mean".
func (r *Run) Series(role, metric, statistic string) (size, value []float64, unit string) {
	points := slices.Clone(r.Points)
	slices.SortStableFunc(points, func(a, b Point) int {
		switch {
		case a.Size < b.Size:
			return -1
		case a.Size > b.Size:
			return 1
		}
		return 0
	})
	for _, p := range points {
		v, ok := p.Roles[role].Values[metric]
		if !ok {
			continue
		}
		y := v.Median
		switch statistic {
		case "worst":
			y = v.Worst
		case "mean":
			y = v.Mean
		}
		size, value, unit = append(size, p.Size), append(value, y), v.Unit
	}
	return size, value, unit
}
