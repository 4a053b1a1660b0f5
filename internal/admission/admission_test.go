package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testKey = Key{Service: "s", Account: "a"}

func logNormal(r *rand.Rand, median float64) int {
	return max(int(median*math.Exp(0.8*r.NormFloat64())), 1)
}

func learnedPredictor(median float64, n int) (*Predictor, *rand.Rand) {
	p, r := NewPredictor(), rand.New(rand.NewPCG(1, 2))
	for range n {
		p.Observe(testKey, logNormal(r, median))
	}
	return p, r
}

// With outputs of either 50 or 2000 tokens, a request that has produced more than 50
// must be expected to reach 2000.
func TestExpectedRemainingDependsOnProducedTokens(t *testing.T) {
	p := NewPredictor()
	for i := range 200 {
		p.Observe(testKey, []int{50, 2000}[i%2])
	}
	l := p.Lengths(testKey)
	require.InDelta(t, 1025, l.Mean(), 150)
	require.InDelta(t, 1800, l.ExpectedRemaining(200, 0), 300)
	require.Zero(t, l.ProbabilityBeyond(200, 300, 100), "the caller's bound ends the output")
}

// An account without observations must use its service's lengths, and one with
// many its own.
func TestAccountFallsBackToServiceLengths(t *testing.T) {
	p, _ := learnedPredictor(100, 300)
	other := Key{Service: "s", Account: "b"}
	require.InDelta(t, p.Lengths(testKey).Mean(), p.Lengths(other).Mean(), 30)
	for range 100 {
		p.Observe(other, 1000)
	}
	require.Greater(t, p.Lengths(other).Mean(), 700.0)
	require.Greater(t, p.Lengths(Key{Service: "unknown"}).Mean(), 200.0, "the prior applies")
}

// After a shift of the mean, the estimate must not be dominated by old observations.
func TestMeanFollowsAShift(t *testing.T) {
	p, r := learnedPredictor(200, 1000)
	before := p.Lengths(testKey).Mean()
	for range 60 {
		p.Observe(testKey, logNormal(r, 800))
	}
	require.Greater(t, p.Lengths(testKey).Mean(), 2.2*before)
}

// Requests in progress must correct the bias of the first, short completions.
func TestRunningRequestsRaiseTheEstimate(t *testing.T) {
	p := NewPredictor()
	for range 10 {
		p.Observe(testKey, 40)
	}
	before := p.Lengths(testKey).Mean()
	for range 30 {
		p.ObserveRunning(testKey, 600)
	}
	require.Greater(t, p.Lengths(testKey).Mean(), 3*before)
	p.ResetRunning()
	require.InDelta(t, before, p.Lengths(testKey).Mean(), 1)
}

// Admitted batches must exceed the memory at most with the target probability, and must
// not leave most of it unused.
func TestPeakIsExceededRarely(t *testing.T) {
	p, r := learnedPredictor(400, 600)
	const memory, trials = 32768, 2000
	z := PeakSigmas(0.05)
	exceeded, used := 0, 0.0
	for range trials {
		var batch Profile
		var loads []int
		for len(loads) < 200 {
			var add Profile
			add.Add(Load{HeldTokens: 300}, p.Lengths(testKey))
			if batch.PeakWith(&add, z) > memory {
				break
			}
			batch.Merge(&add)
			loads = append(loads, logNormal(r, 400))
		}
		peak := truePeak(300, loads)
		used += float64(peak) / memory / trials
		if peak > memory {
			exceeded++
		}
	}
	t.Logf("exceeded %d of %d, mean use %.2f", exceeded, trials, used)
	require.LessOrEqual(t, float64(exceeded)/trials, 0.05)
	require.Greater(t, used, 0.7)
}

func truePeak(prompt int, outputs []int) int {
	longest := 0
	for _, o := range outputs {
		longest = max(longest, o)
	}
	peak := 0
	for step := 0; step <= longest; step++ {
		memory := 0
		for _, o := range outputs {
			if o >= step {
				memory += prompt + step
			}
		}
		peak = max(peak, memory)
	}
	return peak
}

// Occasional long steps must not distort the model, and its prediction must
// never fall with batch or memory.
func TestStepModelIgnoresOutliers(t *testing.T) {
	m := NewStepModel(60 * time.Millisecond)
	r := rand.New(rand.NewPCG(3, 4))
	truth := func(batch, memory float64) float64 { return 0.010 + 0.001*batch + 0.2e-6*memory }
	for i := range 2000 {
		batch, memory := float64(1+r.IntN(40)), float64(r.IntN(40000))
		step := truth(batch, memory) * (1 + 0.05*r.NormFloat64())
		if i%20 == 0 {
			step *= 8
		}
		m.Observe(batch, memory, time.Duration(step*float64(time.Second)))
	}
	for _, batch := range []float64{1, 16, 40} {
		require.InEpsilon(t, truth(batch, 20000), m.Predict(batch, 20000).Seconds(), 0.12)
		require.LessOrEqual(t, m.Predict(batch, 1000), m.Predict(batch+1, 1000))
		require.LessOrEqual(t, m.Predict(batch, 1000), m.Predict(batch, 9000))
	}
	require.Equal(t, 2000, m.Observations())
}

// The longest predicted step must include the growth of the batch's memory.
func TestLongestStepIncludesGrowth(t *testing.T) {
	p, _ := learnedPredictor(400, 100)
	m := NewStepModel(60 * time.Millisecond)
	var batch Profile
	for range 20 {
		batch.Add(Load{HeldTokens: 300}, p.Lengths(testKey))
	}
	require.Greater(t, m.LongestStep(&batch, &Profile{}), m.Predict(20, 20*300))
}

// The number of account histograms must stay bounded.
func TestAccountsAreBounded(t *testing.T) {
	p := NewPredictor()
	for i := range 3 * maxAccounts {
		p.Observe(Key{Service: "s", Account: string(rune(i))}, 10)
	}
	require.LessOrEqual(t, p.AccountCount(), maxAccounts)
}

func BenchmarkPeakWith(b *testing.B) {
	for _, n := range []int{32, 64} {
		b.Run(map[int]string{32: "running=32", 64: "running=64"}[n], func(b *testing.B) {
			p, _ := learnedPredictor(400, 300)
			b.ReportAllocs()
			for b.Loop() {
				var batch, add Profile
				for i := range n {
					batch.Add(Load{HeldTokens: 300 + 10*i, ProducedTokens: 10 * i}, p.Lengths(testKey))
				}
				add.Add(Load{HeldTokens: 300}, p.Lengths(testKey))
				batch.PeakWith(&add, 2)
			}
		})
	}
}
