package operatorapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/auth"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

// fakeControl records the last change, and rejects changes of the name "busy" with a
// conflict.
type fakeControl struct{ lastChange entity.Change }

func (f *fakeControl) Change(_ context.Context, change entity.Change, _ uint64) (ChangeResult, error) {
	f.lastChange = change
	if change.Name == "busy" {
		return ChangeResult{}, failure.NotRun(failure.Conflict, "change x lost to change y")
	}
	return ChangeResult{ID: "c1", Revision: 2, Outcome: OutcomePending}, nil
}
func (*fakeControl) Evict(context.Context, string, string) error { return nil }
func (*fakeControl) Outcome(string) (ChangeResult, bool)         { return ChangeResult{}, false }
func (*fakeControl) Status() Status                              { return Status{Revision: 7} }
func (*fakeControl) Text() (string, uint64)                      { return "version: 1\n", 7 }
func (*fakeControl) CheckReady() error                           { return nil }
func (*fakeControl) Watch(_ context.Context, after uint64, send func(entity.Change) error) error {
	return send(entity.Change{Revision: after + 1, Kind: entity.ChangeDataCentreTakeOut})
}
func (*fakeControl) Timeline(context.Context, TimelineQuery) ([]timeline.Event, []string) {
	return nil, []string{"h2"}
}

func serveRequest(t *testing.T, method, path, key, body string) (*fakeControl, *httptest.ResponseRecorder) {
	t.Helper()
	control := &fakeControl{}
	s := &Server{Control: control, Keys: auth.NewKeys(map[string]string{"ops": "0123456789abcdef"}), MaxBodyBytes: 1024, WriteMetrics: func(http.ResponseWriter) {}}
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return control, w
}

// Guards against an operator path that can be used without a valid key.
func TestEveryPathRequiresKey(t *testing.T) {
	for _, path := range []string{"/v1/status", "/v1/text", "/v1/timeline", "/v1/watch", "/openapi.yaml", "/docs"} {
		_, w := serveRequest(t, "GET", path, "wrong", "")
		require.Equal(t, http.StatusUnauthorized, w.Code, path)
	}
	control, w := serveRequest(t, "POST", "/v1/data-centres/praha-1/take-out", "wrong", "")
	require.Equal(t, http.StatusUnauthorized, w.Code)
	require.Empty(t, control.lastChange.Kind)
}

// Guards against a change that does not name its operator, and against a conflict
// whose kind or remedy is missing in the response.
func TestChangeRecordsOperator(t *testing.T) {
	control, w := serveRequest(t, "POST", "/v1/data-centres/praha-1/take-out", "0123456789abcdef", "")
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	require.Equal(t, entity.Change{Kind: entity.ChangeDataCentreTakeOut, Name: "praha-1", Operator: "ops"}, control.lastChange)
	_, w = serveRequest(t, "POST", "/v1/data-centres/busy/take-out", "0123456789abcdef", "")
	require.Equal(t, http.StatusConflict, w.Code)
	require.Contains(t, w.Body.String(), `"kind":"conflict"`)
	require.Contains(t, w.Body.String(), `"remedy":"`)
}

// Guards against invalid input that reaches the change log.
func TestInvalidInputIsRejected(t *testing.T) {
	for _, body := range []string{"", "{", `{"to":""}`, `{"to":"v2","finish_within":"-3m"}`, `{"to":"v2","x":1}`} {
		control, w := serveRequest(t, "POST", "/v1/services/s/rollout/start", "0123456789abcdef", body)
		require.GreaterOrEqual(t, w.Code, 400, body)
		require.Less(t, w.Code, 500, body)
		require.Empty(t, control.lastChange.Kind, body)
		require.Contains(t, w.Body.String(), `"kind":"invalid-request"`, body)
	}
	_, w := serveRequest(t, "PUT", "/v1/text", "0123456789abcdef", strings.Repeat("x", 2048))
	require.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
}

// Guards against an OpenAPI description that cannot be generated from the types, and
// against a watch stream whose event IDs are not revisions.
func TestOpenAPIDescribesTheInterface(t *testing.T) {
	_, w := serveRequest(t, "GET", "/openapi.yaml", "0123456789abcdef", "")
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Body.String(), "/v1/data-centres/{name}/take-out")
	_, w = serveRequest(t, "GET", "/v1/watch?after=4", "0123456789abcdef", "")
	require.Contains(t, w.Body.String(), "id: 5")
}
