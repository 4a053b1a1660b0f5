// Package capacity fits straight lines to measured costs. Its benchmarks measure the
// bytes and the processor time of stored state, messages and the roles of a daemon.
// They are the source of the figures in docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"math"
)

// Line is a least-squares fit y = Intercept + Slope*x. The errors are standard
// errors; they are 0 for two points, which always fit exactly.
type Line struct {
	Slope, Intercept           float64
	SlopeError, InterceptError float64
}

// Fit returns the line through the points. It needs at least two different x and
// returns a Line of NaN otherwise. It is safe for concurrent use.
func Fit(x, y []float64) Line {
	n := float64(min(len(x), len(y)))
	var sumX, sumY float64
	for i := range int(n) {
		sumX += x[i]
		sumY += y[i]
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy float64
	for i := range int(n) {
		xx += (x[i] - meanX) * (x[i] - meanX)
		xy += (x[i] - meanX) * (y[i] - meanY)
	}
	if n < 2 || xx == 0 {
		nan := math.NaN()
		return Line{nan, nan, nan, nan}
	}
	line := Line{Slope: xy / xx}
	line.Intercept = meanY - line.Slope*meanX
	if n == 2 {
		return line
	}
	var residual float64
	for i := range int(n) {
		d := y[i] - line.At(x[i])
		residual += d * d
	}
	variance := residual / (n - 2)
	line.SlopeError = math.Sqrt(variance / xx)
	line.InterceptError = math.Sqrt(variance * (1/n + meanX*meanX/xx))
	return line
}

// At returns the fitted value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func (l Line) String() string {
	return fmt.Sprintf("slope %.4g ± %.2g, intercept %.4g ± %.2g", l.Slope, l.SlopeError, l.Intercept, l.InterceptError)
}
