// Package operatorapi serves the HTTP interface of operators with an OpenAPI
// description at /openapi.yaml and a page at /docs.
package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/danielgtaylor/huma/v2/sse"

	"github.com/rattanscale/rattanscale/internal/auth"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

// Outcome is the state of an operator's change.
type Outcome string

// The outcomes of a change. A rollout start ends as finished or undone, every
// other change as in force.
const (
	OutcomePending  Outcome = "pending"
	OutcomeInForce  Outcome = "in-force"
	OutcomeFinished Outcome = "finished"
	OutcomeUndone   Outcome = "undone"
)

// ChangeResult identifies an accepted change.
type ChangeResult struct {
	ID       string  `json:"id" doc:"identifier of the change"`
	Revision uint64  `json:"revision" doc:"revision of the configuration that contains the change"`
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty" doc:"why a rollout was undone"`
}

// HostRow is one member in a Status.
type HostRow struct {
	Name            string  `json:"name"`
	DataCentre      string  `json:"data_centre"`
	CallerAddress   string  `json:"caller_address"`
	OperatorAddress string  `json:"operator_address"`
	Ready           bool    `json:"ready"`
	Draining        bool    `json:"draining"`
	OpenStreams     int     `json:"open_streams"`
	Revision        uint64  `json:"revision"`
	HeardSecondsAgo float64 `json:"heard_seconds_ago"`
}

// RolloutRow is one rollout in a Status.
type RolloutRow struct {
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Step     int       `json:"step" doc:"percentage of requests that the new version receives"`
	State    string    `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	FinishBy time.Time `json:"finish_by"`
}

// Status is the state of the system at a revision. Configuration is the part that
// is the same on every screen that shows the same revision; Observed is this
// host's latest observation.
type Status struct {
	Revision      uint64        `json:"revision"`
	InForce       uint64        `json:"in_force" doc:"highest revision that every member has confirmed"`
	Configuration Configuration `json:"configuration"`
	Observed      Observed      `json:"observed"`
}

// Configuration is the part of a Status that the change log decides.
type Configuration struct {
	DataCentres    []DataCentreRow `json:"data_centres"`
	Services       []string        `json:"services"`
	HostsDraining  []string        `json:"hosts_draining"`
	Rollouts       []RolloutRow    `json:"rollouts"`
	TextOperator   string          `json:"text_operator,omitempty"`
	ClientAccounts []string        `json:"client_accounts"`
}

// DataCentreRow is the state of one data centre.
type DataCentreRow struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// Observed is what the answering host sees now.
type Observed struct {
	Host  string              `json:"host"`
	Epoch uint64              `json:"epoch"`
	Hosts []HostRow           `json:"hosts"`
	Pools []permit.PoolStatus `json:"pools"`
	Store string              `json:"store" doc:"state of this host's contact with the table service"`
}

// TimelineQuery selects events.
type TimelineQuery struct {
	Request string
	Kind    string
	Since   time.Duration
}

// Control is what the interface asks of the daemon. Implementations are safe for concurrent use.
type Control interface {
	// Change commits a change on top of expect, or on the current revision when expect is 0.
	Change(ctx context.Context, change entity.Change, expect uint64) (ChangeResult, error)
	// Evict removes a member at the operator's word that its process runs no more.
	Evict(ctx context.Context, name, operator string) error
	// Outcome returns the state of a change; ok is false when the change is unknown.
	Outcome(id string) (result ChangeResult, ok bool)
	Status() Status
	Text() (text string, revision uint64)
	// Watch sends the changes above after, in order, until ctx ends. It sends
	// nothing twice; when entries are no longer kept, the first entry has a
	// revision above after+1.
	Watch(ctx context.Context, after uint64, send func(entity.Change) error) error
	Timeline(ctx context.Context, query TimelineQuery) ([]timeline.Event, []string)
	Ready() error
}

// Server serves operators. Its fields are set once before use.
type Server struct {
	Control   Control
	Keys      *auth.Keys
	BodyBytes int64
	Metrics   func(w http.ResponseWriter)
}

type operatorKey struct{}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("rattanscale operator interface", "1.0.0")
	config.CreateHooks = nil // answers carry no $schema links
	api := humago.New(mux, config)
	s.registerChanges(api)
	s.registerReads(api)

	root := http.NewServeMux()
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	root.HandleFunc("GET /readyz", s.ready)
	root.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.Metrics(w) })
	root.Handle("/", s.authenticated(mux))
	return root
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Control.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// authenticated requires an operator's key on every path.
func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := s.Keys.Authenticate(r)
		if err != nil {
			writeFailure(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

type changeOutput struct{ Body ChangeResult }

type applyInput struct {
	Expect  uint64 `query:"expect" doc:"revision that the change was made on; 0 means the current one"`
	RawBody []byte `contentType:"application/yaml"`
}

type nameInput struct {
	Name   string `path:"name" maxLength:"64"`
	Expect uint64 `query:"expect"`
}

type rolloutInput struct {
	Service string `path:"service" maxLength:"64"`
	Expect  uint64 `query:"expect"`
	Body    struct {
		To           string `json:"to" minLength:"1" maxLength:"64" doc:"version that receives the traffic"`
		FinishWithin string `json:"finish_within,omitempty" doc:"duration such as 30m; default from the service text"`
	}
}

type serviceInput struct {
	Service string `path:"service" maxLength:"64"`
	Expect  uint64 `query:"expect"`
}

func (s *Server) registerChanges(api huma.API) {
	huma.Put(api, "/v1/text", func(ctx context.Context, in *applyInput) (*changeOutput, error) {
		return s.change(ctx, in.Expect, entity.Change{Kind: entity.ChangeApply, Text: string(in.RawBody)})
	}, func(o *huma.Operation) { o.MaxBodyBytes = s.BodyBytes })
	named := func(path string, kind entity.ChangeKind) {
		huma.Post(api, path, func(ctx context.Context, in *nameInput) (*changeOutput, error) {
			return s.change(ctx, in.Expect, entity.Change{Kind: kind, Name: in.Name})
		})
	}
	named("/v1/data-centres/{name}/take-out", entity.ChangeDataCentreTakeOut)
	named("/v1/data-centres/{name}/bring-back", entity.ChangeDataCentreBringBack)
	named("/v1/hosts/{name}/drain", entity.ChangeHostDrain)
	named("/v1/hosts/{name}/return", entity.ChangeHostReturn)
	huma.Post(api, "/v1/hosts/{name}/evict", func(ctx context.Context, in *nameInput) (*struct{}, error) {
		if err := s.Control.Evict(ctx, in.Name, operator(ctx)); err != nil {
			return nil, problem(err)
		}
		return nil, nil
	})
	huma.Post(api, "/v1/services/{service}/rollout/start", func(ctx context.Context, in *rolloutInput) (*changeOutput, error) {
		change := entity.Change{Kind: entity.ChangeRolloutStart, Service: in.Service, To: in.Body.To}
		if in.Body.FinishWithin != "" {
			within, err := time.ParseDuration(in.Body.FinishWithin)
			if err != nil || within <= 0 {
				return nil, problem(failure.NotRun(failure.InvalidRequest, "finish_within is %q, not a positive duration", in.Body.FinishWithin))
			}
			change.FinishWithin = within
		}
		return s.change(ctx, in.Expect, change)
	})
	huma.Post(api, "/v1/services/{service}/rollout/undo", func(ctx context.Context, in *serviceInput) (*changeOutput, error) {
		return s.change(ctx, in.Expect, entity.Change{Kind: entity.ChangeRolloutUndo, Service: in.Service, Reason: "undone by an operator"})
	})
}

func (s *Server) change(ctx context.Context, expect uint64, change entity.Change) (*changeOutput, error) {
	change.Operator = operator(ctx)
	result, err := s.Control.Change(ctx, change, expect)
	if err != nil {
		return nil, problem(err)
	}
	return &changeOutput{Body: result}, nil
}

type statusOutput struct{ Body Status }

type textOutput struct {
	ContentType string `header:"Content-Type"`
	Revision    uint64 `header:"X-Revision"`
	Body        []byte
}

type timelineInput struct {
	Request string `query:"request" maxLength:"128"`
	Kind    string `query:"kind" maxLength:"64"`
	Since   string `query:"since" doc:"duration before now, such as 5m"`
}

type timelineOutput struct {
	Body struct {
		Events  []timeline.Event `json:"events"`
		Missing []string         `json:"missing" doc:"hosts that did not answer"`
	}
}

func (s *Server) registerReads(api huma.API) {
	huma.Get(api, "/v1/status", func(context.Context, *struct{}) (*statusOutput, error) {
		return &statusOutput{Body: s.Control.Status()}, nil
	})
	huma.Get(api, "/v1/text", func(context.Context, *struct{}) (*textOutput, error) {
		text, revision := s.Control.Text()
		return &textOutput{ContentType: "application/yaml", Revision: revision, Body: []byte(text)}, nil
	})
	huma.Get(api, "/v1/changes/{id}", func(_ context.Context, in *struct {
		ID string `path:"id" maxLength:"64"`
	}) (*changeOutput, error) {
		result, ok := s.Control.Outcome(in.ID)
		if !ok {
			return nil, problem(failure.New(failure.NotFound, "no change %q in the kept part of the log", in.ID))
		}
		return &changeOutput{Body: result}, nil
	})
	huma.Get(api, "/v1/timeline", s.timeline)
	sse.Register(api, huma.Operation{OperationID: "watch", Method: http.MethodGet, Path: "/v1/watch", Summary: "Stream the change log"},
		map[string]any{"change": entity.Change{}}, s.watch)
}

func (s *Server) timeline(ctx context.Context, in *timelineInput) (*timelineOutput, error) {
	query := TimelineQuery{Request: in.Request, Kind: in.Kind}
	if in.Since != "" {
		since, err := time.ParseDuration(in.Since)
		if err != nil || since < 0 {
			return nil, problem(failure.NotRun(failure.InvalidRequest, "since is %q, not a duration", in.Since))
		}
		query.Since = since
	}
	out := &timelineOutput{}
	out.Body.Events, out.Body.Missing = s.Control.Timeline(ctx, query)
	return out, nil
}

type watchInput struct {
	After uint64 `query:"after" doc:"last revision that the caller has seen"`
}

func (s *Server) watch(ctx context.Context, in *watchInput, send sse.Sender) {
	_ = s.Control.Watch(ctx, in.After, func(change entity.Change) error {
		return send(sse.Message{ID: int(change.Revision), Data: change})
	})
}
