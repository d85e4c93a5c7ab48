package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"swiftdeal/internal/testing/fake"
)

// socketLimit is the configured limit of a node's sockets; its process may not hold more descriptors.
const socketLimit = 300

// config writes a node's configuration file.
func (f *Cluster) config(n *node) (path string, err error) {
	var profiles []map[string]any
	for _, c := range classes {
		profiles = append(
			profiles,
			map[string]any{
				"name":           c.name,
				"effect":         c.effect,
				"dedupScope":     c.scope,
				"aimMs":          c.latencyObjective,
				"deadlineMs":     c.deadline,
				"repeatWindowMs": c.window,
				"aimStretch":     1.0,
				"worth":          1,
			},
		)
	}
	text, err := json.Marshal(map[string]any{
		"name": f.name(n.index), "listen": f.clientAddr(n.index), "control": f.controlAddr(n.index, n.starts),
		"discovery": f.block.Addr(100+n.index, discoPort+n.discoveryIndex),
		"seed":      fmt.Sprintf("%x", f.plan.Seed),
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": socketLimit},
		"known":     json.RawMessage(fake.ListMessage(0, true, nil)),
		"settings": map[string]any{
			"az": "a", "balancers": f.plan.Nodes, "me": n.index, "discovery": "on_request", "stepMs": 1,
			"familyInfo": map[string]any{
				"reportX0":   "free slots",
				"reportX1":   "free memory",
				"tellsStart": true,
				"progressMs": 300,
				"queueOrder": "fifo",
			},
			"limits": map[string]any{
				"cancelling":      true,
				"probing":         true,
				"parallelTries":   true,
				"retryAfter":      true,
				"maxRetryAfterMs": 2000,
				"connIdleMs":      connIdleTime.Milliseconds(),
				"dialTimeoutMs":   250,
				"maxAttempts":     4,
			},
			"loadReport": map[string]any{"fields": []string{"tps", "concurrent", "x0", "x1"}, "how": "pull"},
			"obligations": map[string]any{
				"coldFrom":      coldFrom,
				"coldMs":        coldFor.Milliseconds(),
				"fallMultiple":  fallMultiple,
				"overloadForMs": fallAfter.Milliseconds(),
			},
			"prices":   map[string]any{"crossZone": 0.029, "waste": 0.04, "lateFail": 0.08, "probe": 0.0005},
			"profiles": profiles,
		},
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(f.options.Dir, f.name(n.index)+".json")
	return path, os.WriteFile(path, text, 0o644)
}
