package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sync"
	"time"
)

// maxOpenArrivals bounds the memory of a Writer: arrivals beyond it are dropped
// and counted. A daemon serves far fewer requests concurrently.
const maxOpenArrivals = 1 << 16

var (
	errClosed         = errors.New("trace writer is closed")
	errUnknownRequest = errors.New("trace writer holds no open arrival with this id")
)

// Writer writes a trace. Its methods are safe for concurrent use. Output is
// buffered; an event may be lost when the process dies before Flush. Close
// flushes, but does not close the underlying writer, which its creator closes.
type Writer struct {
	mu           sync.Mutex
	out          *bufio.Writer
	openArrivals map[string]Event
	dropped      int
	err          error // the first write error or errClosed; later calls return it
}

// NewWriter writes the header and returns a writer for the events. A header
// without a version or an order gets FormatVersion and OrderCompletion.
func NewWriter(out io.Writer, h Header) (*Writer, error) {
	if h.Version == 0 {
		h.Version = FormatVersion
	}
	if h.Order == "" {
		h.Order = OrderCompletion
	}
	w := &Writer{out: bufio.NewWriterSize(out, 64<<10), openArrivals: map[string]Event{}}
	if err := w.writeLine(h); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *Writer) Write(e Event) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writeLine(e)
}

// RecordArrival retains the arrival of a request whose output length is not known yet, and
// Completed writes it.
func (w *Writer) RecordArrival(at time.Duration, a Arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.openArrivals) >= maxOpenArrivals {
		w.dropped++
		return
	}
	w.openArrivals[a.ID] = Event{AtMS: at.Milliseconds(), Kind: Arrive, Arrival: &a}
}

// RecordCompletion writes the arrival with its output length.
func (w *Writer) RecordCompletion(id string, outputTokens int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.openArrivals[id]
	if !ok {
		return errUnknownRequest
	}
	delete(w.openArrivals, id)
	e.Arrival.OutputTokens = outputTokens
	return w.writeLine(e)
}

// Discard drops an arrival whose output length stays unknown, such as that of a
// refused request.
func (w *Writer) Discard(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.openArrivals, id)
}

// Dropped returns the number of arrivals that were not recorded because too many were open.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Flush writes the buffered events to the underlying writer.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.out.Flush()
	}
	return w.err
}

// Close flushes the buffer. Arrivals that have not completed are not written.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	err := w.out.Flush()
	w.err, w.openArrivals = errClosed, nil
	return err
}

func (w *Writer) writeLine(v any) error {
	if w.err != nil {
		return w.err
	}
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, w.err = w.out.Write(append(text, '\n'))
	return w.err
}

// Encode writes the whole trace with its events sorted by time.
func Encode(out io.Writer, t *Trace) error {
	h := t.Header
	h.Order = OrderTime
	w, err := NewWriter(out, h)
	if err != nil {
		return err
	}
	events := slices.Clone(t.Events)
	slices.SortStableFunc(events, compareTimes)
	for _, e := range events {
		if err := w.Write(e); err != nil {
			return err
		}
	}
	return w.Close()
}

func compareTimes(a, b Event) int { return int(a.AtMS - b.AtMS) }
