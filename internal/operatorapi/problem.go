package operatorapi

import (
	"encoding/json"
	"net/http"

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

func problem(err error) error {
	f := failure.From(err)
	return &problemBody{Body: f.Body(""), status: f.Status()}
}

func writeFailure(w http.ResponseWriter, err error) {
	f := failure.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(f.Body(""))
}
