package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/upstream"
	"github.com/rattanscale/rattanscale/internal/upstream/engine"
)

// clockTicks is the unit of the processor times in /proc, per second.
const clockTicks = 100

// processorTime returns the processor time that the process has used.
func (p *process) processorTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(p.t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(p.t, err)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentMemory returns the resident memory of the process in bytes.
func (p *process) residentMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(p.t, err)
	return pages * os.Getpagesize()
}

// timing holds the times of one kind of connection.
type timing struct {
	mu    sync.Mutex
	first []time.Duration
	gaps  []time.Duration
}

func (m *timing) add(first time.Duration, gaps []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.first = append(m.first, first)
	m.gaps = append(m.gaps, gaps...)
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// direct streams one generation from the engine without a daemon.
func direct(ctx context.Context, b *testing.B, address, id string, tokens int) (first time.Duration, gaps []time.Duration) {
	client := engine.New(engine.Settings{TokenTimeout: waitLimit})
	defer client.Close()
	sentAt := time.Now()
	stream, err := client.Generate(ctx, address, upstream.GenerateRequest{RequestID: id, Model: "m1", Prompt: fmt.Sprintf("tokens=%d", tokens)})
	require.NoError(b, err)
	defer func() { _ = stream.Close() }()
	var last time.Time
	for {
		token, err := stream.Next()
		if err == io.EOF || err == nil && token.Done {
			return first, gaps
		}
		require.NoError(b, err)
		now := time.Now()
		if last.IsZero() {
			first = now.Sub(sentAt)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
}

// reportSettle lets the engine's late load reports forget the direct streams, which
// no permit explains.
const reportSettle = 2 * time.Second

// BenchmarkRelayCost compares streams through a daemon with streams straight from
// the same engine, and reports the daemon's processor time for each token.
func BenchmarkRelayCost(b *testing.B) {
	c := newCluster(b, "praha-1")
	engine := c.engine("praha-1-e1", "-base-step", "2ms", "-step-per-request", "0s", "-step-per-kilotoken", "0s")
	c.apply(c.text("{cold-requests: 64, max-requests: 64, memory-tokens: 65536, target-step: 62ms}"))
	c.waitReady()
	client := c.client(c.hosts[0])
	c.generate(client, "restart", 10)
	const streams, tokens = 24, 500
	var through, straight timing
	relayed := 0
	before := c.hosts[0].processorTime()
	var busy time.Duration
	b.ResetTimer()
	for i := range b.N {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				answer, err := client.Generate(b.Context(), generateRequest("restart", tokens, nil))
				require.NoError(b, err)
				through.add(answer.TimeToFirstToken, answer.TokenIntervals)
			})
		}
		wg.Wait()
		relayed += streams * tokens
		busy = c.hosts[0].processorTime() - before
		for j := range streams {
			wg.Go(func() {
				first, gaps := direct(b.Context(), b, engine.addr, fmt.Sprintf("d%d-%d", i, j), tokens)
				straight.add(first, gaps)
			})
		}
		wg.Wait()
		time.Sleep(reportSettle)
		before = c.hosts[0].processorTime() - busy
	}
	b.ReportMetric(float64(quantile(through.first, 0.5)-quantile(straight.first, 0.5))/1e6, "added-first-token-p50-ms")
	b.ReportMetric(float64(quantile(through.first, 0.95)-quantile(straight.first, 0.95))/1e6, "added-first-token-p95-ms")
	b.ReportMetric(float64(quantile(through.gaps, 0.5))/float64(quantile(straight.gaps, 0.5)), "gap-p50-ratio")
	b.ReportMetric(float64(quantile(through.gaps, 0.99))/float64(quantile(straight.gaps, 0.99)), "gap-p99-ratio")
	b.ReportMetric(float64(relayed)/busy.Seconds(), "tokens/core-s")
	b.ReportMetric(float64(busy.Microseconds())/float64(relayed), "core-us/token")
}

// BenchmarkOpenStreamMemory reports the daemon's memory for each open stream.
func BenchmarkOpenStreamMemory(b *testing.B) {
	for _, streams := range []int{32, 128, 512} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			c := newCluster(b, "praha-1")
			c.engine("praha-1-e1", "-base-step", "200ms", "-step-per-request", "0s", "-step-per-kilotoken", "0s", "-memory-tokens", "4000000")
			c.apply(strings.Replace(c.text("{cold-requests: 600, max-requests: 800, memory-tokens: 4000000, target-step: 9s}"), "max-queued: 100", "max-queued: 1000", 1))
			c.waitReady()
			c.generate(c.client(c.hosts[0]), "restart", 1)
			before := c.hosts[0].residentMemory()
			ctx, cancel := context.WithCancel(b.Context())
			var wg, started sync.WaitGroup
			started.Add(streams)
			for range streams {
				wg.Go(func() {
					client := c.client(c.hosts[0])
					var once sync.Once
					request := generateRequest("restart", 1000, func(string) { once.Do(started.Done) })
					if _, err := client.Generate(ctx, request); err != nil && ctx.Err() == nil {
						b.Error(err)
					}
					once.Do(started.Done)
					client.HTTP.Transport.(*http.Transport).CloseIdleConnections()
				})
			}
			started.Wait()
			b.ReportMetric(float64(c.hosts[0].residentMemory()-before)/float64(streams), "B/stream")
			cancel()
			wg.Wait()
		})
	}
}
