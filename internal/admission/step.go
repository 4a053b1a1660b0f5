package admission

import (
	"math"
	"time"
)

const (
	stepFeatures = 3
	// batchUnit and memoryUnit scale the features to the order of one.
	batchUnit  = 32.0
	memoryUnit = 65536.0
	// forgetting makes the model follow an engine whose speed changes slowly.
	forgetting = 0.998
	// maxCovariance bounds the growth of the covariance when observations do not vary.
	maxCovariance = 100.0
	// outlierScale is the residual, in mean absolute residuals, beyond which an
	// observation is clipped. Long prompts and scheduling pauses cause such residuals.
	outlierScale = 3.0
	scaleWeight  = 0.05
	// priorBase, priorBatch and priorMemory are the assumed shares of the target
	// step before anything was observed.
	priorBase   = 0.3
	priorBatch  = 0.2
	priorMemory = 0.1
)

// StepModel predicts the time of one decode step from the batch size and the
// tokens in memory, by recursive least squares.
type StepModel struct {
	unit       float64 // seconds that count as one
	theta      [stepFeatures]float64
	covariance [stepFeatures][stepFeatures]float64
	scale      float64
	seen       int
}

// NewStepModel returns a model whose prior depends on the target step.
func NewStepModel(target time.Duration) StepModel {
	unit := target.Seconds()
	if unit <= 0 {
		unit = 0.05
	}
	m := StepModel{unit: unit, theta: [stepFeatures]float64{priorBase, priorBatch, priorMemory}, scale: 0.3}
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
	residual := step.Seconds()/m.unit - dot(&m.theta, &x)
	size := math.Abs(residual)
	if limit := outlierScale * m.scale; size > limit {
		residual = math.Copysign(limit, residual)
		size = limit
	}
	m.scale = max(m.scale+scaleWeight*(size-m.scale), 0.005)
	m.seen++
	m.update(&x, residual)
}

func (m *StepModel) update(x *[stepFeatures]float64, residual float64) {
	var px [stepFeatures]float64
	for i := range px {
		px[i] = dot(&m.covariance[i], x)
	}
	denominator := forgetting + dot(x, &px)
	for i := range px {
		m.theta[i] += px[i] / denominator * residual
	}
	trace := 0.0
	for i := range px {
		for j := range px {
			m.covariance[i][j] -= px[i] * px[j] / denominator
		}
		trace += m.covariance[i][i]
	}
	if trace/forgetting < maxCovariance {
		for i := range px {
			for j := range px {
				m.covariance[i][j] /= forgetting
			}
		}
	}
}

// Seen returns the number of observations.
func (m *StepModel) Seen() int { return m.seen }

// Predict returns the expected step time. It never decreases with batch or memory.
func (m *StepModel) Predict(batch, memory float64) time.Duration {
	s := m.theta[0] + max(m.theta[1], 0)*batch/batchUnit + max(m.theta[2], 0)*memory/memoryUnit
	return time.Duration(max(s, 0) * m.unit * float64(time.Second))
}

// Worst returns the longest step predicted while the batch and one more profile
// decode, including the growth of their memory.
func (m *StepModel) Worst(p, add *Profile) time.Duration {
	worst := time.Duration(0)
	for i := range grid {
		worst = max(worst, m.Predict(p.alive[i]+add.alive[i], p.mean[i]+add.mean[i]))
	}
	return worst
}

func dot(a, b *[stepFeatures]float64) float64 {
	return a[0]*b[0] + a[1]*b[1] + a[2]*b[2]
}
