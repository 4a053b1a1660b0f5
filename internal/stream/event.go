// Package stream defines the server-sent events of a token stream, their event
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

// The event names of a stream.
const (
	EventStart    = "start"
	EventToken    = "token"
	EventRestart  = "restart"
	EventHandover = "handover"
	EventError    = "error"
	EventDone     = "done"
)

// maxEventIDBytes is the maximum length of a Last-Event-ID header.
const maxEventIDBytes = 256

// EventID identifies one token of a generation. Offset is the index of the token, from 0.
type EventID struct {
	Generation string
	Offset     int
}

// String returns the form GENERATION:OFFSET that callers send in the Last-Event-ID header.
func (id EventID) String() string { return id.Generation + ":" + strconv.Itoa(id.Offset) }

// ParseEventID parses the value of a Last-Event-ID header.
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

// StartData is the data of a start event. ResumeToken resumes the generation on another
// connection.
type StartData struct {
	Request     string `json:"request"`
	Generation  string `json:"generation"`
	ResumeToken string `json:"resume_token"`
}

// TokenData is the data of a token event.
type TokenData struct {
	Text string `json:"text"`
}

// RestartData is the data of a restart event. Voided is the generation whose tokens the
// caller must discard.
type RestartData struct {
	Voided string `json:"voided"`
}

// HandoverData is the data of a handover event, which asks the caller to resume the stream
// at one of Hosts.
type HandoverData struct {
	ResumeToken string   `json:"resume_token"`
	Hosts       []string `json:"hosts"`
}

// DoneData is the data of a done event, which ends a complete response.
type DoneData struct {
	Generation string `json:"generation"`
	Tokens     int    `json:"tokens"`
	Finish     string `json:"finish"`
}

// Writer writes server-sent events to one response. It is not safe for concurrent use.
type Writer struct {
	response     http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	buffer       bytes.Buffer
	started      bool
}

// NewWriter returns a Writer. A write fails if the caller does not accept it within
// writeTimeout; 0 means no limit.
func NewWriter(w http.ResponseWriter, writeTimeout time.Duration) *Writer {
	return &Writer{response: w, controller: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Started reports whether the response header has been sent.
func (w *Writer) Started() bool { return w.started }

// WriteToken writes one token event. It builds the event in the buffer without
// intermediate strings, because it runs for every token.
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
	w.buffer.WriteByte('\n') // the encoder has already ended the data line
	return w.send()
}

// WriteEvent writes an event without an identifier, so that the caller's Last-Event-ID
// still identifies the last token.
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

// WriteKeepAlive writes an SSE comment, which shows a waiting caller that the connection is
// alive.
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
		// The error is ignored: a response recorder in tests supports no deadlines, and the
		// write below reports errors of the connection.
		_ = w.controller.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	}
	if _, err := w.response.Write(w.buffer.Bytes()); err != nil {
		return err
	}
	return w.controller.Flush()
}
