package balance

import (
	"fmt"
	"time"
)

// Idempotency says whether a job may run more than once.
type Idempotency int

// Idempotency of a class.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // a group of workers deduplicates by key, for a limited time
	NotIdempotent                        // must never run twice
)

// KeyScope is the group of workers that deduplicates requests by idempotency key.
type KeyScope int

// Scopes of an idempotency key.
const (
	AllWorkers KeyScope = iota
	SameZone
	SameCell
)

// Class describes one class of requests.
type Class struct {
	Name string `json:"Name"`
	// LatencyObjective is the time within which an answer earns the full weight, extended by ObjectiveStretch
	// times the job's own run time.
	LatencyObjective time.Duration `json:"Aim"`
	Deadline         time.Duration `json:"Deadline"` // the client's total timeout, over all its retries
	ObjectiveStretch float64       `json:"Stretch"`
	PriorityWeight   float64       `json:"Worth"`
	LateWeight       float64       `json:"LateWorth"` // share of the weight that a late answer earns
	Idempotency      Idempotency   `json:"Effect"`
	// KeyScope and KeyWindow apply to IdempotentWithKey: which workers deduplicate by key, and for how long
	// after the first attempt that may have run.
	KeyScope   KeyScope      `json:"Scope"`
	KeyWindow  time.Duration `json:"Window"`
	WorkerKind string        `json:"Kind"` // the only kind of worker that runs this class; "" for any kind
}

// Settings configures a Balancer. A duration of zero means unknown unless stated otherwise.
type Settings struct {
	Balancers int    // number of balancers that share the workers, including this one
	Index     int    // index of this balancer among them, from 0
	Zone      string // zone of this balancer
	Classes   []Class

	MaxAttempts       int           // limit on the attempts of a request; 0 for no limit
	AllowCancel       bool          // CancelAttempt may be used
	AllowHealthChecks bool          // CheckHealth may be used
	AllowHedging      bool          // two attempts of one request may be in flight at once
	PollEndpoints     bool          // the endpoint list arrives only on request
	DialTimeout       time.Duration // a connection not established within this time has failed; 0: 250 ms
	MinEventInterval  time.Duration // the host's shortest time between events
	ReportsJobStart   bool          // workers send a notification when a job starts
	FIFOWorkers       bool          // a worker starts its jobs in order of arrival
	ReportsQueue      bool          // load reports include the number of requests waiting or in flight
	ProgressInterval  time.Duration // time between two progress notifications; 0 for none
	MaxRetryAfter     time.Duration // longest Retry-After of a rejection; 0: rejections have none

	SlowStartMinFactor float64       // least share of its full capacity that a worker has when it starts
	SlowStartDuration  time.Duration // time in which that share rises to 1; 0: no slow start
	OverloadMultiple   float64       // a warming worker fails when sent more than this times its capacity ...
	OverloadWindow     time.Duration // ... for this long
	CrossZoneCost      float64       // cost of an attempt across zones, as a share of a request's weight
	WastedWorkCost     float64       // cost of work whose result is not used; no decision uses it yet
	LateFailureCost    float64       // cost of weight unserved after its objective; no decision uses it yet
	HealthCheckCost    float64       // cost of one health check, as a share of a request's weight
}

// defaultDialTimeout applies if Settings.DialTimeout is zero.
const defaultDialTimeout = 250 * time.Millisecond

// SettingError is returned for an invalid setting.
type SettingError struct {
	Setting string // the setting's name in messages, such as "DialTimeout" or "Classes[2].Deadline"
	Problem string
}

// Error returns the name of the setting and the problem.
func (e *SettingError) Error() string {
	return "balance: " + e.Setting + ": " + e.Problem
}

// Validate returns a *SettingError for the first invalid setting.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return &SettingError{"Classes", "none given"}
	}
	for _, limit := range []struct {
		setting string
		value   float64
	}{
		{"DialTimeout", float64(s.DialTimeout)},
		{"Step", float64(s.MinEventInterval)},
		{"Progress", float64(s.ProgressInterval)},
		{"ColdFor", float64(s.SlowStartDuration)},
		{"FallAfter", float64(s.OverloadWindow)},
		{"ColdFrom", s.SlowStartMinFactor},
		{"FallMultiple", s.OverloadMultiple},
		{"PriceProbe", s.HealthCheckCost},
		{"Balancers", float64(s.Balancers)},
		{"MaxAttempts", float64(s.MaxAttempts)},
		{"RetryAfter", float64(s.MaxRetryAfter)},
	} {
		if !(limit.value >= 0) { // also catches NaN
			return &SettingError{limit.setting, fmt.Sprintf("%v is out of range", limit.value)}
		}
	}
	for i := range s.Classes {
		if name, problem := s.Classes[i].problem(); problem != "" {
			return &SettingError{fmt.Sprintf("Classes[%d].%s", i, name), problem}
		}
	}
	return nil
}

// problem returns the name of the first invalid setting of a class and what is wrong with it, or "" if all
// are valid.
func (c *Class) problem() (setting, problem string) {
	switch {
	case c.LatencyObjective < 0:
		return "Aim", "negative"
	case c.Deadline <= 0:
		return "Deadline", "not above zero"
	case c.KeyWindow < 0:
		return "Window", "negative"
	case c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
		return "Effect", "unknown"
	case c.KeyScope < AllWorkers || c.KeyScope > SameCell:
		return "Scope", "unknown"
	}
	return "", ""
}

// Reconfigure applies new settings, or returns a *SettingError and changes nothing. Classes must keep all
// earlier classes at their indexes; new ones are appended. Open requests keep the class and the attempt limit
// with which they were submitted. A new class inherits the estimates of an earlier class of the same name.
// Balancers, Index, Zone, PollEndpoints, DialTimeout and MinEventInterval keep their values.
func (b *Balancer) Reconfigure(now time.Duration, settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	old := b.settings
	if missing := len(old.Classes) - len(settings.Classes); missing > 0 {
		return &SettingError{"Classes", fmt.Sprintf("%d are missing", missing)}
	}
	b.now = now
	b.settings = settings
	b.settings.Balancers = old.Balancers
	b.settings.Index = old.Index
	b.settings.Zone = old.Zone
	b.settings.PollEndpoints = old.PollEndpoints
	b.settings.DialTimeout = old.DialTimeout
	b.settings.MinEventInterval = old.MinEventInterval
	for i := len(old.Classes); i < len(settings.Classes); i++ {
		b.jobs.addClass(&settings.Classes[i], old.Classes)
	}
	b.advance()
	return nil
}
