package rollout

import "fmt"

// Plan is a release as defined by an operator.
type Plan struct {
	Name            string   `cbor:"1,keyasint" json:"name"`
	Version         string   `cbor:"2,keyasint" json:"version"`
	FromVersion     string   `cbor:"3,keyasint" json:"from"`                      // the version that nodes are rolled back to
	Sites           []string `cbor:"4,keyasint,omitempty" json:"sites,omitempty"` // in update order
	CanarySize      int      `cbor:"5,keyasint" json:"canary"`
	BatchSizes      []int    `cbor:"6,keyasint,omitempty" json:"batches"` // after the canary; the last size repeats
	SoakMs          int64    `cbor:"7,keyasint" json:"soak_ms"`
	ReturnTimeoutMs int64    `cbor:"8,keyasint" json:"back_ms"` // the release halts if a node is out of service for longer
	AutoRollback    bool     `cbor:"9,keyasint,omitempty" json:"auto_back"`
	Handover        bool     `cbor:"10,keyasint,omitempty" json:"handover"` // processes are replaced by a handover, without a drain
	Priority        int      `cbor:"11,keyasint,omitempty" json:"priority"` // of the release's requests for grants
	Gate            Gate     `cbor:"12,keyasint" json:"gate"`
}

// Bounds of a plan.
const (
	maxNameBytes  = 64
	maxCanarySize = 1000
	maxBatchSizes = 32
	minSpanMs     = 100              // for SoakMs and ReturnTimeoutMs
	maxSoakMs     = 7 * 86400 * 1000 // a week
	maxReturnMs   = 86400 * 1000     // a day
)

// PlanError is an invalid value in a plan.
type PlanError struct {
	Key     string // as in the plan file, such as "release.canary"
	Problem error
}

// Error returns the key and the problem.
func (e *PlanError) Error() string { return e.Key + ": " + e.Problem.Error() }

// Unwrap returns the problem.
func (e *PlanError) Unwrap() error { return e.Problem }

func planError(key, format string, args ...any) *PlanError {
	return &PlanError{Key: key, Problem: fmt.Errorf(format, args...)}
}

// Validate returns a *PlanError for the first invalid value; nil if the plan is valid.
func (p *Plan) Validate() error {
	switch {
	case p.Name == "" || len(p.Name) > maxNameBytes:
		return planError("release.name", "missing, or longer than %d bytes", maxNameBytes)
	case p.Version == "":
		return planError("release.version", "missing")
	case p.FromVersion == "":
		return planError("release.from", "missing: the version that nodes go back to")
	case p.FromVersion == p.Version:
		return planError("release.from", "the same as release.version")
	case p.CanarySize < 1 || p.CanarySize > maxCanarySize:
		return planError("release.canary", "%d is out of range, 1 to %d", p.CanarySize, maxCanarySize)
	case len(p.BatchSizes) > maxBatchSizes:
		return planError("release.batches", "more than %d", maxBatchSizes)
	case p.SoakMs < minSpanMs || p.SoakMs > maxSoakMs:
		return planError("release.soak_s", "%g is out of range, 0.1 to 604800", float64(p.SoakMs)/1000)
	case p.ReturnTimeoutMs < minSpanMs || p.ReturnTimeoutMs > maxReturnMs:
		return planError("release.back_s", "%g is out of range, 0.1 to 86400", float64(p.ReturnTimeoutMs)/1000)
	}
	for i, size := range p.BatchSizes {
		if size < 1 || i > 0 && size < p.BatchSizes[i-1] {
			return planError("release.batches", "[%d]: %d is below 1, or smaller than the one before it", i, size)
		}
	}
	return p.Gate.validate()
}

// batchSize returns the number of nodes in a batch. Batch 0 is the canary.
func (p *Plan) batchSize(batch int) int {
	if batch == 0 {
		return p.CanarySize
	}
	if len(p.BatchSizes) == 0 {
		return max(1, p.CanarySize)
	}
	return p.BatchSizes[min(batch-1, len(p.BatchSizes)-1)]
}
