package chaos

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"swiftdeal/internal/testing/fake"
)

// writeConfig writes a node's configuration and fleet file, and returns the environment and arguments of its process.
func (f *Cluster) writeConfig(n *node) (env []string, args []string, err error) {
	dir := filepath.Join(f.dir, fmt.Sprintf("%s-%d", f.nodeName(n.index), n.starts))
	tmp := filepath.Join(f.dir, f.nodeName(n.index)+".tmp")
	for _, d := range []string{dir, tmp} {
		if err := os.MkdirAll(d, 0o755); err != nil {
			return nil, nil, err
		}
	}
	text, err := json.MarshalIndent(f.nodeFile(n), "", " ")
	if err != nil {
		return nil, nil, err
	}
	nodePath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(nodePath, text, 0o644); err != nil {
		return nil, nil, err
	}
	fleetPath := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(fleetPath, f.fleetFile(n), 0o644); err != nil {
		return nil, nil, err
	}
	env = []string{
		"GW_CONFIG=" + nodePath,
		"TMPDIR=" + tmp,
		"PATH=" + os.Getenv("PATH"),
		"GOTRACEBACK=all",
	}
	args = []string{"serve", "--log-level", "debug", "--log-form", "json", "--fleet", fleetPath}
	return env, args, nil
}

// nodeFile returns the content of a node's configuration file.
func (f *Cluster) nodeFile(n *node) map[string]any {
	settings := f.nodeSettings(n)
	if n.alterSettings != nil {
		n.alterSettings(settings)
	}
	return map[string]any{
		"name":      f.nodeName(n.index),
		"listen":    f.block.clientsAddr(n.index),
		"control":   f.block.controlAddr(n.index, n.starts),
		"discovery": f.block.discoveryAddr(n.index),
		"seed":      fmt.Sprintf("%x", f.plan.Seed),
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512},
		"known":     json.RawMessage(f.knownWorkers(n)),
		"settings":  settings,
	}
}

// knownWorkers returns the endpoint list in a node's file: empty, or an outdated one with the first half of the workers, all in
// service.
func (f *Cluster) knownWorkers(n *node) []byte {
	list := []fake.Entry{}
	if !n.oldWorkerList {
		return fake.ListMessage(0, true, list)
	}
	for w, s := range f.workers[:len(f.workers)/2] {
		e := s.entry
		e.State = "in_service"
		e.Addr = f.block.workerAddr(n.index, w)
		list = append(list, e)
	}
	return fake.ListMessage(1, true, list)
}

// nodeSettings returns the settings in a node's file.
func (f *Cluster) nodeSettings(n *node) map[string]any {
	var profiles []map[string]any
	for _, c := range classes {
		profiles = append(profiles, c.settingsProfile())
	}
	return map[string]any{
		"az":        n.site,
		"balancers": f.plan.Nodes,
		"me":        n.index,
		"discovery": "on_request",
		"stepMs":    1,
		"familyInfo": map[string]any{
			"reportX0":   "free slots",
			"reportX1":   "free memory",
			"tellsStart": true,
			"progressMs": 1000,
			"queueOrder": "fifo",
		},
		"limits": map[string]any{
			"cancelling":      true,
			"probing":         true,
			"parallelTries":   true,
			"retryAfter":      true,
			"maxRetryAfterMs": 2000,
			"connIdleMs":      60000,
			"dialTimeoutMs":   250,
			"maxAttempts":     4,
		},
		"loadReport": map[string]any{"fields": []string{"tps", "concurrent", "x0", "x1"}, "how": "pull"},
		"obligations": map[string]any{
			"coldFrom":      0.13,
			"coldMs":        workerWarmUp.Milliseconds(),
			"fallMultiple":  3,
			"overloadForMs": 3000,
		},
		"prices":   map[string]any{"crossZone": 0.029, "waste": 0.04, "lateFail": 0.08, "probe": 0.002},
		"profiles": profiles,
	}
}

// fleetFile returns the content of a node's fleet file.
func (f *Cluster) fleetFile(n *node) []byte {
	var b bytes.Buffer
	name := f.nodeName(n.index)
	if n.duplicate {
		name = f.nodeName(n.duplicateOf)
	}
	fmt.Fprintf(
		&b,
		"[fleet]\nname = %q\n[member]\nname = %q\nsite = %q\nlisten = %q\nadvertise = %q\n",
		fleetName,
		name,
		n.site,
		f.block.gossipAddr(n.index),
		f.block.relayAddr(n.index),
	)
	seeds := []string{}
	for _, j := range f.seedsOf(n.index) {
		seeds = append(seeds, fmt.Sprintf("%q", f.block.relayAddr(j)))
	}
	fmt.Fprintf(
		&b,
		"[view]\nseeds = [%s]\nallow = [\"127.%d.%d.0/24\"]\nperiod_ms = %d\n",
		strings.Join(seeds, ", "),
		f.block.First,
		f.block.Second,
		int(f.plan.PeriodMs),
	)
	if f.plan.ForgetS > 0 {
		fmt.Fprintf(&b, "forget_s = %d\n", int(f.plan.ForgetS))
	}
	fmt.Fprintf(&b, "facts = %v\n", !f.plan.NoObservations)
	if text := f.controlPlaneConfig(); text != "" && !n.duplicate {
		b.WriteString(strings.Replace(text, `"DIR"`, fmt.Sprintf("%q", filepath.Join(f.dir, name+".council")), 1))
	}
	if f.plan.Settings && !n.duplicate && !n.noFleetSettings {
		// The wait is so long that a node accepts clients without the fleet's settings only after a real failure.
		b.WriteString("[settings]\nwait_ms = 30000\n")
	}
	for _, x := range f.options.Extra {
		b.WriteString(x + "\n")
	}
	return b.Bytes()
}

// seedsOf returns the nodes that are seeds in a node's fleet file.
func (f *Cluster) seedsOf(i int) (list []int) {
	switch f.plan.SeedTopology {
	case "ring":
		return []int{(i + 1) % f.plan.Nodes}
	case "all":
		for j := range f.plan.Nodes {
			list = append(list, j)
		}
		return list
	}
	return []int{0, min(1, f.plan.Nodes-1), min(2, f.plan.Nodes-1)}
}

// siteName returns the name of a site by its index.
func siteName(i int) string { return []string{"jakarta", "surabaya", "medan", "makassar"}[i] }
