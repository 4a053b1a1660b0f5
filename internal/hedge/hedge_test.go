package hedge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func answerAfter(d time.Duration, value string, err error) func(context.Context) (string, error) {
	return func(ctx context.Context) (string, error) {
		select {
		case <-time.After(d):
			return value, err
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// Guards against a call that waits for a silent first try, a second call where the first is in
// time, and an error that hides the answer of the other try.
func TestDo(t *testing.T) {
	failed := errors.New("failed")
	const delay, never = time.Second, time.Hour
	for name, c := range map[string]struct {
		first, second func(context.Context) (string, error)
		value         string
		hedged        bool
		err           error
		after         time.Duration
	}{
		"in time":                      {answerAfter(delay/2, "a", nil), nil, "a", false, nil, delay / 2},
		"silent":                       {answerAfter(never, "", nil), answerAfter(delay/2, "b", nil), "b", true, nil, delay * 3 / 2},
		"slow, but first":              {answerAfter(2*delay, "a", nil), answerAfter(2*delay, "b", nil), "a", false, nil, 2 * delay},
		"fails in time":                {answerAfter(delay/2, "", failed), nil, "", false, failed, delay / 2},
		"second fails":                 {answerAfter(3*delay, "a", nil), answerAfter(delay/2, "", failed), "a", false, nil, 3 * delay},
		"first fails after the second": {answerAfter(3*delay, "", failed), answerAfter(delay/2, "", failed), "", false, failed, 3 * delay},
		"first fails late":             {answerAfter(2*delay, "", failed), answerAfter(2*delay, "b", nil), "b", true, nil, 3 * delay},
		"both silent":                  {answerAfter(never, "", nil), answerAfter(never, "", nil), "", false, context.DeadlineExceeded, 10 * delay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*delay)
				defer cancel()
				startedAt := time.Now()
				value, hedged, err := Do(ctx, delay, c.first, c.second)
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.value, value)
				if err == nil {
					require.Equal(t, c.hedged, hedged)
				}
				require.Equal(t, c.after, time.Since(startedAt))
			})
		})
	}
}
