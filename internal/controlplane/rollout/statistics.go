package rollout

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// binomialTail returns the probability of k or more successes in n trials that each succeed with probability p.
func binomialTail(k, n int64, p float64) float64 {
	switch {
	case k <= 0:
		return 1
	case n <= 0 || p <= 0:
		return 0
	}
	distribution := distuv.Binomial{N: float64(n), P: p}
	return max(0, 1-distribution.CDF(float64(k-1)))
}

// proportionPValue tests whether k of n is a larger proportion than referenceK of referenceN. It returns the probability of a
// difference at least this large if the underlying proportions are equal. Given the total k+referenceK, each event falls into the
// first sample with probability n/(n+referenceN). The binomial distribution has heavier tails than the exact one, so the stated
// error bound holds.
func proportionPValue(k, n, referenceK, referenceN int64) float64 {
	if n <= 0 || referenceN <= 0 {
		return 1
	}
	return binomialTail(k, k+referenceK, float64(n)/float64(n+referenceN))
}

// minOtherSeconds keeps the success probability of the binomial test below 1 if no other node was in service.
const minOtherSeconds = 1e-9

// crashPValue tests whether updated nodes crash more often than others, given the time for which each group was in service.
func crashPValue(updated, others int, updatedSeconds, otherSeconds float64) float64 {
	if updated == 0 || updatedSeconds <= 0 {
		return 1
	}
	share := updatedSeconds / (updatedSeconds + max(otherSeconds, minOtherSeconds))
	return binomialTail(int64(updated), int64(updated+others), share)
}

// Bounds that keep shares away from 0 and 1, where the normal approximation of sampleSize is invalid.
const (
	minShare        = 0.005
	maxShare        = 0.95
	maxShiftedShare = 0.99
)

// sampleSize assumes a significance level of Alpha/sampleAlphaDivisor for a single comparison, since evaluate divides Alpha among
// classes, measures, references and evaluations.
const sampleAlphaDivisor = 10

// sampleSize returns the number of requests at updated nodes that are needed to detect a share that exceeds the reference's share
// by MinDifference, with the power of the gate. n and referenceN are the numbers of requests so far.
func (g *Gate) sampleSize(share float64, n, referenceN int64) int64 {
	p1 := min(max(share, minShare), maxShare)
	p2 := min(max(share, minShare)+g.MinDifference, maxShiftedShare)
	ratio := 1.0
	if referenceN > 0 && n > 0 {
		ratio = min(1, float64(n)/float64(referenceN)) // a large reference adds little error of its own
	}
	normal := distuv.UnitNormal
	z := normal.Quantile(1-g.Alpha/sampleAlphaDivisor) + normal.Quantile(g.Power)
	return int64(math.Ceil(z * z * (p2*(1-p2) + ratio*p1*(1-p1)) / (g.MinDifference * g.MinDifference)))
}
