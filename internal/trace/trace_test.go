package trace

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validHeader = `{"version":1,"name":"t","seed":1,"span_ms":1000,"order":"time","pools":[{"name":"p","data_centre":"dc",` +
	`"limits":{"cold_requests":1,"max_requests":2,"memory_tokens":100,"target_step_ms":62},"upstreams":[{"name":"e1","engine":` +
	`{"base_us":1000,"per_request_us":1,"per_thousand_tokens_us":1,"prefill_per_token_us":1,"prefill_chunk":64,"noise":0,` +
	`"max_batch":4,"memory_tokens":100,"prefix_cache_tokens":0,"cold_requests":1,"warm_after":1,"cold_factor":2,"restart_ms":1,` +
	`"report_every_ms":500,"report_lag_ms":100,"cache_lag_ms":1,"cache_gap":0}}]}],` +
	`"services":[{"name":"s","pools":["p"],"delivery":"whole","priority":5}],"accounts":[{"name":"a","share":1}],` +
	`"outcomes":[{"name":"o","metric":"goodput","at_least":1}]}`

const validArrival = `{"at_ms":5,"kind":"arrival","arrival":{"id":"r1","service":"s","account":"a","prompt":3,"output":4}}`

func TestParseValid(t *testing.T) {
	text := validHeader + "\n" + validArrival + "\n" + `{"at_ms":6,"kind":"upstream-reclaimed","upstream":"e1","notice_ms":5}`
	tr, err := Parse("f.jsonl", strings.NewReader(text))
	require.NoError(t, err)
	require.Len(t, tr.Events, 2)
	require.Equal(t, 5*time.Millisecond, tr.Events[0].At())
	require.Equal(t, 62*time.Millisecond, tr.Header.Pools[0].Limits.TargetStep())
}

// Guards against invalid traces that are accepted, and against errors without position or
// remedy.
func TestParseErrors(t *testing.T) {
	replaceInHeader := func(old, with string) string {
		require.Contains(t, validHeader, old)
		return strings.Replace(validHeader, old, with, 1)
	}
	event := func(line string) string { return validHeader + "\n" + line }
	cases := []struct {
		name, text, want string
	}{
		{"empty file", "", "f:1: file is empty (remedy: start the file with a header line)"},
		{"not JSON", "x", "f:1: header is not valid JSON"},
		{"version", replaceInHeader(`"version":1`, `"version":2`), "f:1: unsupported or missing version (remedy: write the trace in version 1)"},
		{"unknown header field", replaceInHeader(`"seed"`, `"sed"`), `f:1: json: unknown field "sed"`},
		{"no name", replaceInHeader(`"name":"t"`, `"name":""`), "f:1: trace has no name"},
		{"order", replaceInHeader(`"order":"time"`, `"order":"x"`), `order "x" is unknown`},
		{"span", replaceInHeader(`"span_ms":1000`, `"span_ms":0`), "span_ms 0 is out of range"},
		{"limits", replaceInHeader(`"max_requests":2`, `"max_requests":0`), `limits of pool "p" are out of range`},
		{"engine", replaceInHeader(`"cache_gap":0`, `"cache_gap":2`), `cache_gap of upstream "e1" is out of range`},
		{"pool of service", replaceInHeader(`"pools":["p"]`, `"pools":["q"]`), `service "s" names the unknown pool "q"`},
		{"delivery", replaceInHeader(`"whole"`, `"half"`), `delivery "half" of service "s" is unknown`},
		{"share", replaceInHeader(`"share":1`, `"share":0`), `account "a" has a value out of range`},
		{"metric", replaceInHeader(`"goodput"`, `"speed"`), `metric "speed" is unknown`},
		{"bound", replaceInHeader(`,"at_least":1`, ``), `outcome "o" has no bound`},
		{"empty line", validHeader + "\n\n", "f:2: line is empty (remedy: remove the empty line)"},
		{"trailing text", event(validArrival + " {}"), "f:2: text after the JSON object"},
		{"unknown field", event(`{"at_ms":1,"kind":"arrival","speed":1}`), `f:2: json: unknown field "speed"`},
		{"unknown kind", event(`{"at_ms":1,"kind":"x"}`), `f:2: kind "x" is unknown`},
		{"negative time", event(`{"at_ms":-1,"kind":"upstream-lost","upstream":"e1"}`), "at_ms -1 is out of range"},
		{"unknown upstream", event(`{"at_ms":1,"kind":"upstream-lost","upstream":"e2"}`), `upstream "e2" is unknown`},
		{"unknown data centre", event(`{"at_ms":1,"kind":"data-centre-out","data_centre":"x"}`), `data centre "x" is unknown`},
		{"missing arrival", event(`{"at_ms":1,"kind":"arrival"}`), `kind "arrival" and the fields do not match`},
		{"notice", event(`{"at_ms":1,"kind":"upstream-lost","upstream":"e1","notice_ms":1}`), "notice_ms 1 is not allowed"},
		{"unsorted", event(validArrival + "\n" + `{"at_ms":4,"kind":"upstream-lost","upstream":"e1"}`), "f:3: event is earlier than the one before"},
		{"twice", event(validArrival + "\n" + validArrival), `f:3: request "r1" is listed twice`},
		{"service", event(strings.Replace(validArrival, `"s"`, `"z"`, 1)), `service "z" is unknown`},
		{"account", event(strings.Replace(validArrival, `"account":"a"`, `"account":"z"`, 1)), `account "z" is unknown`},
		{"output", event(strings.Replace(validArrival, `"output":4`, `"output":0`, 1)), "token count out of range"},
		{"max", event(strings.Replace(validArrival, `"output":4`, `"output":4,"max":3`, 1)), `request "r1" contradicts itself`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", strings.NewReader(c.text))
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Contains(t, err.Error(), c.want)
			require.NotEmpty(t, e.Remedy)
		})
	}
}

// Guards against a recorded file that the parser rejects or sorts wrongly. Arrivals are
// written when they complete, so a later arrival can come before an earlier one.
func TestWriterRecordsInCompletionOrder(t *testing.T) {
	var header Trace
	p := &parser{}
	p.line = 1
	require.NoError(t, p.parseHeader([]byte(validHeader)))
	header = p.trace
	header.Header.Order = ""
	var out bytes.Buffer
	w, err := NewWriter(&out, header.Header)
	require.NoError(t, err)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			id := fmt.Sprint("r", i)
			w.RecordArrival(time.Duration(20-i)*time.Millisecond, Arrival{ID: id, Service: "s", Account: "a", PromptTokens: 1})
			require.NoError(t, w.RecordCompletion(id, i+1))
		})
	}
	wg.Wait()
	require.NoError(t, w.Write(Event{AtMS: 3, Kind: UpstreamLost, Upstream: "e1"}))
	w.RecordArrival(0, Arrival{ID: "open"})
	require.ErrorIs(t, w.RecordCompletion("unknown", 1), errUnknownRequest)
	require.NoError(t, w.Close())
	require.ErrorIs(t, w.Write(Event{}), errClosed)

	tr, err := Parse("f", bytes.NewReader(out.Bytes()))
	require.NoError(t, err)
	require.Len(t, tr.Events, 21)
	require.Equal(t, "r19", tr.Events[0].Arrival.ID)
	require.Equal(t, 20, tr.Events[0].Arrival.OutputTokens)

	var sorted bytes.Buffer
	require.NoError(t, Encode(&sorted, tr))
	again, err := Parse("f", &sorted)
	require.NoError(t, err)
	require.Equal(t, tr.Events, again.Events)
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }

// Guards against a recorder that hides a failed write.
func TestWriterReportsErrors(t *testing.T) {
	w, err := NewWriter(failingWriter{}, Header{})
	require.NoError(t, err)
	require.ErrorContains(t, w.Flush(), "disk full")
	require.ErrorContains(t, w.Write(Event{}), "disk full")
	require.ErrorContains(t, w.Close(), "disk full")
}

// Guards against panics on any input, and against an accepted trace that changes
// when it is written and read again.
func FuzzParse(f *testing.F) {
	f.Add(validHeader + "\n" + validArrival)
	f.Add(strings.Replace(validHeader, `"order":"time"`, `"order":"completion"`, 1) + "\n" + validArrival)
	f.Add("{}\n{}")
	f.Fuzz(func(t *testing.T, text string) {
		tr, err := Parse("f", strings.NewReader(text))
		if err != nil {
			var e *Error
			require.ErrorAs(t, err, &e)
			return
		}
		var out bytes.Buffer
		require.NoError(t, Encode(&out, tr))
		again, err := Parse("f", &out)
		require.NoError(t, err)
		require.Equal(t, tr.Events, again.Events)
	})
}
