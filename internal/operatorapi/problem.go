package operatorapi

import (
	"encoding/json"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// problemBody makes a typed failure the body of a huma error answer.
type problemBody struct {
	failure.Body
	status int
}

// Error returns the message with the remedy.
func (p *problemBody) Error() string { return p.Body.Error.Message + ": " + p.Body.Error.Remedy }

// GetStatus returns the HTTP status.
func (p *problemBody) GetStatus() int { return p.status }

// init makes huma's own refusals, such as input of the wrong form, typed failures.
func init() { huma.NewError = newHumaError }

func newHumaError(status int, message string, causes ...error) huma.StatusError {
	kind := failure.InvalidRequest
	switch {
	case status == http.StatusNotFound:
		kind = failure.NotFound
	case status == http.StatusRequestEntityTooLarge:
		kind = failure.BodyTooLarge
	case status >= http.StatusInternalServerError:
		kind = failure.Internal
	}
	for _, cause := range causes {
		message += "; " + cause.Error()
	}
	return &problemBody{Body: failure.NotRun(kind, "%s", message).Body(""), status: status}
}

func problemFromError(err error) error {
	f := failure.From(err)
	return &problemBody{Body: f.Body(""), status: f.Status()}
}

func writeFailure(w http.ResponseWriter, err error) {
	f := failure.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(f.Body(""))
}
