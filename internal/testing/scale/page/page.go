// Package page writes the tables of docs/CAPACITY.md from the recorded runs, between markers, so that no figure stands there
// without its run, and tells whether the page is as the runs have it.
package page

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"swiftdeal/internal/testing/scale/record"
)

// File and Dir are where the page and its runs are, from the root.
const (
	File = "docs/CAPACITY.md"
	Dir  = "bench/scale"
)

// Fill puts each table between its markers: "<!-- scale:NAME -->" and "<!-- /scale:NAME -->", each alone on a line. A marker
// that is unknown, left open or there twice is an error, and so is a table without its marker: it would be left out unseen.
func Fill(text string, tables map[string]string) (string, error) {
	var out strings.Builder
	open, seen := "", map[string]bool{}
	for i, line := range strings.SplitAfter(text, "\n") {
		name, ends, ok := marker(line)
		switch {
		case !ok:
			if open == "" {
				out.WriteString(line)
			}
			continue
		case ends && name != open:
			return "", fmt.Errorf("line %d: the marker of %q ends, but %q is open", i+1, name, open)
		case ends:
			open = ""
		case open != "":
			return "", fmt.Errorf("line %d: %q begins within %q", i+1, name, open)
		case seen[name]:
			return "", fmt.Errorf("line %d: %q is there twice", i+1, name)
		default:
			table, ok := tables[name]
			if !ok {
				return "", fmt.Errorf("line %d: there is no table %q", i+1, name)
			}
			open, seen[name] = name, true
			out.WriteString(line)
			out.WriteString("\n" + strings.TrimSpace(table) + "\n\n")
			continue
		}
		out.WriteString(line)
	}
	if open != "" {
		return "", fmt.Errorf("%q does not end", open)
	}
	var missing []string
	for name := range tables {
		if !seen[name] {
			missing = append(missing, name)
		}
	}
	if slices.Sort(missing); len(missing) > 0 {
		return "", fmt.Errorf("no marker for %s", strings.Join(missing, ", "))
	}
	return out.String(), nil
}

// marker reads a line that is one.
func marker(line string) (name string, ends, ok bool) {
	s, ok := strings.CutPrefix(strings.TrimSpace(line), "<!-- ")
	if !ok {
		return "", false, false
	}
	if s, ok = strings.CutSuffix(s, " -->"); !ok {
		return "", false, false
	}
	s, ends = strings.CutPrefix(s, "/")
	name, ok = strings.CutPrefix(s, "scale:")
	return name, ends, ok
}

// Render reads the runs and the page, and returns the page as it is and as it has to be.
func Render(file, dir string) (is, want string, err error) {
	runs, err := record.ReadAll(dir)
	if err != nil {
		return "", "", err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", "", err
	}
	tables, err := Tables(runs)
	if err != nil {
		return "", "", fmt.Errorf("%s: %w", dir, err)
	}
	if want, err = Fill(string(text), tables); err != nil {
		return "", "", fmt.Errorf("%s: %w", file, err)
	}
	return string(text), want, nil
}

// Write brings the page in line with the runs.
func Write(file, dir string) error {
	is, want, err := Render(file, dir)
	if err != nil || is == want {
		return err
	}
	tmp := filepath.Join(filepath.Dir(file), ".new-"+filepath.Base(file))
	if err := os.WriteFile(tmp, []byte(want), 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, file)
}

// ErrDiffers is what Check returns for a page that is not as the runs have it.
var ErrDiffers = errors.New("differs from the recorded runs; write it with `go run ./tools/scale page`")

// Check holds the page against the runs and names the first line that differs.
func Check(file, dir string) error {
	is, want, err := Render(file, dir)
	if err != nil || is == want {
		return err
	}
	a, b := bytes.Split([]byte(is), []byte("\n")), bytes.Split([]byte(want), []byte("\n"))
	i := 0
	for i < len(a) && i < len(b) && bytes.Equal(a[i], b[i]) {
		i++
	}
	line := func(l [][]byte) string {
		if i < len(l) {
			return string(l[i])
		}
		return "(end)"
	}
	return fmt.Errorf("%s:%d: %w\n is   %s\n want %s", file, i+1, ErrDiffers, line(a), line(b))
}
