package servicetext

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
)

const baseText = `version: 1
data-centres: [dc-1]
pools:
  - name: engines
    kind: engine
    data-centre: dc-1
    limits: {cold-requests: 2, max-requests: 4}
    upstreams:
      - {name: e1, address: 10.0.0.1:9001}
      - {name: e2, address: 10.0.0.2:9001}
  - name: plain
    kind: plain
    data-centre: dc-1
    upstreams:
      - {name: p1, address: 10.0.0.3:9001}
services:
  - name: a
    depends-on: [b]
    versions:
      - {name: v1, model: m, pools: [engines], share: 100}
  - name: b
    repeatable: false
    priority: 5
    deadline: 60s
    rollout: {finish-within: 30m, max-error-increase: 0.02}
    versions:
      - {name: v1, pools: [plain]}
accounts:
  - {name: guides, share: 3}
`

// Each case guards against accepting an invalid text, and against reporting its problem
// with a wrong line or path.
func TestParseReportsEachProblem(t *testing.T) {
	cases := []struct {
		old, new string
		line     int
		path     string
		message  string
	}{
		{"version: 1", "version: 2", 1, "version", "out of range"},
		{"version: 1", "version: 1\nextra: 3", 2, "extra", "unknown field"},
		{"version: 1", "version: 1\nversion: 1", 2, "version", "repeats a field"},
		{"[dc-1]", "[dc-1, dc-1]", 2, "data-centres[1]", "name of another data centre in line 2"},
		{"[dc-1]", "dc-1", 2, "data-centres", "not a list"},
		{"kind: engine", "kind: motor", 5, "pools[0].kind", "not a known value"},
		{"data-centre: dc-1\n    limits", "data-centre: dc-2\n    limits", 6, "pools[0].data-centre", "not a listed data centre"},
		{"cold-requests: 2", "cold-requests: 5", 7, "pools[0].limits.cold-requests", "above max-requests 4"},
		{"cold-requests: 2", "cold-requests: 0", 7, "pools[0].limits.cold-requests", "out of range"},
		{"max-requests: 4", "max-requests: -1", 7, "pools[0].limits.max-requests", "out of range"},
		{"max-requests: 4", "max-requests: many", 7, "pools[0].limits.max-requests", "not a whole number"},
		{"max-requests: 4", "memory-tokens: 511", 7, "pools[0].limits.memory-tokens", "out of range"},
		{"max-requests: 4", "target-step: 11s", 7, "pools[0].limits.target-step", "out of range"},
		{"max-requests: 4", "target-step: 999us", 7, "pools[0].limits.target-step", "out of range"},
		{"max-requests: 4", "target-step: 62", 7, "pools[0].limits.target-step", "not a duration"},
		{"10.0.0.1:9001", "engine-1:9001", 9, "pools[0].upstreams[0].address", "not an IP address and port"},
		{"10.0.0.1:9001", "10.0.0.1", 9, "pools[0].upstreams[0].address", "not an IP address and port"},
		{"10.0.0.2:9001", "'[::ffff:10.0.0.1]:9001'", 10, "pools[0].upstreams[1].address", "another upstream in line 9"},
		{"name: p1", "name: e1", 15, "pools[1].upstreams[0].name", "name of another upstream in line 9"},
		{"services:", "  - {name: engines, kind: plain, data-centre: dc-1, upstreams: []}\nservices:", 16, "pools[2].name", "name of another pool in line 4"},
		{"kind: plain", "kind: plain\n    limits: {target-step: 62ms}", 13, "pools[1].limits.target-step", "no effect"},
		{"depends-on: [b]", "depends-on: [c]", 18, "services[0].depends-on[0]", "not a listed service"},
		{"depends-on: [b]", "depends-on: [b, b]", 18, "services[0].depends-on[1]", "listed twice"},
		{"priority: 5", "depends-on: [a]", 23, "services[1].depends-on[0]", "circular dependency a -> b -> a"},
		{"depends-on: [b]", "depends-on: [a]", 18, "services[0].depends-on[0]", "circular dependency a -> a"},
		{"accounts:", "  - {name: a, versions: [{name: v1, pools: [plain]}]}\naccounts:", 28, "services[2].name", "name of another service in line 17"},
		{"share: 100", "share: 99", 19, "services[0].versions", "sum of the shares"},
		{"share: 100", "share: 101", 20, "services[0].versions[0].share", "out of range"},
		{"share: 100}", "share: 50}\n      - {name: v1, model: m, pools: [engines], share: 50}", 21, "services[0].versions[1].name", "another version"},
		{"pools: [engines]", "pools: [other]", 20, "services[0].versions[0].pools[0]", "not a listed pool"},
		{"pools: [engines]", "pools: [engines, plain]", 20, "services[0].versions[0].pools[1]", "mixes plain and engine pools"},
		{"pools: [engines]", "pools: []", 20, "services[0].versions[0].pools", "is empty"},
		{"model: m, ", "", 20, "services[0].versions[0].model", "is missing"},
		{"{name: v1, pools: [plain]}", "{name: v1, model: m, pools: [plain]}", 27, "services[1].versions[0].model", "no effect"},
		{"depends-on: [b]", "delivery: restart\n    repeatable: false", 18, "services[0].delivery", "repeats the work"},
		{"depends-on: [b]", "delivery: whole\n    repeatable: false", 18, "services[0].delivery", "repeats the work"},
		{"depends-on: [b]", "delivery: twice", 18, "services[0].delivery", "not a known value"},
		{"repeatable: false", "repeatable: maybe", 22, "services[1].repeatable", "not true or false"},
		{"priority: 5", "priority: 10", 23, "services[1].priority", "out of range"},
		{"deadline: 60s", "deadline: 25h", 24, "services[1].deadline", "out of range"},
		{"finish-within: 30m", "finish-within: 59s", 25, "services[1].rollout.finish-within", "out of range"},
		{"max-error-increase: 0.02", "max-error-increase: .nan", 25, "services[1].rollout.max-error-increase", "not a number"},
		{"max-error-increase: 0.02", "max-slowdown: 1", 25, "services[1].rollout.max-slowdown", "out of range"},
		{"name: guides", "name: -guides", 29, "accounts[0].name", "not a valid name"},
		{"share: 3", "share: 0", 29, "accounts[0].share", "out of range"},
		{"share: 3", "max-queued: 0", 29, "accounts[0].max-queued", "out of range"},
		{"{name: guides, share: 3}", "{share: 3}", 29, "accounts[0].name", "is missing"},
		{"{name: guides, share: 3}", "&x {name: guides}", 29, ".", "anchors"},
		{"{name: guides, share: 3}", "{name: guides", 29, ".", "not valid YAML"},
	}
	for _, c := range cases {
		t.Run(c.new, func(t *testing.T) {
			require.Contains(t, baseText, c.old)
			text, err := Parse("s.yaml", []byte(strings.Replace(baseText, c.old, c.new, 1)))
			require.Error(t, err)
			assert.Nil(t, text)
			assert.True(t, failure.Is(err, failure.InvalidServiceText))
			problems := ProblemsOf(err)
			require.Len(t, problems, 1, "%v", problems)
			p := problems[0]
			assert.Equal(t, c.line, p.Line, "%v", p)
			assert.Equal(t, c.path, p.Path)
			assert.Contains(t, p.Message, c.message)
			assert.NotEmpty(t, p.Remedy)
			assert.Contains(t, err.Error(), fmt.Sprintf("s.yaml:%d: %s: ", c.line, c.path))
		})
	}
}

// Guards against reporting only the first problem, and against problems in the order of
// the checks instead of the lines.
func TestParseReportsAllProblemsByLine(t *testing.T) {
	faulty := strings.NewReplacer("share: 100", "share: 3", "depends-on: [b]", "depends-on: [z]",
		"[dc-1]", "[dc-9]", "share: 3", "share: x").Replace(baseText)
	_, err := Parse("s.yaml", []byte(faulty))
	var lines []int
	for _, p := range ProblemsOf(err) {
		lines = append(lines, p.Line)
	}
	assert.Equal(t, []int{6, 13, 18, 19, 29}, lines)
}

// Guards against accepting texts above the size limits.
func TestParseEnforcesSizeLimits(t *testing.T) {
	for name, text := range map[string]string{
		"is longer than":             strings.Repeat("#", MaxBytes+1),
		"limit of 10000 upstreams":   generateText(1, 2, MaxUpstreams/2+1, 1),
		"more than 1000 elements":    generateText(MaxServices+1, 1, 1, 1),
		"more than 20000 elements":   generateText(1, 1, 1, MaxAccounts+1),
		"is nested too deeply":       strings.Repeat("[", MaxBytes),
		"nested too deeply":          strings.Repeat("- ", MaxBytes/2),
		"explicit keys are not":      strings.Repeat("? ", MaxBytes/2),
		"merge keys and explicit":    strings.Repeat("&a\n", MaxBytes/3),
		"too many fields":            strings.Repeat("a: b\n", MaxBytes/5),
		"fields without a value":     strings.Repeat("- a: #\n", MaxBytes/7),
		"too many fields or values":  strings.Repeat(`"a" `, MaxBytes/4),
		"is empty":                   "# nothing\n",
		"more than one document":     "version: 1\n---\nversion: 1\n",
		"is not a mapping":           "- version\n",
		"explicit keys are not allo": "a: !!binary x\n",
	} {
		_, err := Parse("s.yaml", []byte(text))
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), name)
	}
}

// Guards against defaults that differ from the package documentation.
func TestParseAppliesDefaults(t *testing.T) {
	text, err := Parse("s.yaml", []byte(baseText))
	require.NoError(t, err)
	a, b := text.Services[0], text.Services[1]
	assert.Equal(t, entity.Limits{ColdRequests: 2, MaxRequests: 4, TargetStep: 62 * time.Millisecond}, text.Pools[0].Limits)
	assert.Equal(t, entity.Limits{ColdRequests: 1, MaxRequests: 32}, text.Pools[1].Limits)
	assert.Equal(t, entity.FencingIgnoresOld, text.Pools[0].Fencing)
	assert.Equal(t, "engines", text.Pools[0].Upstreams[0].Pool)
	assert.Equal(t, entity.DeliverError, a.Delivery)
	assert.True(t, a.Repeatable)
	assert.Equal(t, 5, a.Priority)
	assert.Equal(t, time.Minute, a.Deadline)
	assert.Equal(t, entity.RolloutPolicy{FinishWithin: 30 * time.Minute, MaxErrorIncrease: 0.02, MaxSlowdown: 1.5}, a.Rollout)
	assert.Equal(t, 100, b.Versions[0].Share)
	assert.Equal(t, entity.ClientAccount{Name: "guides", Share: 3, MaxQueued: 100}, text.Accounts[0])
}

func TestExamplesAreValid(t *testing.T) {
	// host.yaml holds settings and is checked by the tests of internal/settings.
	for _, name := range []string{"service.yaml", "zornitsa.yaml"} {
		file := filepath.Join("../../examples", name)
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = Parse(file, data)
		assert.NoError(t, err)
	}
}

// Guards against panics, a result together with an error, and errors without problems.
func FuzzParse(f *testing.F) {
	f.Add([]byte(baseText))
	f.Add([]byte("a: [b, {c: d}]\n- e\n? f\n: g\n"))
	f.Add([]byte("pools: [{upstreams: [{address: '[::1]:1'}]}]\nservices: |\n  x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := Parse("f", data)
		if (text == nil) == (err == nil) {
			t.Fatalf("text %v, error %v", text, err)
		}
		if err != nil && len(ProblemsOf(err)) == 0 {
			t.Fatalf("error without problems: %v", err)
		}
	})
}

func generateText(services, pools, upstreamsEach, accounts int) string {
	var b strings.Builder
	b.WriteString("version: 1\ndata-centres: [d]\npools:\n")
	n := 0
	for p := range pools {
		fmt.Fprintf(&b, "  - name: p%d\n    kind: engine\n    data-centre: d\n    upstreams:\n", p)
		for range upstreamsEach {
			fmt.Fprintf(&b, "      - {name: e%d, address: 10.0.%d.%d:9001}\n", n, n/250, n%250+1)
			n++
		}
	}
	b.WriteString("services:\n")
	for s := range services {
		fmt.Fprintf(&b, "  - name: s%d\n    versions: [{name: v1, model: m, pools: [p%d]}]\n", s, s%pools)
	}
	b.WriteString("accounts:\n")
	for a := range accounts {
		fmt.Fprintf(&b, "  - {name: a%d, share: 1}\n", a)
	}
	return b.String()
}

func BenchmarkParse(b *testing.B) {
	run := func(name string, text string) {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse("s.yaml", []byte(text)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	for _, n := range []int{10, 50, 250, 1000} {
		run(fmt.Sprintf("services=%d", n), generateText(n, 1, 1, 1))
	}
	for _, n := range []int{10, 50, 250, 1000} {
		run(fmt.Sprintf("pools=%d", n), generateText(1, n, 4, 1))
	}
	for _, n := range []int{20, 200, 2000, 20000} {
		run(fmt.Sprintf("accounts=%d", n), generateText(1, 1, 1, n))
	}
}
