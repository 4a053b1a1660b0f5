package peer

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// codeFailure is the JSON-RPC error code of errors whose data is a wireFailure.
const codeFailure = -32000

// wireFailure holds the fields of a failure.Error in the data of a JSON-RPC error;
// the message of the JSON-RPC error holds its message.
type wireFailure struct {
	Kind   failure.Kind `json:"kind"`
	NotRun bool         `json:"not_run,omitempty"`
	Host   string       `json:"host,omitempty"`
}

func encodeError(err error) *jsonrpc2.Error {
	f := failure.From(err)
	out := &jsonrpc2.Error{Code: codeFailure, Message: f.Message()}
	out.SetError(wireFailure{Kind: f.Kind(), NotRun: f.NotRun(), Host: f.Host()})
	return out
}

// decodeError returns the failure that the other end reported. An error without a
// wireFailure becomes failure.Internal.
func decodeError(err *jsonrpc2.Error) error {
	var w wireFailure
	if err.Code != codeFailure || err.Data == nil || json.Unmarshal(*err.Data, &w) != nil || w.Kind == "" {
		return failure.New(failure.Internal, "%s", err.Message)
	}
	f := failure.New(w.Kind, "%s", err.Message)
	if w.NotRun {
		f = failure.NotRun(w.Kind, "%s", err.Message)
	}
	if w.Host != "" {
		f = f.WithHost(w.Host)
	}
	return f
}

// asRPCError returns the JSON-RPC error in err's chain, which the other end reported,
// or nil.
func asRPCError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
