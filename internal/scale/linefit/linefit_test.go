package linefit

import (
	"math"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	line, err := Fit([]float64{0, 1, 2, 3}, []float64{1, 3, 5, 7})
	if err != nil || math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-1) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("%+v %v", line, err)
	}
	line, err = Fit([]float64{0, 1, 2, 3}, []float64{1, -1, -1, 1})
	if err != nil || math.Abs(line.Residual-1) > 1e-9 {
		t.Errorf("%+v %v, want a residual of 1", line, err)
	}
	two, err := Fit([]float64{100, 1400}, []float64{1, 2})
	if err != nil || !strings.Contains(two.String(), "two points") {
		t.Errorf("%v %v, want a note that the fit uses two points", two, err)
	}
	for _, bad := range [][2][]float64{{{1}, {1}}, {{1, 2}, {1}}, {{5, 5}, {1, 2}}} {
		if line, err := Fit(bad[0], bad[1]); err == nil {
			t.Errorf("%v: %+v", bad, line)
		}
	}
}
