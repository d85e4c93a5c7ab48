package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"swiftdeal/balance"
)

// Values and names in the settings that have a meaning here.
const (
	discoveryOnRequest = "on_request"
	reportsSilent      = "silent"
	queueOrderFIFO     = "fifo"
	meaningFreeSlots   = "free slots"
	meaningFreeMemory  = "free memory"
	fieldQueue         = "depth"
	fieldInFlight      = "concurrent"
)

var effectByName = map[string]balance.Idempotency{
	"retryable": balance.Idempotent, "dedup": balance.IdempotentWithKey, "fragile": balance.NotIdempotent,
}

var scopeByName = map[string]balance.KeyScope{
	"all": balance.AllWorkers, "zone": balance.SameZone, "cell": balance.SameCell, "": balance.AllWorkers,
}

// Parse parses the settings JSON. It checks names and the types of values; balance.Settings.Validate checks the values
// themselves.
func Parse(text []byte) (Settings, error) {
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		return Settings{}, DecodeError(err)
	}
	classes, err := d.classes()
	if err != nil {
		return Settings{}, err
	}
	balanceSettings := d.balanceSettings()
	balanceSettings.Classes = classes
	return Settings{
		Balance:         balanceSettings,
		ReportLayout:    newReportLayout(d.LoadReport.Fields, d.FamilyInfo.ReportX0, d.FamilyInfo.ReportX1),
		HasReports:      d.LoadReport.Mode != reportsSilent,
		ConnIdleTimeout: Milliseconds(d.Limits.ConnIdleTimeoutMs),
		MaxOpenRequests: d.Limits.MaxOpenRequests,
	}, nil
}

// balanceSettings returns the part of the settings for package balance, without the classes.
func (d *document) balanceSettings() balance.Settings {
	s := balance.Settings{
		Balancers: d.Balancers,
		Index:     d.Index,
		Zone:      d.Zone,

		MaxAttempts:       d.Limits.MaxAttempts,
		AllowCancel:       d.Limits.AllowCancel,
		AllowHealthChecks: d.Limits.AllowHealthChecks,
		AllowHedging:      d.Limits.AllowHedging,
		PollEndpoints:     d.Discovery == discoveryOnRequest,
		DialTimeout:       Milliseconds(d.Limits.DialTimeoutMs),
		MinEventInterval:  Milliseconds(d.MinEventIntervalMs),
		ReportsJobStart:   d.FamilyInfo.ReportsJobStart,
		FIFOWorkers:       d.FamilyInfo.QueueOrder == queueOrderFIFO,
		ProgressInterval:  Milliseconds(d.FamilyInfo.ProgressIntervalMs),

		SlowStartMinFactor: d.Obligations.SlowStartMinFactor,
		SlowStartDuration:  Milliseconds(d.Obligations.SlowStartMs),
		OverloadMultiple:   d.Obligations.OverloadMultiple,
		OverloadWindow:     Milliseconds(d.Obligations.OverloadWindowMs),

		CrossZoneCost:   d.Costs.CrossZone,
		WastedWorkCost:  d.Costs.WastedWork,
		LateFailureCost: d.Costs.LateFailure,
		HealthCheckCost: d.Costs.HealthCheck,
	}
	if d.Limits.RetryAfter {
		s.MaxRetryAfter = Milliseconds(d.Limits.MaxRetryAfterMs)
	}
	fields := d.LoadReport.Fields
	s.ReportsQueue = slices.Contains(fields, fieldQueue) || slices.Contains(fields, fieldInFlight)
	return s
}

// classes returns the classes, completed with the values that familyInfo lists by class index.
func (d *document) classes() ([]balance.Class, error) {
	var list []balance.Class
	for i := range d.Classes {
		class, err := d.Classes[i].class()
		if err != nil {
			return nil, fmt.Errorf("settings: profiles[%d].%w", i, err)
		}
		if stretches := d.FamilyInfo.ClassObjectiveStretch; i < len(stretches) {
			class.ObjectiveStretch = stretches[i]
		}
		if kinds := d.FamilyInfo.ClassWorkerKind; i < len(kinds) && kinds[i] >= 0 && kinds[i] < len(d.WorkerKinds) {
			class.WorkerKind = d.WorkerKinds[kinds[i]]
		}
		list = append(list, class)
	}
	return list, nil
}

// class converts a class. Errors name the key relative to the class.
func (c *classDocument) class() (balance.Class, error) {
	effect, err := parseName(effectByName, "effect", c.Idempotency)
	if err != nil {
		return balance.Class{}, &KeyError{"effect", fmt.Errorf("class %q: %w", c.Name, err)}
	}
	scope, err := parseName(scopeByName, "scope", c.KeyScope)
	if err != nil {
		return balance.Class{}, &KeyError{"dedupScope", fmt.Errorf("class %q: %w", c.Name, err)}
	}
	return balance.Class{
		Name:             c.Name,
		LatencyObjective: Milliseconds(c.LatencyObjectiveMs),
		ObjectiveStretch: c.ObjectiveStretch,
		Deadline:         Milliseconds(c.DeadlineMs),
		PriorityWeight:   c.PriorityWeight,
		LateWeight:       c.LateWeight,
		Idempotency:      effect,
		KeyScope:         scope,
		KeyWindow:        Milliseconds(c.KeyWindowMs),
	}, nil
}

const nanosecondsPerMs = 1e6

// Milliseconds converts milliseconds to a duration, rounded to the nearest nanosecond.
func Milliseconds(ms float64) time.Duration { return time.Duration(math.Round(ms * nanosecondsPerMs)) }

// ParseNumber parses a decimal or hexadecimal floating-point number and rejects NaN and infinities.
func ParseNumber(text []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("bad number %q", text)
	}
	return v, nil
}
