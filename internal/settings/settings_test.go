package settings

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
)

const validText = `
host: {name: h1, data-centre: praha-1}
listen: {caller: "127.0.0.1:1", operator: "127.0.0.1:2", peer: "127.0.0.1:3"}
platform: {table: memory}
keys:
  resume: 0123456789abcdef
  peer: 0123456789abcdef
  operators: {ops: 0123456789abcdef}
  accounts: {guides: 0123456789abcdef}
`

// Guards against a validation that stops at the first error, so that operators need one
// restart for each error.
func TestParseReportsAllErrorsAtOnce(t *testing.T) {
	_, err := Parse("s.yaml", []byte(`
host: {name: "", data-centre: praha-1}
listen: {caller: "nonsense", operator: "127.0.0.1:2", peer: "127.0.0.1:3"}
platform: {table: dynamo}
keys: {resume: short, peer: 0123456789abcdef, operators: {ops: 0123456789abcdef}, accounts: {a: 0123456789abcdef}}
`))
	require.True(t, failure.Is(err, failure.InvalidSettings))
	for _, want := range []string{"s.yaml:2: host.name", "s.yaml:3: listen.caller", "platform.table-url", "s.yaml:5: keys.resume"} {
		require.ErrorContains(t, err, want)
	}
	require.NotContains(t, err.Error(), "short")
}

func TestParseAcceptsDefaults(t *testing.T) {
	s, err := Parse("s.yaml", []byte(validText))
	require.NoError(t, err)
	require.Equal(t, Default().Limits, s.Limits)
}

func TestExampleIsValid(t *testing.T) {
	_, err := Load("../../examples/host.yaml")
	require.NoError(t, err)
}

// Guards against a misspelt setting that is silently ignored.
func TestParseRefusesUnknownField(t *testing.T) {
	_, err := Parse("s.yaml", []byte(validText+"\nlimit: {}\n"))
	require.ErrorContains(t, err, "limit")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte("host: [1, 2"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("s.yaml", data)
		if (s == nil) == (err == nil) {
			t.Fatal("exactly one of settings and error must be set")
		}
	})
}
