package guard

import (
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
)

// Guards against a panic in a task that ends the process or leaves no trace in the log.
func TestPanicIsLogged(t *testing.T) {
	var logged string
	log := funcr.New(func(_, args string) { logged += args }, funcr.Options{})
	before := Recovered()
	require.True(t, Run(log, "sound", func() {}))
	require.Empty(t, logged)
	require.False(t, Run(log, "merge", func() { panic("index out of range") }))
	require.Contains(t, logged, "merge")
	require.Contains(t, logged, "index out of range")
	require.Contains(t, logged, "guard_test.go")
	require.Equal(t, before+1, Recovered())
}
