package fit

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the probability with which a further measurement is within the spread of Predict.
const confidence = 0.95

// Predict returns the value at size n. The spread is half the width of the 95 % prediction interval of one further measurement,
// if the residuals are noise; it is NaN if there are no more points than parameters.
func (c *Curve) Predict(n float64) (value, spread float64) {
	value = c.evaluate(n)
	degreesOfFreedom := c.points - c.Form.parameters()
	if degreesOfFreedom < 1 {
		return value, math.NaN()
	}
	scale := c.scale(value)
	ratio := float64(c.points) / float64(degreesOfFreedom)
	deviation := c.RelativeRMSError * math.Sqrt(ratio*(scale*scale+c.leverage(n)))
	distribution := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(degreesOfFreedom)}
	return value, deviation * distribution.Quantile((1+confidence)/2)
}

// Range and steps of the search for the size at which a limit is reached.
const (
	minSearchedSize = 1.0
	maxSearchedSize = 1e9
	searchSteps     = 200
)

// SizeAtLimit returns the size at which the value reaches a limit: 0 if it exceeds the limit from the start, infinity if it never
// reaches it.
func (c *Curve) SizeAtLimit(limit float64) float64 {
	low, high := minSearchedSize, maxSearchedSize
	switch {
	case c.evaluate(low) >= limit:
		return 0
	case c.evaluate(high) < limit:
		return math.Inf(1)
	}
	for range searchSteps {
		if middle := (low + high) / 2; c.evaluate(middle) >= limit {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
