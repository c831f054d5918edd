// Package linefit fits a straight line to measurements and says how well it fits.
package linefit

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// leastPoints is how many points a slope with a residual needs: through two points a line always fits.
const leastPoints = 3

// Line is y = Intercept + Slope * x.
type Line struct {
	Slope, Intercept float64
	Residual         float64 // the root of the mean square distance of the points from the line
	Points           int
}

// Fit is the line of least squares through the points.
func Fit(x, y []float64) (Line, error) {
	if len(x) != len(y) || len(x) < 2 {
		return Line{}, fmt.Errorf("%d and %d values make no line", len(x), len(y))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	if math.IsNaN(slope) || math.IsInf(slope, 0) {
		return Line{}, fmt.Errorf("all of %d points are at one place", len(x))
	}
	line := Line{Slope: slope, Intercept: intercept, Points: len(x)}
	for i := range x {
		off := y[i] - intercept - slope*x[i]
		line.Residual += off * off / float64(len(x))
	}
	line.Residual = math.Sqrt(line.Residual)
	return line, nil
}

func (l Line) String() string {
	if l.Points < leastPoints {
		return fmt.Sprintf("%.4g + %.4g a unit (from two points)", l.Intercept, l.Slope)
	}
	return fmt.Sprintf("%.4g + %.4g a unit (residual %.3g, %d points)", l.Intercept, l.Slope, l.Residual, l.Points)
}
