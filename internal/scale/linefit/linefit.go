// Package linefit fits a straight line to measurements and reports how well it fits.
package linefit

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minPointsForResidual is the number of points from which on a residual means anything: a line through two points
// always fits.
const minPointsForResidual = 3

// Line is the line y = Intercept + Slope * x.
type Line struct {
	Slope, Intercept float64
	Residual         float64 // root mean square deviation of the points from the line
	Points           int
}

// Fit returns the least-squares line through the given points.
func Fit(x, y []float64) (Line, error) {
	if len(x) != len(y) || len(x) < 2 {
		return Line{}, fmt.Errorf("cannot fit a line to %d x and %d y values", len(x), len(y))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	if math.IsNaN(slope) || math.IsInf(slope, 0) {
		return Line{}, fmt.Errorf("cannot fit a line: all %d points have the same x", len(x))
	}
	line := Line{Slope: slope, Intercept: intercept, Points: len(x)}
	for i := range x {
		deviation := y[i] - intercept - slope*x[i]
		line.Residual += deviation * deviation / float64(len(x))
	}
	line.Residual = math.Sqrt(line.Residual)
	return line, nil
}

// String returns the line as intercept plus slope per unit of x, with the residual and the number of points if there are
// enough of them for a residual to mean something.
func (l Line) String() string {
	if l.Points < minPointsForResidual {
		return fmt.Sprintf("%.4g + %.4g per unit (from two points)", l.Intercept, l.Slope)
	}
	return fmt.Sprintf("%.4g + %.4g per unit (residual %.3g, %d points)", l.Intercept, l.Slope, l.Residual, l.Points)
}
