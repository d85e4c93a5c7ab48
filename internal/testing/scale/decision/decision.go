// Package decision records the costs of the decision module, the settings and the membership view in isolation: it runs the
// benchmarks of those packages and writes their output as scale runs.
package decision

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"swiftdeal/internal/testing/scale/record"
)

// benchmark is a benchmark whose cases are named SWEEP=SIZE/EVENT.
type benchmark struct{ pkg, name string }

// benchmarkSet is a run that is recorded from one or more benchmarks.
type benchmarkSet struct {
	run, sweep, role string
	benchmarks       []benchmark
	plan             map[string]float64 // the other parameters of the run
}

// The size that the fleet is planned for.
const (
	plannedWorkers = 670
	plannedRunning = 2500 // running jobs
	plannedTenants = 160
	plannedStarts  = 110 // a second
)

// sets lists the runs that are recorded.
var sets = []benchmarkSet{
	{
		run: "decision-workers", sweep: "workers", role: "decision",
		benchmarks: []benchmark{{"./balance", "BenchmarkWorkers"}},
		plan:       map[string]float64{"tenants": plannedTenants, "queue": 0, "nodes": 1},
	},
	{
		run: "decision-queue", sweep: "queue", role: "decision",
		benchmarks: []benchmark{{"./balance", "BenchmarkQueue"}},
		plan:       map[string]float64{"workers": plannedWorkers, "running": plannedRunning, "tenants": plannedTenants, "nodes": 1},
	},
	{
		run: "decision-running", sweep: "running", role: "decision",
		benchmarks: []benchmark{{"./balance", "BenchmarkRunning"}},
		plan:       map[string]float64{"workers": plannedWorkers, "queue": 0, "tenants": plannedTenants, "nodes": 1},
	},
	{
		run: "decision-tenants", sweep: "tenants", role: "decision",
		benchmarks: []benchmark{{"./balance", "BenchmarkTenants"}, {"./internal/settings", "BenchmarkTenants"}},
		plan:       map[string]float64{"workers": plannedWorkers, "running": plannedRunning, "queue": 0, "nodes": 1},
	},
	{
		run: "decision-second", sweep: "nodes", role: "decision",
		benchmarks: []benchmark{{"./balance", "BenchmarkSecond"}},
		plan: map[string]float64{
			"workers": plannedWorkers, "running": plannedRunning, "tenants": plannedTenants, "starts_s": plannedStarts,
		},
	},
	{
		run: "view-members", sweep: "members", role: "view",
		benchmarks: []benchmark{{"./internal/membership", "BenchmarkMembers"}},
	},
}

// Options are the options of Record.
type Options struct {
	Only      string        // the run to record; empty: all
	Benchtime time.Duration // of each benchmark
	Count     int           // runs of each benchmark
	Commit    string        // of the working tree
	Dirty     bool          // the working tree has uncommitted changes
	Out       string        // folder of the runs
	Print     io.Writer     // receives the output of the benchmarks
}

// Record runs the benchmarks, in the module's root folder, and writes a run for each set.
func Record(ctx context.Context, o Options) error {
	if o.Count < 1 {
		return errors.New("--count: less than 1")
	}
	if o.Benchtime <= 0 {
		return errors.New("--benchtime: not above 0")
	}
	found := false
	for i := range sets {
		if o.Only != "" && o.Only != sets[i].run {
			continue
		}
		found = true
		if err := sets[i].record(ctx, &o); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("--only: there is no run %q", o.Only)
	}
	return nil
}

// record runs the benchmarks of a set and writes its run.
func (s *benchmarkSet) record(ctx context.Context, o *Options) error {
	start := time.Now()
	var lines []Line
	for _, b := range s.benchmarks {
		measured, err := b.measure(ctx, o, s.sweep)
		if err != nil {
			return fmt.Errorf("%s of %s: %w", b.name, b.pkg, err)
		}
		lines = append(lines, measured...)
	}
	return record.Write(o.Out, &record.Run{
		Name:    s.run,
		Sweep:   s.sweep,
		At:      start.UTC().Truncate(time.Second),
		Commit:  o.Commit,
		Dirty:   o.Dirty,
		Points:  points(lines, s.role, s.plan, s.sweep),
		Machine: record.Machine{Cores: runtime.NumCPU(), MemoryBytes: machineMemory(), Go: runtime.Version()},
		Note: fmt.Sprintf(
			"benchmarks of %v each, %d times, %.0f s in all; one balancer alone, host costs not counted",
			o.Benchtime,
			o.Count,
			time.Since(start).Seconds(),
		),
	})
}

// measure runs a benchmark and parses its output.
func (b benchmark) measure(ctx context.Context, o *Options, sweep string) ([]Line, error) {
	command := exec.CommandContext(
		ctx, "go", "test", "-run", "^$", "-bench", "^"+b.name+"$", "-benchmem",
		"-benchtime", o.Benchtime.String(), "-count", strconv.Itoa(o.Count), b.pkg,
	)
	var out bytes.Buffer
	command.Stdout = io.MultiWriter(&out, o.Print)
	command.Stderr = o.Print
	if err := command.Run(); err != nil {
		return nil, err
	}
	return Parse(&out, sweep)
}

// Line is a line of benchmark output.
type Line struct {
	Size   float64
	Event  string
	Values map[string]float64 // by unit as printed: "ns/op", "B/op", "allocs/op" or a custom one
}

// minFields is the number of fields of a benchmark's line: name, iterations, and a value with its unit.
const minFields = 4

// Parse parses the output of benchmarks that are named BENCHMARK/SWEEP=SIZE/EVENT-PROCS.
func Parse(r io.Reader, sweep string) (lines []Line, err error) {
	for in := bufio.NewScanner(r); in.Scan(); {
		fields := strings.Fields(in.Text())
		if len(fields) < minFields || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		line, err := parseLine(fields, sweep)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return nil, errors.New("no line of a benchmark")
	}
	return lines, nil
}

// parseLine parses the fields of one line.
func parseLine(fields []string, sweep string) (line Line, err error) {
	parts := strings.Split(withoutProcs(fields[0]), "/")
	if len(parts) != 3 {
		return line, fmt.Errorf("%s: not named BENCHMARK/%s=SIZE/EVENT", fields[0], sweep)
	}
	key, size, _ := strings.Cut(parts[1], "=")
	line = Line{Event: parts[2], Values: map[string]float64{}}
	if line.Size, err = strconv.ParseFloat(size, 64); err != nil || key != sweep {
		return line, fmt.Errorf("%s: no size of %s", fields[0], sweep)
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return line, fmt.Errorf("%s: bad value %q", fields[0], fields[i])
		}
		line.Values[fields[i+1]] = value
	}
	return line, nil
}

// withoutProcs returns a benchmark's name without the number of processors that is appended to it.
func withoutProcs(name string) string {
	i := strings.LastIndexByte(name, '-')
	if i < 0 {
		return name
	}
	if _, err := strconv.Atoi(name[i+1:]); err != nil {
		return name
	}
	return name[:i]
}

// metricKey is a metric with its unit.
type metricKey struct{ name, unit string }

// metric returns the name and the unit under which a value of an event is recorded.
func metric(printed, event string) metricKey {
	switch printed {
	case "ns/op":
		return metricKey{"ns:" + event, "ns"}
	case "B/op":
		return metricKey{"bytes:" + event, "B"}
	case "allocs/op":
		return metricKey{"allocs:" + event, "allocs"}
	case "module-ns/op":
		return metricKey{"ns:module", "ns"}
	}
	printed = strings.TrimSuffix(printed, "/op")
	return metricKey{printed, printed}
}

// points returns a point for each size. The results of several runs of a benchmark are combined into one value.
func points(lines []Line, role string, plan map[string]float64, sweep string) (list []record.Point) {
	values := map[float64]map[metricKey][]float64{}
	for _, line := range lines {
		if values[line.Size] == nil {
			values[line.Size] = map[metricKey][]float64{}
		}
		for printed, value := range line.Values {
			key := metric(printed, line.Event)
			values[line.Size][key] = append(values[line.Size][key], value)
		}
	}
	for _, size := range slices.Sorted(maps.Keys(values)) {
		point := record.Point{Size: size, Plan: map[string]float64{sweep: size}, Roles: map[string]record.Role{}}
		maps.Copy(point.Plan, plan)
		if sweep == "workers" { // the number of running jobs grows with that of the workers
			point.Plan["running"] = float64(int(size) * plannedRunning / plannedWorkers)
		}
		results := record.Role{Members: 1, Values: map[string]record.Value{}}
		for key, list := range values[size] {
			results.Values[key.name] = record.Over(key.unit, list)
		}
		point.Roles[role] = results
		list = append(list, point)
	}
	return list
}

// machineMemory returns the machine's memory in bytes, 0 if it is not known.
func machineMemory() uint64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "MemTotal:" {
			kilobytes, _ := strconv.ParseUint(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
