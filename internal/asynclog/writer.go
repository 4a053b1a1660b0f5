// Package asynclog writes log lines without blocking the goroutines that log.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines limits the queued lines; further lines are dropped and counted.
const maxQueuedLines = 1024

// Writer queues lines and writes them to another writer in its own goroutine. It is
// safe for concurrent use. Its owner must call Close.
type Writer struct {
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
}

// New returns a Writer that writes to w.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.writeQueued(w)
	return l
}

func (l *Writer) writeQueued(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		if line == nil {
			return
		}
		// A failed write is ignored, because there is nowhere to report it.
		_, _ = w.Write(line)
	}
}

// Write queues a copy of one line. It never blocks and never returns an error.
func (l *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 { // a nil line in the queue stops the goroutine
		return 0, nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write may be called later,
// but its lines are not written.
func (l *Writer) Close() {
	l.closeOnce.Do(func() { l.lines <- nil })
	<-l.done
}
