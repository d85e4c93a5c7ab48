package cost

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
)

// Limits on how far a count may exceed its baseline: by the share Tolerance, and allocations also by at most AllocationSlack
// objects per request. Allocation counts repeat to a few tenths, so this detects a single added allocation.
const (
	Tolerance       = 0.05
	AllocationSlack = 0.7
)

// Baseline is a set of counts recorded in a file.
type Baseline struct {
	Go      string    `json:"go"`   // the Go version; allocations differ between versions
	Arch    string    `json:"arch"` // GOOS/GOARCH
	Figures []Figures `json:"figures"`
}

// Finding is a count that differs from the baseline by more than the tolerance.
type Finding struct {
	Case, Figure       string
	Baseline, Measured float64
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	return fmt.Sprintf(
		"%s: %s: %.1f -> %.1f (%+.1f%%)",
		f.Case,
		f.Figure,
		f.Baseline,
		f.Measured,
		100*(f.Measured/f.Baseline-1),
	)
}

const allocations = "allocations"

// Compare returns the counts that are higher than the baseline's by more than the tolerance, and those that are lower by more
// than it. A case that only one of the two sets has is an error.
func Compare(old Baseline, now []Figures) (worse, better []Finding, err error) {
	recorded := map[string]Figures{}
	for _, f := range old.Figures {
		recorded[f.Case] = f
	}
	for _, f := range now {
		o, ok := recorded[f.Case]
		if !ok {
			return nil, nil, fmt.Errorf("%s: not in the baseline", f.Case)
		}
		delete(recorded, f.Case)
		for _, p := range []struct {
			name     string
			old, new float64
		}{{allocations, o.Allocs, f.Allocs}, {"bytes", o.Bytes, f.Bytes}, {"system calls", o.Calls, f.Calls}} {
			switch finding := (Finding{f.Case, p.name, p.old, p.new}); {
			case p.new > p.old*(1+Tolerance), p.name == allocations && p.new > p.old+AllocationSlack:
				worse = append(worse, finding)
			case p.new < p.old*(1-Tolerance):
				better = append(better, finding)
			}
		}
	}
	for name := range recorded {
		return nil, nil, fmt.Errorf("%s: in the baseline, but not measured", name)
	}
	return worse, better, nil
}

// Report measures all cases with the given program and prints them as a table. It compares them with the baseline in the file
// check and writes them to the file record; an empty file name skips that step.
func Report(program string, out io.Writer, check, record string) error {
	var base Baseline
	if check != "" {
		if err := base.read(check); err != nil {
			return err
		}
	}
	now, err := measureAll(program, out)
	if err != nil {
		return err
	}
	measured := Baseline{Go: runtime.Version(), Arch: runtime.GOOS + "/" + runtime.GOARCH, Figures: now}
	if record != "" {
		if err := measured.write(record); err != nil {
			return err
		}
	}
	if check == "" {
		return nil
	}
	return base.check(&measured, out, "to record anew: swiftdeal cost --record "+check)
}

// read loads the baseline from a file.
func (b *Baseline) read(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, b); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// write stores the baseline in a file.
func (b *Baseline) write(path string) error {
	text, err := json.MarshalIndent(b, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// measureAll measures all cases with the given program and prints each as a row of a table.
func measureAll(program string, out io.Writer) ([]Figures, error) {
	fmt.Fprintln(out, "| case | allocations | bytes | calls | reads | waits |\n| --- | --- | --- | --- | --- | --- |")
	return Measure(program, Cases(), func(f Figures) {
		fmt.Fprintf(
			out, "| %s | %.1f | %.0f | %.1f | %.1f | %.1f |\n", f.Case, f.Allocs, f.Bytes, f.Calls, f.Reads,
			f.Waits,
		)
	})
}

// check compares the measured counts with the baseline. It prints improvements and returns regressions as an error. Counts of
// another Go version or platform are not compared. advice tells the user how to record a new baseline.
func (b *Baseline) check(measured *Baseline, out io.Writer, advice string) error {
	if b.Go != measured.Go || b.Arch != measured.Arch {
		fmt.Fprintf(
			out,
			"the baseline is of %s on %s, this is %s on %s: not compared; %s\n",
			b.Go,
			b.Arch,
			measured.Go,
			measured.Arch,
			advice,
		)
		return nil
	}
	worse, better, err := Compare(*b, measured.Figures)
	if err != nil {
		return fmt.Errorf("%w; %s", err, advice)
	}
	for _, f := range better {
		fmt.Fprintln(out, "better:", f)
	}
	if len(better) > 0 {
		fmt.Fprintln(out, advice)
	}
	if len(worse) > 0 {
		var lines []string
		for _, f := range worse {
			lines = append(lines, f.String())
		}
		return fmt.Errorf("dearer than the baseline:\n%s\n%s", strings.Join(lines, "\n"), advice)
	}
	return nil
}
