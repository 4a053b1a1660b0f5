// Package entity defines the configuration that operators write (data centres, pools,
// services, client accounts) and the change log that updates it. Values are immutable
// once they are part of a Configuration.
package entity

import (
	"slices"
	"time"
)

// UpstreamKind distinguishes model engines, application engines and plain services.
type UpstreamKind string

const (
	KindEngine      UpstreamKind = "engine"
	KindApplication UpstreamKind = "application"
	KindPlain       UpstreamKind = "plain"
)

// Fencing is how an engine treats an order that carries an outdated fencing token.
type Fencing string

const (
	FencingRefusesOld Fencing = "refuses-old"
	FencingIgnoresOld Fencing = "ignores"
)

// Delivery is what a caller receives when an engine fails after part of the output was
// delivered.
type Delivery string

const (
	// DeliverWhole delivers the output only once it is complete.
	DeliverWhole Delivery = "whole"
	// DeliverRestart restarts the output for callers that accept it; others receive an
	// error.
	DeliverRestart Delivery = "restart"
	// DeliverError ends the output with an error.
	DeliverError Delivery = "error"
)

// Limits bounds the work on each upstream of a pool.
type Limits struct {
	// ColdRequests is the maximum number of concurrent requests on a cold upstream.
	ColdRequests int
	// MaxRequests is the maximum number of concurrent requests on a warm upstream.
	MaxRequests int
	// MemoryTokens is the capacity of the engine's memory for prompts and outputs, in
	// tokens; 0 means unlimited.
	MemoryTokens int
	// TargetStep is the maximum time between two tokens of an output.
	TargetStep time.Duration
}

// Upstream is a model engine, an application engine or a process of a plain service.
type Upstream struct {
	Name    string
	Address string
	Pool    string
	// Leaving upstreams receive no new work because they are about to stop.
	Leaving bool
}

// Pool is a set of upstreams of the same kind in one data centre.
type Pool struct {
	Name       string
	Kind       UpstreamKind
	DataCentre string
	Fencing    Fencing
	// RefusalsProveNotRun is set if a plain service answers 429 or 503 only to calls
	// that it has not run.
	RefusalsProveNotRun bool
	Limits              Limits
	Upstreams           []Upstream
}

type Version struct {
	Name  string
	Model string
	Pools []string
	// Share is the percentage of requests that the version receives outside a rollout.
	Share int
}

// RolloutPolicy limits the duration of a rollout, and how much worse than the old
// version the new one may perform.
type RolloutPolicy struct {
	FinishWithin     time.Duration
	MaxErrorIncrease float64
	MaxSlowdown      float64
}

// Service is one service of the service text.
type Service struct {
	Name      string
	DependsOn []string
	Delivery  Delivery
	// Repeatable requests may run more than once.
	Repeatable bool
	Priority   int
	Deadline   time.Duration
	Versions   []Version
	Rollout    RolloutPolicy
}

// ClientAccount is a customer, whose requests share the capacity by weight.
type ClientAccount struct {
	Name      string
	Share     float64
	MaxQueued int
}

// ServiceText is the parsed and validated configuration text of the operators.
type ServiceText struct {
	DataCentres []string
	Pools       []Pool
	Services    []Service
	Accounts    []ClientAccount
}

// Version returns the version with the given name.
func (s Service) Version(name string) (Version, bool) {
	i := slices.IndexFunc(s.Versions, func(v Version) bool { return v.Name == name })
	if i < 0 {
		return Version{}, false
	}
	return s.Versions[i], true
}

type RolloutState string

const (
	RolloutRunning  RolloutState = "running"
	RolloutFinished RolloutState = "finished"
	RolloutUndone   RolloutState = "undone"
)

// Rollout replaces version From of a service by version To in steps.
type Rollout struct {
	Service string
	From    string
	To      string
	// Step is the percentage of requests that To receives.
	Step      int
	State     RolloutState
	Reason    string
	StartedAt time.Time
	// StepAt is the time of the last step.
	StepAt   time.Time
	FinishBy time.Time
	ChangeID string
}

// Configuration is the result of applying the change log up to Revision.
type Configuration struct {
	Revision uint64
	Text     *ServiceText
	// DataCentresOut holds the data centres that operators have taken out of service.
	DataCentresOut map[string]bool
	// HostsDraining holds the hosts that operators are draining.
	HostsDraining map[string]bool
	// Rollouts holds the latest rollout of each service.
	Rollouts map[string]Rollout
	// InForceRevision is the highest revision that every member has confirmed.
	InForceRevision uint64
	// LastChangeRevision is the highest revision of a change that is not itself an
	// in-force change.
	LastChangeRevision uint64
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (Service, bool) {
	if c == nil || c.Text == nil {
		return Service{}, false
	}
	i := slices.IndexFunc(c.Text.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Text.Services[i], true
}

// Pool returns the pool with the given name.
func (c *Configuration) Pool(name string) (Pool, bool) {
	if c == nil || c.Text == nil {
		return Pool{}, false
	}
	i := slices.IndexFunc(c.Text.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Text.Pools[i], true
}

// Account returns the client account with the given name.
func (c *Configuration) Account(name string) (ClientAccount, bool) {
	if c == nil || c.Text == nil {
		return ClientAccount{}, false
	}
	i := slices.IndexFunc(c.Text.Accounts, func(a ClientAccount) bool { return a.Name == name })
	if i < 0 {
		return ClientAccount{}, false
	}
	return c.Text.Accounts[i], true
}
