// Package asynclog writes log lines without ever blocking those who log.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait; further ones are dropped and counted.
const maxQueuedLines = 1024

// Writer passes lines on to another writer from a goroutine of its own. It is safe
// for concurrent use; its owner calls Close.
type Writer struct {
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
}

// New returns a writer that passes lines on to w.
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
		// There is nowhere to report a failed write of the log to.
		_, _ = w.Write(line)
	}
}

// Write queues one line; it never fails and never waits.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// Close writes what is queued.
func (l *Writer) Close() {
	l.closeOnce.Do(func() { l.lines <- nil })
	<-l.done
}
