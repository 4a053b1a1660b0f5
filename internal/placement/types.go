package placement

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// Settings bound how fast and how often a Planner changes what engines hold.
type Settings struct {
	// LoadsPerMinute is this planner's part of the weight store's rate.
	LoadsPerMinute float64
	// ModelsPerUpstream is the number of models that an engine holds at most.
	ModelsPerUpstream int
	// Slack multiplies the observed demand.
	Slack float64
	// MinDwell is the shortest time between a load and an unload of the same model on the same upstream.
	MinDwell time.Duration
	// MinSurplusDuration is how long a model must have had too many copies before one is unloaded.
	MinSurplusDuration time.Duration
	// LostGrace is how long a lost upstream is waited for while another copy serves.
	LostGrace time.Duration
	// MaxReportAge is the age from which a report is no base for an order.
	MaxReportAge time.Duration
	// OrderTimeout is when an order without outcome is given up; reports decide what it did.
	OrderTimeout time.Duration
	// RetryDelay is the wait after a failed order to the same upstream; it doubles up to 16 times that.
	RetryDelay time.Duration
	// Roles names the role that upstreams of a kind shall have; kinds that are missing get no role orders.
	Roles map[entity.UpstreamKind]string
}

// DefaultSettings returns the settings for the given rate of loads.
func DefaultSettings(loadsPerMinute float64) Settings {
	return Settings{
		LoadsPerMinute: loadsPerMinute, ModelsPerUpstream: 4, Slack: 1.3,
		MinDwell: 10 * time.Minute, MinSurplusDuration: 5 * time.Minute, LostGrace: 5 * time.Second,
		MaxReportAge: 30 * time.Second, OrderTimeout: 5 * time.Minute, RetryDelay: 30 * time.Second,
	}
}

// State is what is known of one upstream.
type State struct {
	Upstream    string
	Incarnation string
	Models      []string
	Role        string
	Cold        bool
	Leaving     bool
	// Lost is set while the upstream is unreachable or its host is gone.
	Lost bool
	// MeasuredAt is when the upstream was in this state: the time of receipt minus the
	// report's age. The zero time means that no report has arrived.
	MeasuredAt time.Time
}

// Demand is the observed load of a model in a pool.
type Demand struct {
	Pool  string
	Model string
}

// Input is everything that one tick depends on, besides the planner's own state.
type Input struct {
	Configuration *entity.Configuration
	// Epoch is that of the member view in which this daemon owns Pools.
	Epoch uint64
	// Pools names the pools that this daemon owns.
	Pools  []string
	States map[string]State
	// TokensPerSecond is the demand by pool and model; a missing entry is 0.
	TokensPerSecond map[Demand]float64
}

// Order asks for one change on one upstream.
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

// Outcome tells how an order ended.
type Outcome int

// The outcomes of an order.
const (
	// Done means that the engine's state was read back and shows the change.
	Done Outcome = iota
	// NotSent means that the order certainly did not reach the engine.
	NotSent
	// Failed means that the engine refused the order or did not carry it out.
	Failed
	// Stale means that the engine has seen a later fencing token: this daemon owns the pool no longer.
	Stale
	// Unknown means that the state could not be read back.
	Unknown
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"done", "not-sent", "failed", "stale", "unknown"}[o]
}
