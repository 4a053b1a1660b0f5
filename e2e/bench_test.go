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

// clockTicks is the number of clock ticks per second in the CPU times of /proc.
const clockTicks = 100

// cpuTime returns the CPU time that the process has used.
func (p *process) cpuTime() time.Duration {
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

// streamTimes collects the times to the first token and between tokens of streams.
type streamTimes struct {
	mu         sync.Mutex
	firstToken []time.Duration
	gaps       []time.Duration
}

func (m *streamTimes) add(first time.Duration, gaps []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firstToken = append(m.firstToken, first)
	m.gaps = append(m.gaps, gaps...)
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// streamDirect streams one generation straight from the engine, without a daemon.
func streamDirect(ctx context.Context, b *testing.B, address, id string, tokens int) (first time.Duration, gaps []time.Duration) {
	client := engine.New(engine.Settings{TokenTimeout: waitTimeout})
	defer client.Close()
	sentAt := time.Now()
	stream, err := client.Generate(ctx, address, upstream.GenerateRequest{RequestID: id, Model: "m1", Prompt: fmt.Sprintf("tokens=%d", tokens)})
	require.NoError(b, err)
	defer func() { _ = stream.Close() }()
	var lastTokenTime time.Time
	for {
		token, err := stream.Next()
		if err == io.EOF || err == nil && token.Done {
			return first, gaps
		}
		require.NoError(b, err)
		now := time.Now()
		if lastTokenTime.IsZero() {
			first = now.Sub(sentAt)
		} else {
			gaps = append(gaps, now.Sub(lastTokenTime))
		}
		lastTokenTime = now
	}
}

// reportSettleTime is the wait until the engine's delayed load reports no longer show the
// direct streams, for which the daemon has granted no permits.
const reportSettleTime = 2 * time.Second

// BenchmarkRelayCost compares streams through a daemon with streams straight from
// the same engine, and reports the daemon's CPU time per token.
func BenchmarkRelayCost(b *testing.B) {
	c := newCluster(b, "praha-1")
	engine := c.startEngine("praha-1-e1", "-base-step", "2ms", "-step-per-request", "0s", "-step-per-kilotoken", "0s")
	c.applyServiceText(c.serviceText("{cold-requests: 64, max-requests: 64, memory-tokens: 65536, target-step: 62ms}"))
	c.waitReady()
	client := c.newClient(c.hosts[0])
	c.generate(client, "restart", 10)
	const streams, tokens = 24, 500
	var relayedTimes, directTimes streamTimes
	relayedTokens := 0
	cpuTimeBefore := c.hosts[0].cpuTime()
	var cpuTime time.Duration
	b.ResetTimer()
	for i := range b.N {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				answer, err := client.Generate(b.Context(), generateRequest("restart", tokens, nil))
				require.NoError(b, err)
				relayedTimes.add(answer.TimeToFirstToken, answer.TokenIntervals)
			})
		}
		wg.Wait()
		relayedTokens += streams * tokens
		cpuTime = c.hosts[0].cpuTime() - cpuTimeBefore
		for j := range streams {
			wg.Go(func() {
				first, gaps := streamDirect(b.Context(), b, engine.address, fmt.Sprintf("d%d-%d", i, j), tokens)
				directTimes.add(first, gaps)
			})
		}
		wg.Wait()
		time.Sleep(reportSettleTime)
		cpuTimeBefore = c.hosts[0].cpuTime() - cpuTime
	}
	b.ReportMetric(float64(quantile(relayedTimes.firstToken, 0.5)-quantile(directTimes.firstToken, 0.5))/1e6, "added-first-token-p50-ms")
	b.ReportMetric(float64(quantile(relayedTimes.firstToken, 0.95)-quantile(directTimes.firstToken, 0.95))/1e6, "added-first-token-p95-ms")
	b.ReportMetric(float64(quantile(relayedTimes.gaps, 0.5))/float64(quantile(directTimes.gaps, 0.5)), "gap-p50-ratio")
	b.ReportMetric(float64(quantile(relayedTimes.gaps, 0.99))/float64(quantile(directTimes.gaps, 0.99)), "gap-p99-ratio")
	b.ReportMetric(float64(relayedTokens)/cpuTime.Seconds(), "tokens/core-s")
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(relayedTokens), "core-us/token")
}

// BenchmarkOpenStreamMemory reports the daemon's resident memory per open stream.
func BenchmarkOpenStreamMemory(b *testing.B) {
	for _, streams := range []int{32, 128, 512} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			c := newCluster(b, "praha-1")
			c.startEngine("praha-1-e1", "-base-step", "200ms", "-step-per-request", "0s", "-step-per-kilotoken", "0s", "-memory-tokens", "4000000")
			c.applyServiceText(strings.Replace(c.serviceText("{cold-requests: 600, max-requests: 800, memory-tokens: 4000000, target-step: 9s}"), "max-queued: 100", "max-queued: 1000", 1))
			c.waitReady()
			c.generate(c.newClient(c.hosts[0]), "restart", 1)
			memoryBefore := c.hosts[0].residentMemory()
			ctx, cancel := context.WithCancel(b.Context())
			var wg, streamsStarted sync.WaitGroup
			streamsStarted.Add(streams)
			for range streams {
				wg.Go(func() {
					client := c.newClient(c.hosts[0])
					var once sync.Once
					request := generateRequest("restart", 1000, func(string) { once.Do(streamsStarted.Done) })
					if _, err := client.Generate(ctx, request); err != nil && ctx.Err() == nil {
						b.Error(err)
					}
					once.Do(streamsStarted.Done)
					client.HTTP.Transport.(*http.Transport).CloseIdleConnections()
				})
			}
			streamsStarted.Wait()
			b.ReportMetric(float64(c.hosts[0].residentMemory()-memoryBefore)/float64(streams), "B/stream")
			cancel()
			wg.Wait()
		})
	}
}
