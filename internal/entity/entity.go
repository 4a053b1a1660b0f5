// Package entity defines the rows of the tables over which the decision
// systems run. Values are immutable once they are part of a Configuration.
package entity

import (
	"slices"
	"time"
)

// UpstreamKind tells what an upstream is.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine      UpstreamKind = "engine"
	KindApplication UpstreamKind = "application"
	KindPlain       UpstreamKind = "plain"
)

// Fencing tells what an engine does with an order that carries an old fencing token.
type Fencing string

// The fencing behaviours.
const (
	FencingRefusesOld Fencing = "refuses-old"
	FencingIgnoresOld Fencing = "ignores"
)

// Delivery tells what a caller receives when an engine is lost after tokens were delivered.
type Delivery string

// The delivery choices.
const (
	DeliverWhole   Delivery = "whole"
	DeliverRestart Delivery = "restart"
	DeliverError   Delivery = "error"
)

// Limits bounds the work of each upstream of a pool.
type Limits struct {
	// ColdRequests is the number of concurrent requests that a cold upstream can bear.
	ColdRequests int
	// MaxRequests is the number of concurrent requests of a warm upstream.
	MaxRequests int
	// MemoryTokens is the engine's memory for prompts and outputs, in tokens; 0 means unlimited.
	MemoryTokens int
	// TargetStep is the upper bound of the time between tokens.
	TargetStep time.Duration
}

// Upstream is a model engine, an application engine or a plain service process.
type Upstream struct {
	Name    string
	Address string
	Pool    string
	Leaving bool
}

// Pool is a set of upstreams of one kind in one data centre.
type Pool struct {
	Name       string
	Kind       UpstreamKind
	DataCentre string
	Fencing    Fencing
	// RefusalsProveNotRun is set when statuses 429 and 503 of a plain service mean
	// that the call certainly did not run.
	RefusalsProveNotRun bool
	Limits              Limits
	Upstreams           []Upstream
}

// Version is one version of a service.
type Version struct {
	Name  string
	Model string
	Pools []string
	// Share is the percentage of requests that the version receives outside a rollout.
	Share int
}

// RolloutPolicy bounds a rollout of a service.
type RolloutPolicy struct {
	FinishWithin     time.Duration
	MaxErrorIncrease float64
	MaxSlowdown      float64
}

// Service is one entry of the service text.
type Service struct {
	Name       string
	DependsOn  []string
	Delivery   Delivery
	Repeatable bool
	Priority   int
	Deadline   time.Duration
	Versions   []Version
	Rollout    RolloutPolicy
}

// ClientAccount is a customer of the system.
type ClientAccount struct {
	Name      string
	Share     float64
	MaxQueued int
}

// ServiceText is the validated content of the operators' text.
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

// RolloutState is the state of one rollout in the configuration.
type RolloutState string

// The states of a rollout.
const (
	RolloutRunning  RolloutState = "running"
	RolloutFinished RolloutState = "finished"
	RolloutUndone   RolloutState = "undone"
)

// Rollout moves a service from one version to another.
type Rollout struct {
	Service   string
	From      string
	To        string
	Step      int // percentage of requests that To receives
	State     RolloutState
	Reason    string
	StartedAt time.Time
	StepAt    time.Time
	FinishBy  time.Time
	ChangeID  string
}

// Configuration is the fold of the change log up to Revision.
type Configuration struct {
	Revision uint64
	Text     *ServiceText
	// DataCentresOut holds the data centres that operators have taken out.
	DataCentresOut map[string]bool
	// HostsDraining holds the hosts that operators have told to stop taking new work.
	HostsDraining map[string]bool
	// Rollouts holds the latest rollout of each service.
	Rollouts map[string]Rollout
	// InForceRevision holds the highest revision that every member has confirmed.
	InForceRevision uint64
	// LastChangeRevision is the highest revision whose entry is not itself an in-force entry.
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
