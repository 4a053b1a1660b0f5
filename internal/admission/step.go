package admission

import (
	"math"
	"time"
)

const (
	stepFeatures = 3
	// batchUnit and memoryUnit scale the features to values of order one.
	batchUnit  = 32.0
	memoryUnit = 65536.0
	// forgettingFactor makes the model follow an engine whose speed changes slowly.
	forgettingFactor = 0.998
	// maxCovarianceTrace bounds the growth of the covariance when observations do not vary.
	maxCovarianceTrace = 100.0
	// outlierFactor is the residual, in mean absolute residuals, beyond which an
	// observation is clipped. Long prompts and scheduling pauses cause such residuals.
	outlierFactor         = 3.0
	residualAverageWeight = 0.05
	// priorBase, priorBatch and priorMemory are the assumed fractions of the target
	// step before the first observation.
	priorBase   = 0.3
	priorBatch  = 0.2
	priorMemory = 0.1
)

// StepModel predicts the time of one decode step from the batch size and the
// tokens in memory, by recursive least squares.
type StepModel struct {
	unitSeconds  float64 // the target step, to which the coefficients are relative
	coefficients [stepFeatures]float64
	covariance   [stepFeatures][stepFeatures]float64
	meanResidual float64
	observations int
}

// NewStepModel returns a model whose prior depends on the target step.
func NewStepModel(target time.Duration) StepModel {
	unit := target.Seconds()
	if unit <= 0 {
		unit = 0.05
	}
	m := StepModel{unitSeconds: unit, coefficients: [stepFeatures]float64{priorBase, priorBatch, priorMemory}, meanResidual: 0.3}
	for i := range m.covariance {
		m.covariance[i][i] = 1
	}
	return m
}

// Observe records the mean step time over an interval with the given batch and memory.
func (m *StepModel) Observe(batch, memory float64, step time.Duration) {
	if step <= 0 || batch <= 0 {
		return
	}
	x := [stepFeatures]float64{1, batch / batchUnit, memory / memoryUnit}
	residual := step.Seconds()/m.unitSeconds - dot(&m.coefficients, &x)
	size := math.Abs(residual)
	if limit := outlierFactor * m.meanResidual; size > limit {
		residual = math.Copysign(limit, residual)
		size = limit
	}
	m.meanResidual = max(m.meanResidual+residualAverageWeight*(size-m.meanResidual), 0.005)
	m.observations++
	m.update(&x, residual)
}

func (m *StepModel) update(x *[stepFeatures]float64, residual float64) {
	var px [stepFeatures]float64
	for i := range px {
		px[i] = dot(&m.covariance[i], x)
	}
	denominator := forgettingFactor + dot(x, &px)
	for i := range px {
		m.coefficients[i] += px[i] / denominator * residual
	}
	trace := 0.0
	for i := range px {
		for j := range px {
			m.covariance[i][j] -= px[i] * px[j] / denominator
		}
		trace += m.covariance[i][i]
	}
	if trace/forgettingFactor < maxCovarianceTrace {
		for i := range px {
			for j := range px {
				m.covariance[i][j] /= forgettingFactor
			}
		}
	}
}

func (m *StepModel) Observations() int { return m.observations }

// Predict returns the expected step time. It never decreases with batch or memory.
func (m *StepModel) Predict(batch, memory float64) time.Duration {
	s := m.coefficients[0] + max(m.coefficients[1], 0)*batch/batchUnit + max(m.coefficients[2], 0)*memory/memoryUnit
	return time.Duration(max(s, 0) * m.unitSeconds * float64(time.Second))
}

// LongestStep returns the longest step predicted while the batch and one more profile
// decode, including the growth of their memory.
func (m *StepModel) LongestStep(p, add *Profile) time.Duration {
	worst := time.Duration(0)
	for i := range grid {
		worst = max(worst, m.Predict(p.expectedRunning[i]+add.expectedRunning[i], p.meanMemory[i]+add.meanMemory[i]))
	}
	return worst
}

func dot(a, b *[stepFeatures]float64) float64 {
	return a[0]*b[0] + a[1]*b[1] + a[2]*b[2]
}
