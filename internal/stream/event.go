// Package stream defines the server-sent events of a generation, the event
// identifiers and the resume tokens.
package stream

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// The names of the events of a stream.
const (
	EventStart    = "start"
	EventToken    = "token"
	EventRestart  = "restart"
	EventHandover = "handover"
	EventError    = "error"
	EventDone     = "done"
)

// maxEventIDBytes bounds a Last-Event-ID header before it is parsed.
const maxEventIDBytes = 256

// EventID identifies one token: Offset counts the tokens of Generation from 0.
type EventID struct {
	Generation string
	Offset     int
}

// String returns the form that callers send back in Last-Event-ID.
func (id EventID) String() string { return id.Generation + ":" + strconv.Itoa(id.Offset) }

// ParseEventID reads a Last-Event-ID header.
func ParseEventID(text string) (EventID, error) {
	i := strings.LastIndexByte(text, ':')
	if i <= 0 || len(text) > maxEventIDBytes {
		return EventID{}, failure.NotRun(failure.InvalidRequest, "Last-Event-ID %.40q is not GENERATION:OFFSET", text)
	}
	offset, err := strconv.Atoi(text[i+1:])
	if err != nil || offset < 0 {
		return EventID{}, failure.NotRun(failure.InvalidRequest, "Last-Event-ID %.40q has no valid offset", text)
	}
	return EventID{Generation: text[:i], Offset: offset}, nil
}

// StartData announces a generation and the token that resumes it.
type StartData struct {
	Request     string `json:"request"`
	Generation  string `json:"generation"`
	ResumeToken string `json:"resume_token"`
}

// TokenData carries one token.
type TokenData struct {
	Text string `json:"text"`
}

// RestartData voids all tokens of a generation.
type RestartData struct {
	Voided string `json:"voided"`
}

// HandoverData tells the caller to resume at another host.
type HandoverData struct {
	ResumeToken string   `json:"resume_token"`
	Hosts       []string `json:"hosts"`
}

// DoneData ends a complete answer.
type DoneData struct {
	Generation string `json:"generation"`
	Tokens     int    `json:"tokens"`
	Finish     string `json:"finish"`
}

// Writer writes server-sent events to one response. It is used by one goroutine.
type Writer struct {
	response     http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	buffer       bytes.Buffer
	started      bool
}

// NewWriter returns a Writer whose writes fail when the caller reads nothing for timeout.
func NewWriter(w http.ResponseWriter, writeTimeout time.Duration) *Writer {
	return &Writer{response: w, control: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Started reports whether the response header was sent.
func (w *Writer) Started() bool { return w.started }

// WriteToken writes one token event. This is the hot path: it makes no intermediate value.
func (w *Writer) WriteToken(id EventID, text string) error {
	w.buffer.Reset()
	w.buffer.WriteString("id: ")
	w.buffer.WriteString(id.Generation)
	w.buffer.WriteByte(':')
	w.buffer.Write(strconv.AppendInt(w.buffer.AvailableBuffer(), int64(id.Offset), 10))
	w.buffer.WriteString("\nevent: token\ndata: ")
	if err := w.encode(TokenData{Text: text}); err != nil {
		return err
	}
	w.buffer.WriteByte('\n') // the encoder ended the data line
	return w.send()
}

// WriteEvent writes an event without an identifier, so that Last-WriteEvent-ID keeps naming the last token.
func (w *Writer) WriteEvent(name string, data any) error {
	w.buffer.Reset()
	w.buffer.WriteString("event: ")
	w.buffer.WriteString(name)
	w.buffer.WriteString("\ndata: ")
	if err := w.encode(data); err != nil {
		return err
	}
	w.buffer.WriteByte('\n')
	return w.send()
}

// WriteKeepAlive writes a comment, so that a caller that waits sees a live connection.
func (w *Writer) WriteKeepAlive() error {
	w.buffer.Reset()
	w.buffer.WriteString(": waiting\n\n")
	return w.send()
}

func (w *Writer) encode(data any) error {
	encoder := json.NewEncoder(&w.buffer)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(data)
}

func (w *Writer) send() error {
	if !w.started {
		header := w.response.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		w.response.WriteHeader(http.StatusOK)
		w.started = true
	}
	if w.writeTimeout > 0 {
		// A recorder in tests has no deadline; the write below still reports real errors.
		_ = w.control.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	}
	if _, err := w.response.Write(w.buffer.Bytes()); err != nil {
		return err
	}
	return w.control.Flush()
}
