// Package operatorapi serves the HTTP API for operators. Its OpenAPI description
// is at /openapi.yaml, and browsable documentation at /docs.
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

// Outcome is the state of a change that an operator has submitted.
type Outcome string

// Every change begins as pending. The start of a rollout ends as finished or undone,
// every other change as in force, which means that every member has confirmed it.
const (
	OutcomePending  Outcome = "pending"
	OutcomeInForce  Outcome = "in-force"
	OutcomeFinished Outcome = "finished"
	OutcomeUndone   Outcome = "undone"
)

// ChangeResult identifies an accepted change and holds its outcome so far.
type ChangeResult struct {
	ID       string  `json:"id" doc:"identifier of the change"`
	Revision uint64  `json:"revision" doc:"revision of the configuration that contains the change"`
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty" doc:"why a rollout was undone"`
}

// HostRow is one cluster member as the responding host sees it.
type HostRow struct {
	Name               string  `json:"name"`
	DataCentre         string  `json:"data_centre"`
	CallerAddress      string  `json:"caller_address"`
	OperatorAddress    string  `json:"operator_address"`
	Ready              bool    `json:"ready"`
	Draining           bool    `json:"draining"`
	OpenStreams        int     `json:"open_streams"`
	Revision           uint64  `json:"revision"`
	LastSeenSecondsAgo float64 `json:"heard_seconds_ago"`
}

// RolloutRow is the progress of one rollout.
type RolloutRow struct {
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Step     int       `json:"step" doc:"percentage of requests that the new version receives"`
	State    string    `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	FinishBy time.Time `json:"finish_by"`
}

// Status is the state of the system at a revision. Configuration is the same on all
// hosts at the same revision. Observed is specific to the responding host and can
// differ between hosts.
type Status struct {
	Revision      uint64        `json:"revision"`
	InForce       uint64        `json:"in_force" doc:"highest revision that every member has confirmed"`
	Configuration Configuration `json:"configuration"`
	Observed      Observed      `json:"observed"`
}

// Configuration is the part of a Status that follows from the change log.
type Configuration struct {
	DataCentres    []DataCentreRow `json:"data_centres"`
	Services       []string        `json:"services"`
	HostsDraining  []string        `json:"hosts_draining"`
	Rollouts       []RolloutRow    `json:"rollouts"`
	TextOperator   string          `json:"text_operator,omitempty"`
	ClientAccounts []string        `json:"client_accounts"`
}

// DataCentreRow tells whether a data centre is taken out of service.
type DataCentreRow struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// Observed is the part of a Status that the responding host measures itself.
type Observed struct {
	Host  string              `json:"host"`
	Epoch uint64              `json:"epoch"`
	Hosts []HostRow           `json:"hosts"`
	Pools []permit.PoolStatus `json:"pools"`
	Store string              `json:"store" doc:"state of this host's contact with the table service"`
}

// TimelineQuery filters events. Zero fields match every event.
type TimelineQuery struct {
	Request string
	Kind    string
	Since   time.Duration
}

// Control gives the API access to the daemon. Implementations are safe for concurrent use.
type Control interface {
	// Change commits a change on top of revision expect, or of the current revision when
	// expect is 0.
	Change(ctx context.Context, change entity.Change, expect uint64) (ChangeResult, error)
	// Evict removes a member. The operator vouches that the member's process has
	// stopped; this isn't checked.
	Evict(ctx context.Context, name, operator string) error
	// Outcome returns the state of a change; ok is false when the change is unknown.
	Outcome(id string) (result ChangeResult, ok bool)
	Status() Status
	Text() (text string, revision uint64)
	// Watch sends the changes with a revision above after, in order and each once,
	// until ctx ends. If the log no longer holds revision after+1, it begins with a
	// later one.
	Watch(ctx context.Context, after uint64, send func(entity.Change) error) error
	// Timeline returns the events that match the query, and the names of the hosts that
	// did not respond.
	Timeline(ctx context.Context, query TimelineQuery) ([]timeline.Event, []string)
	// CheckReady returns a typed failure while the host is not ready.
	CheckReady() error
}

// Server serves the operator API. Set its fields before the first use.
type Server struct {
	Control      Control
	Keys         *auth.Keys
	MaxBodyBytes int64
	WriteMetrics func(w http.ResponseWriter)
}

type operatorContextKey struct{}

// Handler returns the handler for all routes. /healthz, /readyz and /metrics need no
// key.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("rattanscale operator interface", "1.0.0")
	config.CreateHooks = nil // omits $schema links from responses
	api := humago.New(mux, config)
	s.registerChanges(api)
	s.registerReads(api)

	root := http.NewServeMux()
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	root.HandleFunc("GET /readyz", s.handleReadyz)
	root.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.WriteMetrics(w) })
	root.Handle("/", s.requireOperatorKey(mux))
	return root
}

func (s *Server) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.Control.CheckReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// requireOperatorKey rejects requests without a valid operator key, and stores the
// operator's name in the request context.
func (s *Server) requireOperatorKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := s.Keys.Authenticate(r)
		if err != nil {
			writeFailure(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
	})
}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

type changeOutput struct{ Body ChangeResult }

type applyInput struct {
	ExpectedRevision uint64 `query:"expect" doc:"revision that the change was made on; 0 means the current one"`
	RawBody          []byte `contentType:"application/yaml"`
}

type nameInput struct {
	Name             string `path:"name" maxLength:"64"`
	ExpectedRevision uint64 `query:"expect"`
}

type rolloutInput struct {
	Service          string `path:"service" maxLength:"64"`
	ExpectedRevision uint64 `query:"expect"`
	Body             struct {
		To           string `json:"to" minLength:"1" maxLength:"64" doc:"version that receives the traffic"`
		FinishWithin string `json:"finish_within,omitempty" doc:"duration such as 30m; default from the service text"`
	}
}

type serviceInput struct {
	Service          string `path:"service" maxLength:"64"`
	ExpectedRevision uint64 `query:"expect"`
}

func (s *Server) registerChanges(api huma.API) {
	huma.Put(api, "/v1/text", func(ctx context.Context, in *applyInput) (*changeOutput, error) {
		return s.commitChange(ctx, in.ExpectedRevision, entity.Change{Kind: entity.ChangeApply, Text: string(in.RawBody)})
	}, func(o *huma.Operation) { o.MaxBodyBytes = s.MaxBodyBytes })
	registerNamed := func(path string, kind entity.ChangeKind) {
		huma.Post(api, path, func(ctx context.Context, in *nameInput) (*changeOutput, error) {
			return s.commitChange(ctx, in.ExpectedRevision, entity.Change{Kind: kind, Name: in.Name})
		})
	}
	registerNamed("/v1/data-centres/{name}/take-out", entity.ChangeDataCentreTakeOut)
	registerNamed("/v1/data-centres/{name}/bring-back", entity.ChangeDataCentreBringBack)
	registerNamed("/v1/hosts/{name}/drain", entity.ChangeHostDrain)
	registerNamed("/v1/hosts/{name}/return", entity.ChangeHostReturn)
	huma.Post(api, "/v1/hosts/{name}/evict", func(ctx context.Context, in *nameInput) (*struct{}, error) {
		if err := s.Control.Evict(ctx, in.Name, operatorName(ctx)); err != nil {
			return nil, problemFromError(err)
		}
		return nil, nil
	})
	huma.Post(api, "/v1/services/{service}/rollout/start", func(ctx context.Context, in *rolloutInput) (*changeOutput, error) {
		change := entity.Change{Kind: entity.ChangeRolloutStart, Service: in.Service, To: in.Body.To}
		if in.Body.FinishWithin != "" {
			within, err := time.ParseDuration(in.Body.FinishWithin)
			if err != nil || within <= 0 {
				return nil, problemFromError(failure.NotRun(failure.InvalidRequest, "finish_within is %q, not a positive duration", in.Body.FinishWithin))
			}
			change.FinishWithin = within
		}
		return s.commitChange(ctx, in.ExpectedRevision, change)
	})
	huma.Post(api, "/v1/services/{service}/rollout/undo", func(ctx context.Context, in *serviceInput) (*changeOutput, error) {
		return s.commitChange(ctx, in.ExpectedRevision, entity.Change{Kind: entity.ChangeRolloutUndo, Service: in.Service, Reason: "undone by an operator"})
	})
}

func (s *Server) commitChange(ctx context.Context, expectedRevision uint64, change entity.Change) (*changeOutput, error) {
	change.Operator = operatorName(ctx)
	result, err := s.Control.Change(ctx, change, expectedRevision)
	if err != nil {
		return nil, problemFromError(err)
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
			return nil, problemFromError(failure.New(failure.NotFound, "change %q not found: it does not exist or is no longer in the change log", in.ID))
		}
		return &changeOutput{Body: result}, nil
	})
	huma.Get(api, "/v1/timeline", s.handleTimeline)
	sse.Register(api, huma.Operation{OperationID: "watch", Method: http.MethodGet, Path: "/v1/watch", Summary: "Stream the change log"},
		map[string]any{"change": entity.Change{}}, s.handleWatch)
}

func (s *Server) handleTimeline(ctx context.Context, in *timelineInput) (*timelineOutput, error) {
	query := TimelineQuery{Request: in.Request, Kind: in.Kind}
	if in.Since != "" {
		since, err := time.ParseDuration(in.Since)
		if err != nil || since < 0 {
			return nil, problemFromError(failure.NotRun(failure.InvalidRequest, "since is %q, not a duration", in.Since))
		}
		query.Since = since
	}
	out := &timelineOutput{}
	out.Body.Events, out.Body.Missing = s.Control.Timeline(ctx, query)
	return out, nil
}

type watchInput struct {
	AfterRevision uint64 `query:"after" doc:"last revision that the caller has seen"`
}

func (s *Server) handleWatch(ctx context.Context, in *watchInput, send sse.Sender) {
	_ = s.Control.Watch(ctx, in.AfterRevision, func(change entity.Change) error {
		return send(sse.Message{ID: int(change.Revision), Data: change})
	})
}
