package operatorapi

import (
	"encoding/json"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// problemBody is a typed failure that huma can return as an error response.
type problemBody struct {
	failure.Body
	status int
}

// Error returns the message and the remedy of the failure.
func (p *problemBody) Error() string { return p.Body.Error.Message + ": " + p.Body.Error.Remedy }

// GetStatus implements huma.StatusError.
func (p *problemBody) GetStatus() int { return p.status }

// init makes huma return its own errors, such as failed input validation, as typed
// failures.
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
