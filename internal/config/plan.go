package config

import (
	"errors"
	"fmt"

	"swiftdeal/internal/controlplane/rollout"
)

// Defaults of values that a rollout plan leaves out.
const (
	defaultCanarySize      = 1
	defaultSoakMs          = 60_000
	defaultReturnTimeoutMs = 120_000
)

// planFile is the TOML form of a rollout plan.
type planFile struct {
	Release struct {
		Name     string   `toml:"name"`
		Version  string   `toml:"version"`
		From     string   `toml:"from"`
		Sites    []string `toml:"sites"`
		Canary   int      `toml:"canary"`
		Batches  []int    `toml:"batches"`
		SoakS    float64  `toml:"soak_s"`
		BackS    float64  `toml:"back_s"`
		AutoBack bool     `toml:"auto_back"`
		Handover bool     `toml:"handover"`
		Priority int      `toml:"priority"`
	} `toml:"release"`
	Gate struct {
		Alpha float64 `toml:"alpha"`
		Power float64 `toml:"power"`
		Worse float64 `toml:"worse"`
	} `toml:"gate"`
}

// LoadPlan reads and validates a rollout plan. Errors name the file, the line and the key.
func LoadPlan(path string, open func(string) ([]byte, error)) (*rollout.Plan, error) {
	text, err := open(path)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	var f planFile
	if err := decodeStrict(path, text, &f); err != nil {
		return nil, err
	}
	plan := f.toPlan()
	var invalid *rollout.PlanError
	if err := plan.Validate(); errors.As(err, &invalid) {
		return nil, locateKey(path, text, keyError(invalid.Key, invalid.Problem))
	}
	return plan, nil
}

// toPlan converts the file to a rollout.Plan, with defaults for the values that it leaves out.
func (f *planFile) toPlan() *rollout.Plan {
	release, gate := f.Release, f.Gate
	plan := &rollout.Plan{
		Name: release.Name, Version: release.Version, FromVersion: release.From, Sites: release.Sites,
		CanarySize: max(release.Canary, 0), BatchSizes: release.Batches, SoakMs: int64(release.SoakS * 1000),
		ReturnTimeoutMs: int64(release.BackS * 1000), AutoRollback: release.AutoBack, Handover: release.Handover,
		Priority: release.Priority, Gate: rollout.Gate{Alpha: gate.Alpha, Power: gate.Power, MinDifference: gate.Worse},
	}
	if plan.CanarySize == 0 {
		plan.CanarySize = defaultCanarySize
	}
	if plan.SoakMs == 0 {
		plan.SoakMs = defaultSoakMs
	}
	if plan.ReturnTimeoutMs == 0 {
		plan.ReturnTimeoutMs = defaultReturnTimeoutMs
	}
	plan.Gate.SetDefaults()
	return plan
}
