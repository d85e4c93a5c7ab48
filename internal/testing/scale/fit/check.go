package fit

import (
	"math"
	"slices"
)

// Verdict is the result of a check of a curve.
type Verdict int

// Verdicts.
const (
	TooFew Verdict = iota // there are too few small sizes for a check
	Holds
	Failed
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"too few points", "holds", "failed"}[v] }

// Check is the result of predicting the largest size from the small ones.
type Check struct {
	Verdict             Verdict
	Form                Form
	FormGiven           bool      // there were too few small sizes to choose a form: the form of all sizes was used
	Sizes               []float64 // the small sizes
	Largest             float64
	Measured, Predicted float64 // at the largest size
	Error               float64 // relative error of the prediction
}

// smallSizeDivisor is the ratio of the largest size to the largest of the small ones.
const smallSizeDivisor = 4

// CheckExtrapolation predicts the value at the largest size from the sizes of at most a quarter of it. The small sizes also choose
// the form, so that the prediction uses nothing of the largest size. If there are only two of them, the form of all sizes is used;
// with fewer, there is no check, and the curve must not be used.
func CheckExtrapolation(size, value []float64, formOfAll Form) Check {
	if checkMeasurements(size, value) != nil || len(size) == 0 {
		return Check{}
	}
	c := Check{Largest: slices.Max(size), Form: formOfAll}
	var smallSizes, smallValues, largestValues []float64
	for i, n := range size {
		if n <= c.Largest/smallSizeDivisor {
			smallSizes, smallValues = append(smallSizes, n), append(smallValues, value[i])
		} else if n == c.Largest {
			largestValues = append(largestValues, value[i])
		}
	}
	for _, v := range largestValues {
		c.Measured += v / float64(len(largestValues))
	}
	c.Sizes = distinct(smallSizes)
	curve, err := c.fitSmallSizes(smallSizes, smallValues)
	if curve == nil || err != nil {
		return c
	}
	c.Form, c.Predicted = curve.Form, curve.evaluate(c.Largest)
	c.Error = Difference(c.Predicted, c.Measured)
	c.Verdict = Holds
	if !(math.Abs(c.Error) <= MaxPredictionError) {
		c.Verdict = Failed
	}
	return c
}

// fitSmallSizes fits a curve to the small sizes. It returns nil if there are too few of them.
func (c *Check) fitSmallSizes(size, value []float64) (*Curve, error) {
	switch {
	case len(c.Sizes) >= minSizes:
		return Fit(size, value)
	case len(c.Sizes) == minSizes-1:
		c.FormGiven = true
		return OfForm(c.Form, size, value)
	}
	return nil, nil
}

// Difference returns the difference of a value from a reference, as a share of the reference.
func Difference(value, reference float64) float64 {
	if value == reference {
		return 0
	}
	return (value - reference) / math.Abs(reference)
}
