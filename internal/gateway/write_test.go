package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deadlineRecorder records what is written under each write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	writes []int
}

func (r *deadlineRecorder) SetWriteDeadline(time.Time) error {
	r.writes = append(r.writes, 0)
	return nil
}

func (r *deadlineRecorder) Write(b []byte) (int, error) {
	r.writes[len(r.writes)-1] += len(b)
	return r.ResponseRecorder.Write(b)
}

// Guards against callers that read nothing of a long response, which is held until they do.
func TestLongResponsesAreWrittenUnderDeadlines(t *testing.T) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	body := bytes.Repeat([]byte("x"), 3*responsePieceBytes+1)
	c := &call{w: w}
	c.writeResponse(&bufferedResponse{http.StatusOK, http.Header{"X-Odd": {"1"}}, body})
	require.Equal(t, body, w.Body.Bytes())
	require.Equal(t, []int{responsePieceBytes, responsePieceBytes, responsePieceBytes, 1}, w.writes)
}
