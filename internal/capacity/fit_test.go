package capacity

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a wrong slope or standard error, which would affect every figure.
func TestFit(t *testing.T) {
	exact := Fit([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	assert.InDelta(t, 2, exact.Slope, 1e-12)
	assert.InDelta(t, 3, exact.Intercept, 1e-12)
	assert.InDelta(t, 0, exact.SlopeError, 1e-9)

	// Residuals -0.3, 0.1, 0.7, -0.5 about the line 1.4x + 0.9: variance 0.84/2, sum of squares of x 5.
	noisy := Fit([]float64{1, 2, 3, 4}, []float64{2, 3.8, 5.8, 6})
	assert.InDelta(t, 1.4, noisy.Slope, 1e-12)
	assert.InDelta(t, 0.9, noisy.Intercept, 1e-12)
	assert.InDelta(t, math.Sqrt(0.42/5), noisy.SlopeError, 1e-12)
	assert.InDelta(t, math.Sqrt(0.42*(0.25+6.25/5)), noisy.InterceptError, 1e-12)

	assert.True(t, math.IsNaN(Fit([]float64{3, 3}, []float64{1, 2}).Slope), "one size gives no slope")
}
