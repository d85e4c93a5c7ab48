package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"

	"swiftdeal/internal/testing/chaos"
	"swiftdeal/internal/testing/simulation/mutants"
)

// wallStepEnv is the environment variable with the offset, in seconds, of a process's wall clock from its start.
const wallStepEnv = "SOAK_WALL_STEP"

// Build builds the program with a wall clock that can be stepped: by wallStepEnv at the start, and by an hour forward at SIGUSR1 and
// back at SIGUSR2. The monotonic clock is not affected. Planted faults are built in as well.
func Build(dir, name string, planted ...mutants.Change) (string, error) {
	clock, err := clockFile()
	if err != nil {
		return "", err
	}
	const program = "cmd/swiftdeal/serve.go"
	changes := []mutants.Change{
		{File: clock, Original: "	mono -= startNano\n", Replacement: "	mono -= startNano\n	sec += WallStep\n"},
		{
			File:        clock,
			Original:    "var startNano int64 =",
			Replacement: "// WallStep is by how many seconds the wall clock is off.\nvar WallStep int64\n\nvar startNano int64 =",
		},
		{File: program, Original: "// serveCommand runs a node.\n", Replacement: fmt.Sprintf(`func init() {
	fmt.Sscan(os.Getenv(%q), &time.WallStep)
	steps := make(chan os.Signal, 8)
	signal.Notify(steps, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range steps {
			if s == syscall.SIGUSR1 {
				time.WallStep += 3600
			} else {
				time.WallStep -= 3600
			}
		}
	}()
}

// serveCommand runs a node.
`, wallStepEnv)},
	}
	return chaos.BuildWith(dir, name, append(changes, planted...)...)
}

// clockFile returns the path of the standard library's time.go, relative to the root of the repository.
func clockFile() (string, error) {
	root, err := chaos.Root()
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	return filepath.Rel(root, filepath.Join(strings.TrimSpace(string(out)), "src", "time", "time.go"))
}
