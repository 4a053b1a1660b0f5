package placement

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// Settings bound how fast and how often a Planner changes the models of engines.
type Settings struct {
	// LoadsPerMinute is this planner's share of the rate at which the weight store serves loads.
	LoadsPerMinute float64
	// ModelsPerUpstream is the maximum number of models on an engine.
	ModelsPerUpstream int
	// Slack is the factor by which the observed demand is multiplied.
	Slack float64
	// MinDwell is the minimum time between a load and an unload of a model on one upstream.
	MinDwell time.Duration
	// MinSurplusDuration is how long a model must have had too many copies before one is unloaded,
	// or replaced by a copy of another model for that model's demand.
	MinSurplusDuration time.Duration
	// LostGrace is how long the copies on a lost upstream still count while another upstream
	// serves the model.
	LostGrace time.Duration
	// MaxReportAge is the maximum age of a report on which an order may be based.
	MaxReportAge time.Duration
	// OrderTimeout is how long the planner waits for the outcome of an order. After that,
	// reports show whether it took effect.
	OrderTimeout time.Duration
	// RetryDelay is the delay before a failed order is issued again for the same model and
	// upstream. It doubles with each failure, up to maxRetryFactor times its value.
	RetryDelay time.Duration
	// Roles maps an upstream kind to the role of its upstreams; missing kinds get no role orders.
	Roles map[entity.UpstreamKind]string
}

// DefaultSettings returns the default settings with the given load rate.
func DefaultSettings(loadsPerMinute float64) Settings {
	return Settings{
		LoadsPerMinute: loadsPerMinute, ModelsPerUpstream: 4, Slack: 1.3,
		MinDwell: 10 * time.Minute, MinSurplusDuration: 5 * time.Minute, LostGrace: 5 * time.Second,
		MaxReportAge: 30 * time.Second, OrderTimeout: 5 * time.Minute, RetryDelay: 30 * time.Second,
	}
}

// State is the last known state of one upstream.
type State struct {
	Upstream    string
	Incarnation string
	Models      []string
	Role        string
	Cold        bool
	Leaving     bool
	// Lost is set while the upstream is unreachable or its host has left.
	Lost bool
	// MeasuredAt is when the upstream was in this state: the time of receipt minus the
	// report's age. It is zero if no report has arrived.
	MeasuredAt time.Time
}

// Demand is the key of the observed demand: a model in a pool.
type Demand struct {
	Pool  string
	Model string
}

// Input is the input of one tick, in addition to the planner's own state.
type Input struct {
	Configuration *entity.Configuration
	// Epoch is the epoch of the member view in which this daemon owns Pools.
	Epoch uint64
	// Pools names the pools that this daemon owns.
	Pools  []string
	States map[string]State
	// TokensPerSecond is the observed demand by pool and model; a missing entry is 0.
	TokensPerSecond map[Demand]float64
}

// Order requests one change on one upstream. Token is the fencing token that the engine
// checks, and Fencing is what the engine does with an old token. Incarnation is the engine
// process for which the order was decided.
type Order struct {
	ID          uint64
	Pool        string
	Upstream    string
	Address     string
	Incarnation string
	Fencing     entity.Fencing
	Kind        upstream.OrderKind
	Model       string
	Role        string
	Token       uint64
	Reason      string
	DecidedAt   time.Time
}

// Outcome is the result of an order.
type Outcome int

const (
	// Done means that the engine's state was read back and reflects the order.
	Done Outcome = iota
	// NotSent means that the order certainly did not reach the engine.
	NotSent
	// Failed means that the engine refused the order or did not carry it out.
	Failed
	// Stale means that the engine has seen a higher fencing token, so this daemon no longer
	// owns the pool.
	Stale
	// Unknown means that the engine's state did not show whether the order took effect.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"done", "not-sent", "failed", "stale", "unknown"}[o]
}
