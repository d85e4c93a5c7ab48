package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Host is what a run may use of a machine.
type Host struct {
	Cores  int
	Memory uint64 // bytes
}

// ThisHost is the machine that runs this.
func ThisHost() (h Host, err error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return h, err
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kib, _ := strconv.ParseUint(strings.Fields(v)[0], 10, 64)
			h.Memory = kib << 10
		}
	}
	if text, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil {
			h.Memory = min(h.Memory, n)
		}
	}
	if h.Memory == 0 {
		return h, fmt.Errorf("/proc/meminfo: no MemTotal")
	}
	return h, nil
}
