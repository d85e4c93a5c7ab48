//go:build !(linux && amd64)

package cost

import (
	"errors"
	"os/exec"
)

type tracer struct{}

// canTrace reports whether system calls can be counted on this platform.
const canTrace = false

func startTraced(*exec.Cmd) (*tracer, error) {
	return nil, errors.New("system calls are counted on linux/amd64 only")
}

func (*tracer) counts() map[string]int { return nil }
