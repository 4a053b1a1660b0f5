// Package guard keeps a panic in one task, such as handling one message, from ending the
// process.
package guard

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

var recovered atomic.Uint64

// Recovered returns the number of panics that Run has recovered in this process.
func Recovered() uint64 { return recovered.Load() }

// Run calls f and reports whether it returned. A panic is logged with its stack; the
// task's work is lost, so f must leave shared state usable, for example by deferred unlocks.
func Run(log logr.Logger, task string, f func()) (returned bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		recovered.Add(1)
		stack := debug.Stack()
		log.Error(fmt.Errorf("%v", p), "task panicked; its work is lost and the process goes on", "task", task, "stack", string(stack[:min(len(stack), maxStackBytes)]))
	}()
	f()
	return true
}
