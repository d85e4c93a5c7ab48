// Package fit fits growth curves to the measurements of scale runs, estimates how good they are, and extrapolates with them. A
// curve is not used for sizes that were not measured unless it predicts the largest measured size from sizes of at most a quarter
// of it (CheckExtrapolation).
package fit

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Form is how a value grows with size n.
type Form int

// Forms, the simplest first.
const (
	Constant Form = iota // a
	Linear               // a + b n
	NLogN                // a + b n log2 n
)

// String implements fmt.Stringer.
func (f Form) String() string { return [...]string{"constant", "linear", "n log n"}[f] }

// basis returns what the coefficient b is multiplied by at size n.
func (f Form) basis(n float64) float64 {
	switch f {
	case Linear:
		return n
	case NLogN:
		return n * math.Log2(max(n, 1))
	}
	return 0
}

// parameters returns the number of parameters of the form.
func (f Form) parameters() int {
	if f == Constant {
		return 1
	}
	return 2
}

// maxErrorRatio is the leave-one-out error of a richer form, as a share of the simpler form's, up to which the richer form is
// chosen. With few and noisy sizes a richer form is often slightly better by chance; one third less is a clear difference.
// Leave-one-out errors are compared because the corrected AIC is undefined for two parameters on four sizes, which some runs
// have.
const maxErrorRatio = 2.0 / 3

// MaxPredictionError is the relative error above which a curve has failed to predict the largest size. A form whose leave-one-out
// error exceeds it is replaced by any form that has a smaller one.
const MaxPredictionError = 0.25

// roundingError is the relative error below which a fit counts as exact, so that figures are the same on all machines.
const roundingError = 1e-9

// minSizes is the number of sizes that a fit needs: two parameters, and one size to check them against.
const minSizes = 3

// floorShare is the smallest scale of relative errors, as a share of the largest value.
const floorShare = 0.01

// Curve is a form fitted to measurements.
type Curve struct {
	Form        Form
	Intercept   float64 // a
	Coefficient float64 // b
	Sizes       []float64
	// RMSError is the root mean square error, and RelativeRMSError the same of errors as shares of their values.
	RMSError, RelativeRMSError float64
	// LeaveOneOutErrors holds, by form, the relative root mean square error at each point of a fit to the other points.
	LeaveOneOutErrors [3]float64

	points  int
	inverse *mat.Dense // of the normal equations
	floor   float64    // smallest scale of relative errors
}

// Fit fits each form by least squares of relative errors, and returns the simplest one that no richer form clearly improves on.
// Errors are relative because sizes span a factor of thirty and errors grow with the values: with absolute ones the largest size
// alone would determine the curve.
func Fit(size, value []float64) (*Curve, error) {
	if err := checkMeasurements(size, value); err != nil {
		return nil, err
	}
	if n := len(distinct(size)); n < minSizes {
		return nil, fmt.Errorf("too few points: %d sizes, %d wanted", n, minSizes)
	}
	var best *Curve
	var errors [3]float64
	for form := Constant; form <= NLogN; form++ {
		curve, err := OfForm(form, size, value)
		if err != nil {
			return nil, err
		}
		errors[form] = curve.LeaveOneOutErrors[form]
		if best == nil || improves(errors[form], errors[best.Form]) {
			best = curve
		}
	}
	best.LeaveOneOutErrors = errors
	return best, nil
}

// improves reports whether the leave-one-out error of a richer form is small enough to choose it over a simpler form.
func improves(richer, simpler float64) bool {
	return richer < maxErrorRatio*simpler || simpler > MaxPredictionError && richer < simpler
}

// OfForm fits one form. It needs as many sizes as the form has parameters.
func OfForm(form Form, size, value []float64) (*Curve, error) {
	if err := checkMeasurements(size, value); err != nil {
		return nil, err
	}
	c := &Curve{Form: form, Sizes: distinct(size), points: len(size)}
	if len(c.Sizes) < form.parameters() {
		return nil, fmt.Errorf("too few points: %d sizes for a form that is %v", len(c.Sizes), form)
	}
	for _, v := range value {
		c.floor = max(c.floor, floorShare*math.Abs(v))
	}
	if err := c.solve(size, value); err != nil {
		return nil, fmt.Errorf("a form that is %v: %w", form, err)
	}
	c.measureErrors(size, value)
	return c, nil
}

// solve sets the parameters by weighted least squares.
func (c *Curve) solve(size, value []float64) error {
	columns := c.Form.parameters()
	x, y := mat.NewDense(len(size), columns, nil), mat.NewVecDense(len(size), nil)
	for i, n := range size {
		weight := 1 / c.scale(value[i])
		y.SetVec(i, weight*value[i])
		x.Set(i, 0, weight)
		if columns == 2 {
			x.Set(i, 1, weight*c.Form.basis(n))
		}
	}
	var solution mat.VecDense
	if err := solution.SolveVec(x, y); err != nil {
		return err
	}
	c.Intercept = solution.AtVec(0)
	if columns == 2 {
		c.Coefficient = solution.AtVec(1)
	}
	if math.Abs(c.Intercept) < roundingError*c.floor {
		c.Intercept = 0
	}
	var normal mat.Dense
	normal.Mul(x.T(), x)
	c.inverse = new(mat.Dense)
	return c.inverse.Inverse(&normal)
}

// measureErrors sets the errors of the fit. The leave-one-out error of a point follows from its leverage.
func (c *Curve) measureErrors(size, value []float64) {
	points, leaveOneOut := float64(len(size)), 0.0
	for i, n := range size {
		residual, scale := value[i]-c.evaluate(n), c.scale(value[i])
		c.RMSError += residual * residual / points
		c.RelativeRMSError += residual * residual / (scale * scale) / points
		if rest := 1 - c.leverage(n)/(scale*scale); rest > roundingError {
			leaveOneOut += residual * residual / (scale * scale * rest * rest) / points
		} else { // the point alone determines a parameter, so the other points do not predict it
			leaveOneOut = math.Inf(1)
		}
	}
	c.RMSError, c.RelativeRMSError = math.Sqrt(c.RMSError), math.Sqrt(c.RelativeRMSError)
	c.LeaveOneOutErrors[c.Form] = math.Sqrt(leaveOneOut)
	if c.RelativeRMSError < roundingError {
		c.RMSError, c.RelativeRMSError, c.LeaveOneOutErrors[c.Form] = 0, 0, 0
	}
}

// checkMeasurements returns an error unless there is a finite value for each size.
func checkMeasurements(size, value []float64) error {
	if len(size) != len(value) {
		return fmt.Errorf("%d sizes and %d values", len(size), len(value))
	}
	for i := range size {
		if !(size[i] >= 0) || math.IsInf(size[i], 0) || math.IsNaN(value[i]) || math.IsInf(value[i], 0) {
			return fmt.Errorf("size %g, value %g: not a measurement", size[i], value[i])
		}
	}
	return nil
}

// distinct returns the different sizes in ascending order.
func distinct(size []float64) []float64 {
	size = slices.Clone(size)
	slices.Sort(size)
	return slices.Compact(size)
}

func (c *Curve) evaluate(n float64) float64 { return c.Intercept + c.Coefficient*c.Form.basis(n) }

// scale returns what the error at a value is related to.
func (c *Curve) scale(value float64) float64 {
	if c.floor == 0 {
		return 1
	}
	return max(math.Abs(value), c.floor)
}

// leverage returns the variance of the curve at size n if that of a relative error is 1.
func (c *Curve) leverage(n float64) float64 {
	if c.Form == Constant {
		return c.inverse.At(0, 0)
	}
	x := mat.NewVecDense(2, []float64{1, c.Form.basis(n)})
	return mat.Inner(x, c.inverse, x)
}
