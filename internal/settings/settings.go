// Package settings reads and validates the daemon's YAML settings. Invalid values are
// all reported in one error, each with its line.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// Settings is the content of the daemon's settings file. It must not be modified after
// it is loaded.
type Settings struct {
	Host                Host              `yaml:"host" validate:"required"`
	Listen              Listen            `yaml:"listen" validate:"required"`
	Platform            Platform          `yaml:"platform" validate:"required"`
	TLS                 TLS               `yaml:"tls"`
	Keys                Keys              `yaml:"keys" validate:"required"`
	Limits              Limits            `yaml:"limits"`
	Drain               Drain             `yaml:"drain"`
	Timeline            Timeline          `yaml:"timeline"`
	TraceFile           string            `yaml:"trace-file"`
	UpstreamCredentials map[string]string `yaml:"upstream-credentials"`
}

// Host identifies the daemon.
type Host struct {
	Name       string `yaml:"name" validate:"required,max=64"`
	DataCentre string `yaml:"data-centre" validate:"required,max=64"`
	Cell       string `yaml:"cell" validate:"max=64"`
}

// Listen holds the addresses (IP and port) on which the daemon listens.
type Listen struct {
	Caller   string `yaml:"caller" validate:"required,hostname_port"`
	Operator string `yaml:"operator" validate:"required,hostname_port"`
	Peer     string `yaml:"peer" validate:"required,hostname_port"`
}

// Platform locates the platform's services. The table "memory" suits a single host
// only.
type Platform struct {
	Table       string `yaml:"table" validate:"required,oneof=memory dynamo"`
	TableURL    string `yaml:"table-url" validate:"required_if=Table dynamo,omitempty,url"`
	TableName   string `yaml:"table-name"`
	Region      string `yaml:"region"`
	AccessKey   string `yaml:"access-key"`
	SecretKey   string `yaml:"secret-key"`
	ObjectsURL  string `yaml:"objects-url" validate:"omitempty,url"`
	Bucket      string `yaml:"bucket"`
	HostListURL string `yaml:"host-list-url" validate:"omitempty,url"`
	// WeightStoreLoadsPerMinute is the rate of model loads that the weight store allows.
	WeightStoreLoadsPerMinute float64 `yaml:"weight-store-loads-per-minute" validate:"gte=0"`
}

// TLS holds the paths of certificate files. An empty Cert means plain TCP.
type TLS struct {
	Cert string `yaml:"cert" validate:"required_with=Key,omitempty,file"`
	Key  string `yaml:"key" validate:"required_with=Cert,omitempty,file"`
	CA   string `yaml:"ca" validate:"required_with=Cert,omitempty,file"`
}

// Keys holds the secrets that authenticate callers, operators and peers. Operators and
// Accounts map names to keys.
type Keys struct {
	// Resume is the key that signs resume tokens. All daemons must share it.
	Resume    string            `yaml:"resume" validate:"required,min=16"`
	Operators map[string]string `yaml:"operators" validate:"required,min=1,dive,min=16"`
	Accounts  map[string]string `yaml:"accounts" validate:"required,min=1,dive,min=16"`
	Peer      string            `yaml:"peer" validate:"required,min=16"`
}

// Limits holds the limits of requests and streams.
type Limits struct {
	// MemoryMB is the memory of the machine for the process.
	MemoryMB      int           `yaml:"memory-mb" validate:"gte=32,lte=1048576"`
	MaxBodyBytes  int64         `yaml:"body-bytes" validate:"gte=1024,lte=67108864"`
	HeaderTimeout time.Duration `yaml:"header-timeout" validate:"gte=100ms,lte=1m"`
	IdleTimeout   time.Duration `yaml:"idle-timeout" validate:"gte=1s,lte=1h"`
	// TokenTimeout is the maximum time without data from an engine within a stream.
	TokenTimeout   time.Duration `yaml:"token-timeout" validate:"gte=100ms,lte=10m"`
	MaxOpenStreams int           `yaml:"open-streams" validate:"gte=1,lte=1000000"`
}

// Drain holds the time limits of a planned stop.
type Drain struct {
	// AnnounceDuration is how long a draining host still accepts new requests after it
	// was removed from the host list that callers get.
	AnnounceDuration time.Duration `yaml:"announce" validate:"gte=0s,lte=1m"`
	// StreamTimeLimit is how long running streams may continue before they are handed
	// over to other hosts.
	StreamTimeLimit time.Duration `yaml:"limit" validate:"gte=0s,lte=1h"`
}

// Timeline holds the limit of the events kept in memory.
type Timeline struct {
	MaxEvents int `yaml:"events" validate:"gte=100,lte=1000000"`
}

// Default returns the default settings. Required settings have no default.
func Default() Settings {
	return Settings{
		Host:     Host{Cell: "cell-0"},
		Platform: Platform{TableName: "rattanscale", Region: "local", Bucket: "rattanscale", WeightStoreLoadsPerMinute: 6},
		Limits: Limits{
			MemoryMB: 512, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
			TokenTimeout: 5 * time.Second, MaxOpenStreams: 20_000,
		},
		Drain:    Drain{AnnounceDuration: 6 * time.Second, StreamTimeLimit: 30 * time.Second},
		Timeline: Timeline{MaxEvents: 20_000},
	}
}

// Load reads and validates the settings file. Its error is a failure.InvalidSettings.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.New(failure.InvalidSettings, "%v", err)
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a settings file. The errors begin with
// name.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	if err := Decode(name, data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Decode decodes YAML into target, a pointer to a struct that holds the defaults, and
// checks its validate tags. Unknown fields are errors. All values that violate a tag
// are reported in one error, whose lines begin with name.
func Decode(name string, data []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField())
	if err := decoder.Decode(target); err != nil {
		return failure.New(failure.InvalidSettings, "%s: %s", name, yaml.FormatError(err, false, false))
	}
	problems := findProblems(target)
	if len(problems) == 0 {
		return nil
	}
	lines := lo.Map(problems, func(p problem, _ int) string {
		return fmt.Sprintf("%s:%d: %s: %s", name, lineOf(data, p.path), p.path, p.message)
	})
	return failure.New(failure.InvalidSettings, "%s", strings.Join(lines, "\n"))
}

type problem struct {
	path    string
	message string
}

func findProblems(s any) []problem {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.SplitN(f.Tag.Get("yaml"), ",", 2)[0]
	})
	var problems []problem
	var fieldErrors validator.ValidationErrors
	if err := validate.Struct(s); errors.As(err, &fieldErrors) {
		for _, fe := range fieldErrors {
			_, path, _ := strings.Cut(fe.Namespace(), ".")
			problems = append(problems, problem{path, describeViolation(path, fe)})
		}
	}
	return problems
}

func describeViolation(path string, violation validator.FieldError) string {
	rule := violation.Tag()
	if violation.Param() != "" {
		rule += "=" + violation.Param()
	}
	if strings.HasPrefix(path, "keys") || strings.Contains(path, "secret") {
		return "the value does not satisfy " + rule // the value is a secret
	}
	if violation.Tag() == "required" {
		return "a value is required"
	}
	return fmt.Sprintf("%v does not satisfy %s", violation.Value(), rule)
}

// lineOf returns the line of the node at path or of its nearest existing ancestor, or 1.
func lineOf(data []byte, path string) int {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 1
	}
	for path != "" {
		if p, err := yaml.PathString("$." + path); err == nil {
			if node, err := p.FilterFile(file); err == nil {
				return node.GetToken().Position.Line
			}
		}
		i := strings.LastIndex(path, ".")
		if i < 0 {
			return 1
		}
		path = path[:i]
	}
	return 1
}
