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

// maxEventBytes bounds one line of a stream. An event has its data on one line.
const maxEventBytes = 4 << 20

// errHandedOver reports that the host has handed the stream over to another host.
var errHandedOver = errors.New("stream was handed over")

// streamReader collects one answer from a stream, which may span several connections. It
// is not safe for concurrent use.
type streamReader struct {
	client        *Client
	request       Request
	address       string
	hostAddresses []string
	sentAt        time.Time
	lastTokenAt   time.Time
	startData     stream.StartData
	lastEventID   string
	answer        Answer
}

// readAnswer reads the stream to its end. It resumes the stream when the connection
// breaks.
func (r *streamReader) readAnswer(ctx context.Context, response *http.Response) (*Answer, error) {
	for {
		done, err := r.readConnection(response)
		if done {
			return &r.answer, nil
		}
		var refusal *Refusal
		if errors.As(err, &refusal) || errors.Is(err, ErrIncomplete) || ctx.Err() != nil || r.startData.ResumeToken == "" {
			return &r.answer, err
		}
		if response, err = r.resumeStream(ctx, err); err != nil {
			return &r.answer, err
		}
		r.answer.Resumes++
	}
}

// resumeStream resumes the stream at the first host that accepts it. It tries the known
// hosts in turn, beginning with the previous host, or after a handover with the hosts
// that the handover named.
func (r *streamReader) resumeStream(ctx context.Context, cause error) (*http.Response, error) {
	if !errors.Is(cause, errHandedOver) {
		r.hostAddresses = append([]string{r.address}, r.hostAddresses...)
	}
	err := cause
	for i := range maxResumeAttempts {
		if i > 0 {
			select {
			case <-ctx.Done():
				return nil, err
			case <-time.After(resumeRetryInterval):
			}
		}
		address := r.hostAddresses[i%len(r.hostAddresses)]
		var response *http.Response
		if response, err = r.client.resume(ctx, address, r.startData, r.lastEventID); err == nil {
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

// readConnection handles the events of one connection. It returns true after the done
// event.
func (r *streamReader) readConnection(response *http.Response) (bool, error) {
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
				if done, err := r.handleEvent(event, id, data); done || err != nil {
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

func (r *streamReader) handleEvent(event, id, data string) (done bool, err error) {
	switch event {
	case stream.EventStart:
		return false, r.handleStart(data)
	case stream.EventToken:
		return false, r.handleToken(id, data)
	case stream.EventRestart:
		r.answer.Restarts++
		r.answer.Tokens, r.lastEventID, r.startData = nil, "", stream.StartData{}
		return false, nil
	case stream.EventHandover:
		return false, r.handleHandover(data)
	case stream.EventError:
		var body failure.Body
		if err := json.Unmarshal([]byte(data), &body); err != nil {
			return false, err
		}
		return false, &Refusal{body.Error}
	case stream.EventDone:
		return r.handleDone(data)
	}
	return false, nil
}

func (r *streamReader) handleStart(data string) error {
	var start stream.StartData
	if err := json.Unmarshal([]byte(data), &start); err != nil {
		return err
	}
	if r.startData.Generation != "" && r.startData.Generation != start.Generation {
		return fmt.Errorf("%w: generation %s follows %s without a restart", ErrIncomplete, start.Generation, r.startData.Generation)
	}
	r.startData, r.answer.Generation = start, start.Generation
	return nil
}

func (r *streamReader) handleToken(id, data string) error {
	eventID, err := stream.ParseEventID(id)
	if err != nil {
		return err
	}
	if eventID.Generation != r.answer.Generation || eventID.Offset != len(r.answer.Tokens) {
		return fmt.Errorf("%w: token %s came after %d tokens of generation %s", ErrIncomplete, id, len(r.answer.Tokens), r.answer.Generation)
	}
	var token stream.TokenData
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return err
	}
	now := time.Now()
	if r.lastTokenAt.IsZero() {
		r.answer.TimeToFirstToken = now.Sub(r.sentAt)
	} else {
		r.answer.TokenIntervals = append(r.answer.TokenIntervals, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt, r.lastEventID = now, id
	r.answer.Tokens = append(r.answer.Tokens, token.Text)
	if r.request.OnToken != nil {
		r.request.OnToken(token.Text)
	}
	return nil
}

func (r *streamReader) handleHandover(data string) error {
	var handover stream.HandoverData
	if err := json.Unmarshal([]byte(data), &handover); err != nil {
		return err
	}
	r.startData.ResumeToken = handover.ResumeToken
	r.hostAddresses = append(append([]string{}, handover.Hosts...), r.hostAddresses...)
	return errHandedOver
}

func (r *streamReader) handleDone(data string) (bool, error) {
	var doneData stream.DoneData
	if err := json.Unmarshal([]byte(data), &doneData); err != nil {
		return false, err
	}
	if doneData.Generation != r.answer.Generation || doneData.Tokens != len(r.answer.Tokens) {
		return false, fmt.Errorf("%w: the host announced %d tokens of generation %s, but %d of generation %s were received",
			ErrIncomplete, doneData.Tokens, doneData.Generation, len(r.answer.Tokens), r.answer.Generation)
	}
	return true, nil
}
