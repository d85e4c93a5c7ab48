// Package config loads and validates a node's configuration and fills in defaults. It reads the GW_ environment variables
// and the file that GW_CONFIG names (file.go, discovery.go), derives resource limits and timeouts from them (limits.go), and reads the
// fleet file (fleet.go, fleet_file.go), settings for a whole fleet (overlay.go) and rollout plans (plan.go). Errors name the
// faulty key, and the file and line where those are known (errors.go).
package config

import (
	"fmt"
	"reflect"
	"slices"

	"swiftdeal/balance"
	"swiftdeal/internal/settings"
)

// Config is the validated configuration of a node, with defaults filled in. It is immutable once loaded, except for Fleet
// and ProgramVersion, which the program sets.
type Config struct {
	Name            string
	Listen          string // address for client connections
	Control         string // address for operators' calls; empty: no control listener
	Discovery       DiscoveryAddresses
	Seed            uint64
	CachedEndpoints EndpointList // last endpoint list known to this node, possibly stale
	Settings        settings.Settings
	Limits          Limits
	Fleet           *Fleet // nil: the node is not a member of a fleet
	ProgramVersion  string

	fileText       []byte          // the file that the configuration was read from
	settingsText   []byte          // the settings, in JSON, before parsing
	platformLimits platformLimits  // the file's resource limits, before defaults
	usedKeys       map[string]bool // paths, in lower case, of the keys present that are read; see collectKeys
}

// SettingsText returns the settings as given, in JSON.
func (c *Config) SettingsText() []byte { return c.settingsText }

// FileText returns the text of the file that the configuration was read from.
func (c *Config) FileText() []byte { return c.fileText }

// NeedsRestart returns the keys whose values differ in next and that take effect only after a restart. It leaves out
// discovery, which is applied without one, and known, because the node already holds a newer list.
func (c *Config) NeedsRestart(next *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"control", c.Control == next.Control},
		{"seed", c.Seed == next.Seed},
		{"settings", !c.Settings.NeedsRestart(next.Settings)},
		{"limits", c.platformLimits == next.platformLimits},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// DescribeChanges describes what takes effect at once when a node that runs with this configuration reloads next.
func (c *Config) DescribeChanges(next *Config) (changes []string) {
	if from, to := c.Discovery.Preferred(), next.Discovery.Preferred(); from != to {
		changes = append(changes, fmt.Sprintf("discovery is %s, was %s", to, from))
	}
	before, after := c.Settings.Balance, next.Settings.Balance
	changes = append(changes, describeClassChanges(before.Classes, after.Classes)...)
	if before.MaxAttempts != after.MaxAttempts {
		changes = append(changes,
			fmt.Sprintf("maxAttempts is %d, was %d, for jobs that come from then on", after.MaxAttempts, before.MaxAttempts))
	}
	if !reflect.DeepEqual(before, withoutDescribedChanges(after, before)) {
		changes = append(changes, "what is allowed, prices or obligations change")
	}
	if c.Limits.OpenRequests != next.Limits.OpenRequests {
		changes = append(changes, fmt.Sprintf("open requests: %d at most, were %d", next.Limits.OpenRequests, c.Limits.OpenRequests))
	}
	return changes
}

// describeClassChanges describes the classes that are added, changed and dropped.
func describeClassChanges(before, after []balance.Class) (changes []string) {
	for _, class := range after {
		i := indexOfClass(before, class.Name)
		if i < 0 {
			changes = append(changes, fmt.Sprintf("class %s is added", class.Name))
		} else if before[i] != class {
			changes = append(changes, fmt.Sprintf("class %s changes for jobs that come from then on", class.Name))
		}
	}
	for _, class := range before {
		if indexOfClass(after, class.Name) < 0 {
			changes = append(changes, fmt.Sprintf("class %s is dropped: jobs that are open end under it, new ones get 404", class.Name))
		}
	}
	return changes
}

func indexOfClass(classes []balance.Class, name string) int {
	return slices.IndexFunc(classes, func(c balance.Class) bool { return c.Name == name })
}

// withoutDescribedChanges returns after with two groups of fields reset to before: those that DescribeChanges reports
// individually, and those that only a restart changes.
func withoutDescribedChanges(after, before balance.Settings) balance.Settings {
	after.Classes, after.MaxAttempts = before.Classes, before.MaxAttempts
	after.Balancers, after.Index, after.Zone = before.Balancers, before.Index, before.Zone
	after.DialTimeout, after.MinEventInterval = before.DialTimeout, before.MinEventInterval
	return after
}
