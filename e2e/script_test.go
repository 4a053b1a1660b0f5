package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// addressVariables are the environment variables of a script that hold free addresses.
var addressVariables = []string{"TABLE", "ENGINE", "PLAIN", "CALLER1", "OPERATOR1", "PEER1", "CALLER2", "OPERATOR2", "PEER2"}

// TestScripts runs the programs as an operator does, as separate processes. It
// guards against unintended changes of command lines, outputs and exit statuses.
func TestScripts(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for _, name := range addressVariables {
				env.Setenv(name, freeAddress(t))
			}
			env.Setenv("GORACE", "exitcode=66 halt_on_error=1")
			return expandFiles(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"retry": retry},
	})
}

// expandFiles expands variables in files with the suffix .in and writes them without it.
func expandFiles(env *testscript.Env) error {
	templates, err := filepath.Glob(filepath.Join(env.WorkDir, "*.in"))
	if err != nil {
		return err
	}
	for _, file := range templates {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		text := os.Expand(string(data), env.Getenv)
		if err := os.WriteFile(strings.TrimSuffix(file, ".in"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// retry runs a command until it succeeds.
func retry(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: retry command [args]")
	}
	deadline := time.Now().Add(waitTimeout)
	for ts.Exec(args[0], args[1:]...) != nil {
		if time.Now().After(deadline) {
			ts.Fatalf("did not succeed within %v: %v", waitTimeout, args)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
