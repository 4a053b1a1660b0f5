package callerclient

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/stream"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 4 << 20

// errMove reports that the stream continues at another host.
var errMove = errors.New("stream was handed over")

// reader collects one answer over all its connections. It is used by one goroutine.
type reader struct {
	client  *Client
	request Request
	address string
	hosts   []string
	sentAt  time.Time
	lastAt  time.Time
	start   stream.StartData
	lastID  string
	answer  Answer
}

// run reads the stream and continues it when its connection breaks.
func (r *reader) run(ctx context.Context, response *http.Response) (*Answer, error) {
	for {
		done, err := r.read(response)
		if done {
			return &r.answer, nil
		}
		var refusal *Refusal
		if errors.As(err, &refusal) || errors.Is(err, ErrIncomplete) || ctx.Err() != nil || r.start.ResumeToken == "" {
			return &r.answer, err
		}
		if response, err = r.reopen(ctx, err); err != nil {
			return &r.answer, err
		}
		r.answer.Resumes++
	}
}

// reopen continues the stream at the first host that can.
func (r *reader) reopen(ctx context.Context, cause error) (*http.Response, error) {
	if !errors.Is(cause, errMove) {
		r.hosts = append([]string{r.address}, r.hosts...)
	}
	err := cause
	for i := range resumeAttempts {
		if i > 0 {
			select {
			case <-ctx.Done():
				return nil, err
			case <-time.After(resumePause):
			}
		}
		address := r.hosts[i%len(r.hosts)]
		var response *http.Response
		if response, err = r.client.resume(ctx, address, r.start, r.lastID); err == nil {
			r.address = address
			return response, nil
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Kind == failure.GenerationLost {
			return nil, err
		}
	}
	return nil, err
}

// read reads one connection. It returns true after the done event.
func (r *reader) read(response *http.Response) (bool, error) {
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	var id, event, data string
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			data = value
		case "":
			if event != "" {
				if done, err := r.event(event, id, data); done || err != nil {
					return done, err
				}
			}
			id, event, data = "", "", ""
		}
	}
	if err := scanner.Err(); err != nil {
		return false, err
	}
	return false, io.ErrUnexpectedEOF
}

func (r *reader) event(event, id, data string) (done bool, err error) {
	switch event {
	case stream.EventStart:
		return false, r.started(data)
	case stream.EventToken:
		return false, r.token(id, data)
	case stream.EventRestart:
		r.answer.Restarts++
		r.answer.Tokens, r.lastID, r.start = nil, "", stream.StartData{}
		return false, nil
	case stream.EventHandover:
		return false, r.handover(data)
	case stream.EventError:
		var body failure.Body
		if err := json.Unmarshal([]byte(data), &body); err != nil {
			return false, err
		}
		return false, &Refusal{body.Error}
	case stream.EventDone:
		return r.done(data)
	}
	return false, nil
}

func (r *reader) started(data string) error {
	var start stream.StartData
	if err := json.Unmarshal([]byte(data), &start); err != nil {
		return err
	}
	if r.start.Generation != "" && r.start.Generation != start.Generation {
		return fmt.Errorf("%w: generation %s follows %s without a restart", ErrIncomplete, start.Generation, r.start.Generation)
	}
	r.start, r.answer.Generation = start, start.Generation
	return nil
}

func (r *reader) token(id, data string) error {
	parsed, err := stream.ParseEventID(id)
	if err != nil {
		return err
	}
	if parsed.Generation != r.answer.Generation || parsed.Offset != len(r.answer.Tokens) {
		return fmt.Errorf("%w: token %s came after %d tokens of generation %s", ErrIncomplete, id, len(r.answer.Tokens), r.answer.Generation)
	}
	var token stream.TokenData
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return err
	}
	now := time.Now()
	if r.lastAt.IsZero() {
		r.answer.FirstToken = now.Sub(r.sentAt)
	} else {
		r.answer.Gaps = append(r.answer.Gaps, now.Sub(r.lastAt))
	}
	r.lastAt, r.lastID = now, id
	r.answer.Tokens = append(r.answer.Tokens, token.Text)
	if r.request.OnToken != nil {
		r.request.OnToken(token.Text)
	}
	return nil
}

func (r *reader) handover(data string) error {
	var move stream.HandoverData
	if err := json.Unmarshal([]byte(data), &move); err != nil {
		return err
	}
	r.start.ResumeToken = move.ResumeToken
	r.hosts = append(append([]string{}, move.Hosts...), r.hosts...)
	return errMove
}

func (r *reader) done(data string) (bool, error) {
	var done stream.DoneData
	if err := json.Unmarshal([]byte(data), &done); err != nil {
		return false, err
	}
	if done.Generation != r.answer.Generation || done.Tokens != len(r.answer.Tokens) {
		return false, fmt.Errorf("%w: %d tokens of generation %s were announced, %d of %s were received",
			ErrIncomplete, done.Tokens, done.Generation, len(r.answer.Tokens), r.answer.Generation)
	}
	return true, nil
}
