package fit

import (
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []float64{32, 64, 128, 256, 512, 1000}

func series(sizes []float64, noise float64, f func(n float64) float64) []float64 {
	rnd := rand.New(rand.NewPCG(7, 11))
	list := make([]float64, len(sizes))
	for i, n := range sizes {
		list[i] = f(n) * (1 + noise*rnd.NormFloat64())
	}
	return list
}

// A series with a known form is fitted with that form, with and without noise, and passes the check.
func TestForms(t *testing.T) {
	for _, c := range []struct {
		form Form
		f    func(n float64) float64
	}{
		{Constant, func(float64) float64 { return 0 }},
		{Constant, func(float64) float64 { return 1234.567 }},
		{Linear, func(n float64) float64 { return 300 + 17*n }},
		{NLogN, func(n float64) float64 { return 50 + 3*n*math.Log2(n) }},
	} {
		for _, noise := range []float64{0, 0.01} {
			v := series(sizes, noise, c.f)
			s, err := Fit(sizes, v)
			if err != nil || s.Form != c.form {
				t.Errorf("%v with noise %g: %+v, %v", c.form, noise, s, err)
				continue
			}
			if k := CheckExtrapolation(sizes, v, s.Form); k.Verdict != Holds || len(k.Sizes) != 3 || k.FormGiven || k.Largest != 1000 {
				t.Errorf("%v with noise %g: %+v", c.form, noise, k)
			}
			at, spread := s.Predict(2000)
			if want := c.f(2000); math.Abs(at-want) > max(spread, 1e-6*want) || noise == 0 && math.Abs(at-want) > 1e-6*want {
				t.Errorf("%v with noise %g: %g +- %g at 2000, not %g", c.form, noise, at, spread, want)
			}
		}
	}
}

// A series that grows faster than any form fails the check.
func TestFailed(t *testing.T) {
	v := series(sizes, 0, func(n float64) float64 { return n * n })
	s, err := Fit(sizes, v)
	if err != nil {
		t.Fatal(err)
	}
	if k := CheckExtrapolation(sizes, v, s.Form); k.Verdict != Failed || k.Error > -0.5 {
		t.Errorf("%+v", k)
	}
	if k := CheckExtrapolation([]float64{1, 2, 3, 100}, []float64{0, 0, 0, 0}, Constant); k.Verdict != Holds {
		t.Errorf("all zero: %+v", k)
	}
	if k := CheckExtrapolation([]float64{1, 2, 3, 100}, []float64{1, 1, 1, 0}, Constant); k.Verdict != Failed {
		t.Errorf("zero measured, one predicted: %+v", k)
	}
}

// With two small sizes the form is given, with fewer there is no check; with two sizes in all there is no curve. Invalid
// measurements are an error.
func TestFew(t *testing.T) {
	line := func(n float64) float64 { return 5 + 2*n }
	four := []float64{80, 160, 335, 670}
	v := series(four, 0, line)
	s, err := Fit(four, v)
	if err != nil || s.Form != Linear {
		t.Fatal(s, err)
	}
	if k := CheckExtrapolation(four, v, s.Form); k.Verdict != Holds || !k.FormGiven || len(k.Sizes) != 2 {
		t.Errorf("%+v", k)
	}
	near := []float64{200, 335, 670}
	if k := CheckExtrapolation(near, series(near, 0, line), Linear); k.Verdict != TooFew {
		t.Errorf("%+v", k)
	}
	if _, err := Fit([]float64{1, 1, 2}, []float64{1, 2, 3}); err == nil || err.Error() != "too few points: 2 sizes, 3 wanted" {
		t.Error(err)
	}
	for _, bad := range [][2][]float64{{{1, 2, 3}, {1, 2}}, {{-1, 1, 2}, {1, 2, 3}}, {{1, 2, 3}, {1, math.NaN(), 3}}} {
		if _, err := Fit(bad[0], bad[1]); err == nil {
			t.Errorf("%v was accepted", bad)
		}
	}
}

// The size at a limit is the solution of the curve, infinite or 0. There is no spread without degrees of freedom.
func TestSizeAtLimit(t *testing.T) {
	s, err := Fit(sizes, series(sizes, 0, func(n float64) float64 { return 100 + 8*n }))
	if err != nil {
		t.Fatal(err)
	}
	if n := s.SizeAtLimit(9000); math.Abs(n-1112.5) > 1e-3 {
		t.Error(n)
	}
	if n := s.SizeAtLimit(50); n != 0 {
		t.Error(n)
	}
	flat, _ := Fit(sizes, series(sizes, 0, func(float64) float64 { return 7 }))
	if n := flat.SizeAtLimit(8); !math.IsInf(n, 1) {
		t.Error(n)
	}
	if _, spread := flat.Predict(5000); spread > 1e-9 {
		t.Error(spread)
	}
	two, err := OfForm(Linear, []float64{1, 2}, []float64{1, 2})
	if _, spread := two.Predict(3); err != nil || !math.IsNaN(spread) {
		t.Error(spread, err)
	}
}
