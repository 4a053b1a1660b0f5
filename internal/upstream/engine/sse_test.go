package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	firstChunk  = `data: {"id":"g:0","choices":[{"text":"a"}]}` + "\n\n"
	secondChunk = `data: {"id":"g:1","choices":[{"text":"b","finish_reason":"stop"}]}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

func parseTexts(input, generation string, offset int) (out []string, err error) {
	p := newParser(strings.NewReader(input), generation, offset)
	for {
		t, err := p.nextToken()
		if err != nil {
			return out, err
		}
		out = append(out, t.Text)
	}
}

// Guards against accepting a stream with repeated or missing tokens or with tokens of
// another generation.
func TestParserAcceptsOnlyTheNextToken(t *testing.T) {
	got, err := parseTexts(": note\r\n\r\n"+firstChunk+secondChunk+doneEvent, "", 0)
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, []string{"a", "b", ""}, got)
	for name, input := range map[string]string{
		"duplicate":            firstChunk + firstChunk,
		"missing":              firstChunk + strings.Replace(secondChunk, "g:1", "g:2", 1),
		"another generation":   firstChunk + strings.Replace(secondChunk, "g:1", "h:1", 1),
		"no identifier":        firstChunk + `data: {"choices":[{"text":"b"}]}` + "\n\n",
		"no choice":            firstChunk + `data: {"id":"g:1"}` + "\n\n",
		"not JSON":             firstChunk + "data: {\n\n",
		"end too early":        firstChunk + doneEvent,
		"event too large":      firstChunk + "data: " + strings.Repeat("x", maxEventBytes) + "\n\n",
		"large event in lines": firstChunk + strings.Repeat("data: "+strings.Repeat("x", 1024)+"\n", 300) + "\n",
	} {
		got, err := parseTexts(input, "g", 0)
		assert.ErrorIs(t, err, upstream.ErrLost, name)
		assert.Equal(t, []string{"a"}, got, name)
	}
	_, err = parseTexts(firstChunk, "g", 1)
	assert.ErrorIs(t, err, ErrProtocol)
}

// Guards against a malformed stream that makes the parser panic, end without an
// error or yield a token out of order.
func FuzzParser(f *testing.F) {
	f.Add([]byte(firstChunk+secondChunk+doneEvent), "", 0)
	f.Add([]byte(firstChunk+firstChunk), "g", 0)
	f.Add([]byte("data: {\"id\":\"g:-1\",\"choices\":[{}]}\r\ndata:x\n\n: c\n\n"), "g", 7)
	f.Fuzz(func(t *testing.T, input []byte, generation string, offset int) {
		p := newParser(strings.NewReader(string(input)), generation, offset)
		next, ended := offset, false
		for {
			token, err := p.nextToken()
			if errors.Is(err, io.EOF) && ended {
				return
			}
			if err != nil {
				require.ErrorIs(t, err, upstream.ErrLost)
				require.False(t, ended)
				return
			}
			require.False(t, ended)
			require.Equal(t, next, token.Offset)
			if generation != "" {
				require.Equal(t, generation, token.Generation)
			}
			generation = token.Generation
			next++
			ended = token.Done
		}
	})
}

// pipeTransport returns a response whose body is the read side of a pipe. The pipe breaks
// when the request's context ends.
type pipeTransport struct{ body *io.PipeReader }

func (p pipeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	context.AfterFunc(r.Context(), func() { _ = p.body.CloseWithError(r.Context().Err()) })
	return &http.Response{StatusCode: http.StatusOK, Body: p.body, Request: r}, nil
}

// Guards against a stream that blocks forever because its engine sends nothing, and
// against a timeout that counts the time in which the reader does not read.
func TestTokenTimeoutLosesStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		c := New(Settings{TokenTimeout: 5 * time.Second, HTTP: &http.Client{Transport: pipeTransport{reader}}})
		s, err := c.Generate(t.Context(), "192.0.2.1:1", upstream.GenerateRequest{RequestID: "r"})
		require.NoError(t, err)
		defer func() { _ = s.Close() }()
		time.Sleep(time.Minute) // longer than the token timeout, but the reader does not wait for a token
		go func() { _, _ = io.WriteString(writer, firstChunk) }()
		_, err = s.Next()
		require.NoError(t, err)
		startedAt := time.Now()
		_, err = s.Next()
		assert.ErrorIs(t, err, upstream.ErrLost)
		assert.ErrorIs(t, err, errTokenTimeout)
		assert.Equal(t, 5*time.Second, time.Since(startedAt))
		_, err = s.Next()
		assert.ErrorIs(t, err, upstream.ErrLost)
	})
}
