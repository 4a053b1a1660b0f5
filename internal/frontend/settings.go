// Package frontend runs rattanscaled as a front end for upstreams that register
// themselves in the platform's store. It connects the gateway that serves callers, the
// mirrors of the store's tables and the communication between hosts.
package frontend

import (
	"os"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/settings"
)

// Settings is the content of the front end's settings file. It is immutable once loaded.
type Settings struct {
	Host   settings.Host `yaml:"host" validate:"required"`
	Listen Listen        `yaml:"listen" validate:"required"`
	Store  Store         `yaml:"store" validate:"required"`
	Peers  Peers         `yaml:"peers"`
	Limits Limits        `yaml:"limits"`
	Retry  Retry         `yaml:"retry"`
	Drain  Drain         `yaml:"drain"`
	// Rollout bounds what a version may receive before it is known to be good.
	Rollout RolloutBounds `yaml:"rollout"`
	// Policy is adaptive, or plain for the baseline: requests go to the upstream with the
	// fewest open requests of this host, and streams do not migrate.
	Policy string `yaml:"policy" validate:"oneof=adaptive plain"`
	// Directory configures the responses that list the hosts for callers.
	Directory Directory `yaml:"directory"`
	// Duties configures the tasks that one host at a time carries out.
	Duties Duties `yaml:"duties"`
	// Placement configures the choice of an upstream.
	Placement Placement `yaml:"placement"`
}

// Listen holds the addresses, as IP and port, that the front end serves.
type Listen struct {
	Caller    string `yaml:"caller" validate:"required,hostname_port"`
	Readiness string `yaml:"readiness" validate:"required,hostname_port"`
	Directory string `yaml:"directory" validate:"omitempty,hostname_port"`
	Peer      string `yaml:"peer" validate:"required,hostname_port"`
	// Metrics is empty if metrics are not served.
	Metrics string `yaml:"metrics" validate:"omitempty,hostname_port"`
}

// Store configures the access to the platform's store.
type Store struct {
	Address string `yaml:"address" validate:"required,hostname_port"`
	// Readers is the number of hosts that read the store for all others on an undivided site.
	Readers int `yaml:"readers" validate:"gte=1,lte=64"`
}

// Peers configures the communication between hosts.
type Peers struct {
	// Seeds are the peer addresses that a host contacts while it knows no others.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// Key is the secret shared by all hosts.
	Key string `yaml:"key" validate:"required,min=16"`
}

// Limits bounds the memory of the process and the connections and headers of callers.
type Limits struct {
	MemoryMB int `yaml:"memory-mb" validate:"gte=32,lte=1048576"`
	// IdleTimeout is the idle time after which a caller's connection is closed. It and
	// HeaderTimeout apply while the configuration sets no others.
	IdleTimeout   time.Duration `yaml:"idle-timeout" validate:"gte=1s,lte=1h"`
	HeaderTimeout time.Duration `yaml:"header-timeout" validate:"gte=100ms,lte=1m"`
	HeaderBytes   int           `yaml:"header-bytes" validate:"gte=1024,lte=1048576"`
}

// Retry bounds the retries of all hosts together, as a ratio of the requests in Window plus Slack.
type Retry struct {
	Ratio  float64       `yaml:"ratio" validate:"gte=0,lte=1"`
	Slack  float64       `yaml:"slack" validate:"gte=0"`
	Window time.Duration `yaml:"window" validate:"gte=1s,lte=10m"`
}

// RolloutBounds bounds the requests of a version on trial over all hosts: Share of the
// service's requests, plus Slack.
type RolloutBounds struct {
	Share float64 `yaml:"share" validate:"gte=0,lte=1"`
	Slack float64 `yaml:"slack" validate:"gte=0"`
}

// Drain bounds the draining of a host before a planned stop.
type Drain struct {
	// Limit is the time from the signal until the process is killed.
	Limit time.Duration `yaml:"limit" validate:"gte=1s,lte=1h"`
}

// Directory configures the responses of the directory.
type Directory struct {
	// Validity is how long callers may use a response.
	Validity time.Duration `yaml:"validity" validate:"gte=1s,lte=1m"`
}

// Duties configures the tasks that one host at a time carries out at the platform's API. Without
// names there are none.
type Duties struct {
	// Names are usage, which reports the requests of accounts, and autoscale, which orders
	// upstreams.
	Names   []string `yaml:"names" validate:"dive,oneof=usage autoscale"`
	Address string   `yaml:"address" validate:"required_with=Names,omitempty,hostname_port"`
	// CallsPerSecond bounds the calls of all hosts together.
	CallsPerSecond float64 `yaml:"calls-per-second" validate:"gte=0"`
	// Term is how long a claim of a duty holds without being confirmed.
	Term time.Duration `yaml:"term" validate:"gte=1s,lte=1m"`
	// PauseMargin is the time at the end of a term in which the holder does not act, since the
	// process may be paused for as long unnoticed.
	PauseMargin time.Duration `yaml:"pause-margin" validate:"gte=0s,lte=10s"`
	// FencingEnforced is set if the platform rejects calls with a lower token than it has seen.
	FencingEnforced bool `yaml:"fencing-enforced"`
	// UsageWindow is the length of the windows of usage, and UsageDelay the time after the end of
	// a window at which its report is due.
	UsageWindow time.Duration `yaml:"usage-window" validate:"gte=1s,lte=24h"`
	UsageDelay  time.Duration `yaml:"usage-delay" validate:"gte=1s,lte=24h"`
}

// The values of Duties.Names.
const (
	DutyUsage     = "usage"
	DutyAutoscale = "autoscale"
)

// Placement configures the choice of an upstream.
type Placement struct {
	// EngineSpeeds makes the choice depend on the measured speed of engines, where the engines of
	// a service differ.
	EngineSpeeds bool `yaml:"engine-speeds"`
	// Priorities makes engines process requests in the order of the priorities that the
	// configuration states, where those of a service's requests differ.
	Priorities bool `yaml:"priorities"`
	// DataCentrePlan makes requests leave a data centre by the demand of all, instead of by the
	// load of single engines.
	DataCentrePlan bool `yaml:"data-centre-plan"`
	// DataCentreRoundTrip is the time between two data centres and back.
	DataCentreRoundTrip time.Duration `yaml:"data-centre-round-trip" validate:"gte=0,lte=1s"`
}

// The values of Settings.Policy.
const (
	PolicyAdaptive = "adaptive"
	PolicyPlain    = "plain"
)

// Default returns the values of settings that the file omits.
func Default() Settings {
	return Settings{
		Host:   settings.Host{Cell: "cell-0"},
		Policy: PolicyAdaptive,
		Store:  Store{Readers: 2},
		Limits: Limits{
			MemoryMB: 128, IdleTimeout: time.Minute, HeaderTimeout: 5 * time.Second, HeaderBytes: 64 << 10,
		},
		Retry:     Retry{Ratio: 0.1, Slack: 10, Window: 10 * time.Second},
		Drain:     Drain{Limit: 8 * time.Second},
		Rollout:   RolloutBounds{Share: 0.1, Slack: 50},
		Directory: Directory{Validity: 2 * time.Second},
		Duties:    Duties{Term: 3 * time.Second, PauseMargin: 300 * time.Millisecond, UsageWindow: time.Minute, UsageDelay: 30 * time.Second},
		Placement: Placement{EngineSpeeds: true, Priorities: true, DataCentrePlan: true, DataCentreRoundTrip: 2 * time.Millisecond},
	}
}

// Load reads and validates the settings file. Errors are of kind failure.InvalidSettings.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.New(failure.InvalidSettings, "%v", err)
	}
	s := Default()
	if err := settings.Decode(path, data, &s); err != nil {
		return nil, err
	}
	if d := s.Duties; len(d.Names) > 0 && d.PauseMargin >= d.Term/2 {
		return nil, failure.New(failure.InvalidSettings, "%s: duties.pause-margin %s leaves no time to act in a duties.term of %s; use less than half of it", path, d.PauseMargin, d.Term)
	}
	return &s, nil
}
