//go:build review2

// Command kit2 runs the script cases of the second review: it starts front ends as processes, with
// stand-ins for the platform's store, engines and clients, and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanscale/rattanscale/platform/standin"
)

// The figures of the deployment kocary-praha.
const (
	hostCount      = 7
	memoryMB       = 134
	graceS         = 8
	contact        = 3 * time.Second
	startTime      = 10 * time.Second
	maxHeaderBytes = 16384
)

var dataCentres = []string{"staromestske", "mala-strana", "vinohrady", "holesovice"}

// world is one deployment on loopback addresses.
type world struct {
	dir    string
	binary string
	store  *standin.Store
	record *record
	hosts  []*host
	seeds  []string
}

// record is the file record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// host is one machine that runs a front end.
type host struct {
	w                                        *world
	name, dataCentre                         string
	caller, readiness, directory, peer, stat string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/rattanscaled")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	w := &world{dir: dir, binary: binary, store: standin.StartStore(), record: r}
	return w, nil
}

// startHosts starts the front ends and waits until all are ready.
func (w *world) startHosts(n int) error {
	for i := range n {
		h := &host{w: w, dataCentre: dataCentres[i%len(dataCentres)]}
		h.name = fmt.Sprintf("edge-%s-%d", h.dataCentre, i/len(dataCentres)+1)
		for _, a := range []*string{&h.caller, &h.readiness, &h.directory, &h.peer, &h.stat} {
			address, err := standin.FreeAddress()
			if err != nil {
				return err
			}
			*a = address
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts[:min(n, 3)] {
		w.seeds = append(w.seeds, strconv.Quote(h.peer))
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if !h.waitReady(startTime) {
			return fmt.Errorf("%s is not ready", h.name)
		}
	}
	return nil
}

// settings are the settings of a process as the platform renders them from deploy/frontend.yaml.
func (h *host) settings() string {
	return fmt.Sprintf(`host: {name: %q, data-centre: %q}
listen:
  caller: %q
  readiness: %q
  directory: %q
  peer: %q
  metrics: %q
store: {address: %q}
peers:
  seeds: [%s]
  key: rattanscale-hosts-1
limits: {memory-mb: %d}
retry: {ratio: 0.2, slack: 54, window: 10s}
drain: {limit: %ds}
rollout: { share: 0.1, slack: 50 }
`, h.name, h.dataCentre, h.caller, h.readiness, h.directory, h.peer, h.stat, h.w.store.Address, strings.Join(h.w.seeds, ","), memoryMB, graceS)
}

func (h *host) start() error {
	file := filepath.Join(h.w.dir, h.name+".yaml")
	if err := os.WriteFile(file, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command(h.w.binary, "frontend", "-config", file)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir, "GOGC=200"}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	h.mu.Lock()
	h.process, h.ended = p, ended
	h.mu.Unlock()
	h.w.record.logf("%s starts", h.name)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(s)
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

func (h *host) waitEnded(limit time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// anonymousMB is the process's own memory, without pages of files.
func (h *host) anonymousMB() float64 {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// processorTime is the processor time that the process has used.
func (h *host) processorTime() time.Duration {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	const ticksPerSecond = 100
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// ready asks the host as the platform does.
func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.readiness + "/rattanscale/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.ready() {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.process == nil {
			continue
		}
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.waitEnded(5 * time.Second)
	}
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// route is a route of the operator's configuration.
type route struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	Prefix          string `json:"prefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	TargetItlMs     int    `json:"targetItlMs,omitempty"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	SessionAffinity bool   `json:"sessionAffinity,omitempty"`
	StreamResume    bool   `json:"streamResume"`
}

const (
	hostName = "ficu95.example"
	key      = "xd9dnn2ctnfzs989anu6"
	model    = "vypravec"
	booking  = "pokladna"
)

// routes are the routes of kocary-praha.
var routes = []route{
	{Name: "r-narace", Hostname: hostName, Prefix: "/narace/", RouteType: "stream", TimeoutMs: 39000, TargetLatencyMs: 1800, TargetItlMs: 180, Priority: 1, Service: model, MaxAttempts: 1, SessionAffinity: true},
	{Name: "r-pece", Hostname: hostName, Prefix: "/pece-kone/", RouteType: "stream", TimeoutMs: 6000, TargetLatencyMs: 1500, TargetItlMs: 180, Service: model, MaxAttempts: 2, SessionAffinity: true, StreamResume: true},
	{Name: "r-rezervace", Hostname: hostName, Prefix: "/rezervace/", RouteType: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 0, Service: booking, MaxAttempts: 1},
	{Name: "r-dalsi", Hostname: hostName, Prefix: "/dalsi-jizda/", RouteType: "safe", TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 0, Service: booking, MaxAttempts: 2},
}

// putConfiguration writes a version of the configuration.
func (w *world) putConfiguration(version int) {
	engine := map[string]any{"batchSlots": 24, "kvCapacityTokens": 34372, "kvTokenBytes": 18432, "bandwidthMbps": 2700.0, "migrations": true, "backups": true,
		"stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "cacheHandleS": 5.0, "models": []any{map[string]any{"name": "m"}}}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": model, "healthPath": "/healthz", "maxConnections": 242, "protocol": "h1", "tls": false, "warmupS": 1.0, "warmupPerS": 25.0, "engine": engine},
			map[string]any{"name": booking, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "warmupS": 0.0, "warmupPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{key}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("op", "config", string(data))
}

// dial opens a connection to a host as a client does.
func (h *host) dial() (net.Conn, error) { return net.DialTimeout("tcp", h.caller, time.Second) }

// readAll reads an answer's body and reports whether it was complete.
func readAll(r *http.Response) (string, error) {
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	return string(data), err
}
