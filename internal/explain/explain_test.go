package explain

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// line returns a log line that a host writes at a number of milliseconds after t0.
func line(ms int, host, message, fields string) string {
	return fmt.Sprintf("time=%s level=INFO msg=%q host=%s %s\n", t0.Add(time.Duration(ms)*time.Millisecond).Format(time.RFC3339Nano), message, host, fields)
}

func collect(t *testing.T, id string, logs ...string) Request {
	t.Helper()
	c := NewCollector(func(r *Record) bool { return r.Get("request") == id })
	for i, log := range logs {
		require.NoError(t, c.Read(fmt.Sprint("log", i), strings.NewReader(log), nil))
	}
	return c.ExplainRequest(id)
}

// Guards against a cause that contradicts what the hosts knew.
func TestCauses(t *testing.T) {
	const refusedDial = `request=r outcome=refused status=503 ms=4 upstream=i1 sends=4 attempts=0 reason="dial tcp: connection refused"`
	const brokenStream = `request=r outcome=cut ms=9000 upstream=i1 sends=1 attempts=1 events=30 reason="unexpected EOF"`
	for name, c := range map[string]struct {
		want Kind
		logs []string
	}{
		"host stopping": {HostStopping, []string{
			line(0, "h1", "draining", "active=3") + line(2900, "h1", messageEnded, `request=r outcome=refused status=503 ms=0 sends=0 attempts=0 reason="the host is stopping"`)}},
		"host starting": {HostStarting, []string{
			line(0, "h1", "started", "") + line(200, "h1", messageEnded, `request=r outcome=refused status=503 ms=0 reason="no configuration is known yet"`)}},
		"list out of date after a store outage": {StaleUpstreams, []string{
			line(0, "h1", "store dependency lost", `table=servers error="EOF"`) + line(9000, "h1", messageEnded, refusedDial)}},
		"list out of date on a host that does not read the store": {StaleUpstreams, []string{
			line(0, "h2", "store dependency lost", `table=servers error="EOF"`), line(9000, "h1", messageEnded, refusedDial)}},
		"unreachable although the store answers": {Unreachable, []string{
			line(0, "h1", "store dependency lost", "table=servers") + line(100, "h1", "store dependency regained", "table=servers") + line(9000, "h1", messageEnded, refusedDial)}},
		"engines full": {EnginesFull, []string{
			line(0, "h1", messageEnded, `request=r outcome=refused status=503 ms=4 upstream=i1 sends=4 attempts=0 reason="upstream refused the request"`)}},
		"engines full while a data centre is out": {DataCentreOut, []string{
			line(0, "h1", "data centres taken out", "names=[praha-1]") + line(100, "h1", messageEnded, `request=r outcome=refused ms=4 upstream=i1 sends=4 reason="upstream refused the request"`)}},
		"data centre is back": {EnginesFull, []string{
			line(0, "h1", "data centres taken out", "names=[praha-1]") + line(50, "h1", "data centres taken out", "names=[]") +
				line(100, "h1", messageEnded, `request=r outcome=refused ms=4 upstream=i1 sends=4 reason="upstream refused the request"`)}},
		"stream cut by a crash": {EngineCrashed, []string{
			line(0, "h1", messageEnded, brokenStream) + line(3000, "h1", "upstream entry removed", "upstream=i1 draining=false")}},
		"stream cut, the engine is well": {EngineMisbehaved, []string{
			line(0, "h1", messageEnded, brokenStream) + strings.Repeat(line(100, "h1", messageEnded, "request=other outcome=answered upstream=i1"), 5)}},
		"stream cut for lack of room": {NoRoomToMove, []string{
			line(0, "h1", "upstream registered", "upstream=i1 draining=true") + line(500, "h1", "stream move", `request=r source=i1 outcome="no engine has room"`) + line(1000, "h1", messageEnded, brokenStream)}},
		"engine left": {EngineLeft, []string{
			line(0, "h1", "upstream registered", "upstream=i1 draining=true") + line(1000, "h1", messageEnded, brokenStream)}},
		"time limit": {TimeLimit, []string{
			line(1000, "h1", messageEnded, `request=r outcome=failed status=504 ms=400 time-ms=400 upstream=i1 sends=1 attempts=1 reason="the time of the request was over: x"`)}},
		"engine silent": {EngineSilent, []string{
			line(1000, "h1", messageEnded, `request=r outcome=failed status=504 ms=400 time-ms=400 upstream=i1 sends=1 attempts=1 reason="the time of the request was over: x"`),
			strings.Repeat(line(1100, "h2", messageEnded, "request=other outcome=failed upstream=i1"), 5)}},
		"caller gone":  {CallerGone, []string{line(0, "h1", messageEnded, `request=r outcome="caller gone" ms=2000 time-ms=39000 upstream=i1`)}},
		"answered":     {Answered, []string{line(0, "h1", messageEnded, `request=r outcome=answered status=200 ms=20 upstream=i1`)}},
		"tainted":      {Quarantined, []string{line(0, "h1", messageEnded, `request=r outcome=refused ms=0 reason="engines have crashed on a part of the prompt"`)}},
		"quarantined":  {Quarantined, []string{line(0, "h1", messageEnded, `request=r outcome=refused ms=0 reason="the request has crashed upstreams"`)}},
		"unknown key":  {CallerError, []string{line(0, "h1", messageEnded, `request=r outcome=failed status=401 ms=0 reason="the key is unknown"`)}},
		"host killed":  {HostEnded, []string{line(0, "h1", "stream move", `request=r source=i1 outcome=moved destination=i2`) + line(2000, "h1", "started", "")}},
		"no such line": {Unknown, []string{line(0, "h1", messageEnded, "request=other outcome=answered")}},
	} {
		t.Run(name, func(t *testing.T) {
			got := collect(t, "r", c.logs...)
			assert.Equal(t, c.want, got.Cause.Kind, "%+v", got.Cause)
			assert.Equal(t, name != "no such line", got.Found)
			var text strings.Builder
			got.Print(&text)
			assert.Contains(t, text.String(), got.Cause.Text)
		})
	}
}

// Guards against a broken, cut or foreign line that ends the run or is mistaken for another.
func TestUnusableLinesAreCounted(t *testing.T) {
	good := line(0, "h1", messageEnded, "request=r outcome=answered")
	log := "edge-1 0.31 " + good + "panic: runtime error\n" + `time=2026-12-04T10:00:00Z level=INFO msg="cut li` + "\n" + "time=yesterday msg=x host=h\n" +
		"time=2026-12-04T10:00:00Z msg=x host=h =\n" + strings.Repeat("x", maxLineBytes*3) + "\n\n" + strings.TrimSuffix(good, "\n")
	c := NewCollector(func(*Record) bool { return true })
	require.NoError(t, c.Read("f", strings.NewReader(log), nil))
	assert.Equal(t, Problems{Foreign: 1, Broken: 3, TooLong: 1, Examples: []string{
		"f:2: " + ErrForeign.Error(), "f:3: " + ErrBroken.Error(), "f:6: longer than 64 KiB"}}, c.Problems)
	assert.Len(t, c.requests, 2, "a prefix and a missing line end are allowed")
}

// Guards against counts that leave out causes or hosts.
func TestWindowCountsCauses(t *testing.T) {
	c := NewCollector(func(r *Record) bool { return r.Get("outcome") != "answered" })
	for host := range 3 {
		var log strings.Builder
		for i := range 10 {
			log.WriteString(line(i*1000, fmt.Sprint("h", host), messageEnded, fmt.Sprintf(`request=r%d-%d outcome="caller gone" ms=1`, host, i)))
		}
		log.WriteString(line(5000, fmt.Sprint("h", host), messageEnded, "request=a outcome=answered"))
		log.WriteString(line(5000, fmt.Sprint("h", host), messageEnded, `request=q outcome=refused reason="the request has crashed upstreams"`))
		require.NoError(t, c.Read("f", strings.NewReader(log.String()), nil))
	}
	got := c.CountCauses(t0.Add(2*time.Second), t0.Add(6*time.Second))
	require.Len(t, got.Causes, 2)
	assert.Equal(t, 18, got.Total)
	assert.Equal(t, CallerGone, got.Causes[0].Kind)
	assert.Equal(t, 15, got.Causes[0].Requests)
	assert.Equal(t, 3, got.Causes[0].Hosts)
	assert.Len(t, got.Causes[0].Examples, examplesPerCause)
	assert.Equal(t, 3, got.Causes[1].Requests)
}

// endlessLog produces log lines up to a number of bytes without holding them.
type endlessLog struct {
	left  int
	lines []string
	next  int
	rest  string
}

func (l *endlessLog) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, io.EOF
	}
	if l.rest == "" {
		l.rest = l.lines[l.next%len(l.lines)]
		l.next++
	}
	n := copy(b, l.rest)
	l.rest = l.rest[n:]
	l.left -= n
	return n, nil
}

// Guards against memory that grows with the length of the logs.
func TestMemoryIsBounded(t *testing.T) {
	var lines []string
	for i := range 2000 {
		lines = append(lines, line(i*37, fmt.Sprint("h", i%195), messageEnded, fmt.Sprintf(`request=r%d outcome=failed upstream=i%d reason="the time of the request was over"`, i, i%68)),
			line(i*37, fmt.Sprint("h", i%195), "upstream registered", fmt.Sprintf("upstream=i%d draining=true revision=%d", i%68, i)))
	}
	c := NewCollector(func(r *Record) bool { return r.Get("outcome") != "answered" })
	progress := 0
	require.NoError(t, c.Read("f", &endlessLog{left: 96 << 20, lines: lines}, func(int64) { progress++ }))
	assert.Positive(t, progress)
	assert.Positive(t, c.Problems.Dropped)
	assert.Positive(t, c.Problems.DroppedState)
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	assert.Less(t, s.HeapAlloc, uint64(256<<20))
	runtime.KeepAlive(c)
}

// Guards against a panic on any line.
func FuzzParseLine(f *testing.F) {
	f.Add([]byte(line(0, "h1", messageEnded, `request=r outcome="caller gone" reason="a \"b\" = c"`)))
	f.Add([]byte(`time="`))
	f.Add([]byte("time=2026-12-04T10:00:00Z msg=a host=b x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseLine(data)
		if err == nil && (r.Host == "" || r.Message == "" || r.Time.IsZero() && !strings.Contains(string(data), "0001-01-01")) {
			t.Fatalf("accepted an incomplete line: %+v", r)
		}
	})
}
