package chaos

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"swiftdeal/internal/testing/simulation/mutants"
)

// Build builds the program into dir and returns the path of the binary. A version other than "" replaces the program's own.
func Build(dir, version string, args ...string) (string, error) {
	root, err := Root()
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "swiftdeal"+version)
	cmd := []string{"build", "-o", bin}
	if version != "" {
		cmd = append(cmd, "-ldflags", "-X main.version="+version)
	}
	c := exec.Command("go", append(append(cmd, args...), "swiftdeal/cmd/swiftdeal")...)
	c.Dir = root
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return bin, nil
}

// BuildWith builds the program with changes applied to its sources or to the standard library's through a build overlay: a
// build with a fault, or of another version.
func BuildWith(dir, version string, changes ...mutants.Change) (string, error) {
	root, err := Root()
	if err != nil {
		return "", err
	}
	overlayDir := filepath.Join(dir, "over-"+version)
	if err := os.MkdirAll(overlayDir, 0o755); err != nil {
		return "", err
	}
	m := mutants.Mutant{Name: version, Changes: changes}
	path, err := m.Overlay(root, overlayDir)
	if err != nil {
		return "", err
	}
	return Build(dir, version, "-overlay", path)
}

// ClockBack returns a change of the standard library that sets a process's wall clock back one hour once it has run for the
// given time.
func ClockBack(after time.Duration) (mutants.Change, error) {
	root, err := Root()
	if err != nil {
		return mutants.Change{}, err
	}
	out, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return mutants.Change{}, err
	}
	file, err := filepath.Rel(root, filepath.Join(strings.TrimSpace(string(out)), "src/time/time.go"))
	const old = "	mono -= startNano\n"
	return mutants.Change{
		File:        file,
		Original:    old,
		Replacement: fmt.Sprintf("%s	if mono > %d {\n		sec -= 3600\n	}\n", old, int64(after)),
	}, err
}

// Root returns the repository's root: the nearest folder, from the working folder upwards, that contains go.mod.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.mod above the working folder")
		}
		dir = parent
	}
}
