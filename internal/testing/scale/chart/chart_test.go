package chart

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"swiftdeal/internal/testing/scale/record"
)

func run(sizes ...float64) *record.Run {
	r := &record.Run{Name: "members", Sweep: "members"}
	for _, n := range sizes {
		r.Points = append(r.Points, record.Point{Size: n, Roles: map[string]record.Role{"hollow": {Values: map[string]record.Value{
			"cpu_core":          record.Over("core", []float64{n / 1e5, n / 9e4}),
			"sent_bytes_s:ping": record.Over("B/s", []float64{600}), "sent_bytes_s:sync": record.Over("B/s", []float64{n}),
		}}}})
	}
	return r
}

// The same run always gives the same plots, byte for byte. Plots that no longer have a run are removed, and a run of one size has none.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "gone-x.svg"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	n, err := Write(dir, map[string]*record.Run{"members": run(32, 64, 128), "one": {Name: "one", Sweep: "members", Points: run(32).Points},
		"faults-x": {Name: "faults-x", Sweep: "phase", Points: run(0, 1, 2).Points}})
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || n != 2 || len(files) != 2 || filepath.Base(files[0]) != "members-cpu_core.svg" || filepath.Base(files[1]) != "members-sent_bytes_s-hollow-kinds.svg" {
		t.Fatalf("%d, %v, %v", n, err, files)
	}
	again, err := Draw(run(32, 64, 128))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil || !bytes.Equal(b, again[filepath.Base(f)]) || len(b) > 40_000 {
			t.Errorf("%s: %v, %d bytes, differs", f, err, len(b))
		}
	}
}
