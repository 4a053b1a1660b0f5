//go:build hostile

package hostile

import (
	"bytes"
	"crypto/tls"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/ctl"
	"github.com/rattanscale/rattanscale/internal/daemon"
	"github.com/rattanscale/rattanscale/internal/frontend"
	"github.com/rattanscale/rattanscale/internal/standin"
	"github.com/rattanscale/rattanscale/platform"
	platformstandin "github.com/rattanscale/rattanscale/platform/standin"
)

const (
	// programEnv makes the test binary run as one of the programs, descriptorsEnv with at most
	// that many open descriptors.
	programEnv     = "RATTANSCALE_HOSTILE_PROGRAM"
	descriptorsEnv = "RATTANSCALE_HOSTILE_DESCRIPTORS"

	// spareDescriptors is the part of the descriptors that callers must leave for upstreams, the
	// store and other hosts.
	spareDescriptors = 64

	// waitTimeout bounds the wait for an expected state; it is not a performance target.
	waitTimeout = 60 * time.Second

	accountKey  = "guides-key-012345"
	operatorKey = "operator-key-0123"
)

// By hand, crowds of any size are played against machines of any size.
var (
	machineMemoryMB    = flag.Int("hostile.memory", 80, "memory of the machine in MB, as the settings state it, and bound of the process")
	machineDescriptors = flag.Int("hostile.descriptors", 256, "limit of open descriptors")
	clientCount        = flag.Int("hostile.clients", 0, "number of clients of each crowd; 0: the fixed one")
)

func TestMain(m *testing.M) {
	mains := map[string]func([]string, io.Writer, io.Writer) int{
		"frontend": func(args []string, stdout, stderr io.Writer) int {
			return frontend.Main(args, platform.New(), stdout, stderr)
		},
		"daemon": daemon.Main, "ctl": ctl.Main, "standin": standin.Main,
	}
	main := mains[os.Getenv(programEnv)]
	if main == nil {
		os.Exit(m.Run())
	}
	if n, err := strconv.ParseUint(os.Getenv(descriptorsEnv), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			panic(err)
		}
	}
	os.Exit(main(os.Args[1:], os.Stdout, os.Stderr))
}

// process is one running program of the system.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	output bytes.Buffer
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func startProcess(t *testing.T, program string, environment []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(os.Args[0], args...), exited: make(chan struct{})}
	p.cmd.Env = append(append(os.Environ(), programEnv+"="+program), environment...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if log := p.log(); t.Failed() {
			t.Logf("--- %s\n%s", program, log[max(0, len(log)-4000):])
		}
	})
	return p
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemoryMB is the highest resident memory of the process so far.
func (p *process) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	require.True(p.t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(p.t, err)
	return kilobytes >> 10
}

func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which lives reports
	}
	return len(entries)
}

// target is a process under attack at one of its addresses.
type target struct {
	*process
	address string
	// head is the request line and the fields of a proper request, without its framing and
	// the empty line.
	head string
	// ordinary sends one ordinary request, as a caller within the limits does, and reports
	// whether it was answered with success.
	ordinary func() bool
}

func freeAddress(t *testing.T) string {
	address, err := platformstandin.FreeAddress()
	require.NoError(t, err)
	return address
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "not within %v: %s", waitTimeout, description)
	}
}

// succeeds sends a request over a new connection and reports whether it was answered with 200.
func succeeds(method, url string, body string, header map[string]string) bool {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = "rides.example"
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

const frontendConfiguration = `{"version":1,"routes":[{"name":"u","hostname":"rides.example","prefix":"/unsafe/","routeType":"unsafe",
"timeoutMs":60000,"targetLatencyMs":1000,"service":"orders","maxAttempts":1}],"services":[{"name":"orders"}],
"limits":{"maxBodyBytes":4194304,"maxHeaderBytes":16384,"headerTimeoutMs":30000,"idleTimeoutMs":60000},
"tenants":[{"name":"guides","apiKeys":["` + accountKey + `"]}]}`

// startFrontend starts a front end with the stand-ins of the platform. The address is that for
// callers; the others are those of the settings.
func startFrontend(t *testing.T, environment ...string) (target, map[string]string) {
	t.Helper()
	store := platformstandin.StartStore()
	t.Cleanup(store.Close)
	store.Put("op", "config", frontendConfiguration)
	return startFrontendWith(t, store, environment...)
}

// startFrontendWith is startFrontend with a store that has a configuration with the service orders.
func startFrontendWith(t *testing.T, store *platformstandin.Store, environment ...string) (target, map[string]string) {
	t.Helper()
	engine := platformstandin.StartEngine(&platformstandin.Journal{}, "engine-1", 0, 0)
	t.Cleanup(engine.Close)
	store.Put("servers", "engine-1", fmt.Sprintf(
		`{"service":"orders","address":%q,"zone":"praha-1","version":"v1","batchSlots":24,"phase":"ready","sequence":1}`, engine.Address))
	addresses := map[string]string{}
	for _, name := range []string{"caller", "readiness", "directory", "peer", "metrics"} {
		addresses[name] = freeAddress(t)
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("host: {name: h1, data-centre: praha-1}\nlisten: {caller: %q, readiness: %q, directory: %q, peer: %q, metrics: %q}\n"+
		"store: {address: %q}\npeers: {key: key-of-the-hosts-1}\nlimits: {memory-mb: %d}\n",
		addresses["caller"], addresses["readiness"], addresses["directory"], addresses["peer"], addresses["metrics"], store.Address, *machineMemoryMB)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	p := startProcess(t, "frontend", environment, "-config", file)
	answered := func() bool {
		return succeeds(http.MethodPost, "http://"+addresses["caller"]+"/unsafe/a", strings.Repeat("x", 17_000),
			map[string]string{"Authorization": "Bearer " + accountKey, "X-Attempt-Id": fmt.Sprint("ordinary-", time.Now().UnixNano())})
	}
	eventually(t, "the front end serves", answered)
	head := "POST /unsafe/a HTTP/1.1\r\nHost: rides.example\r\nAuthorization: Bearer " + accountKey + "\r\n"
	return target{process: p, address: addresses["caller"], head: head, ordinary: answered}, addresses
}

// startDaemon starts a daemon with an engine. The first target is its interface for callers,
// the second that for operators.
func startDaemon(t *testing.T, environment ...string) (caller, operator target) {
	t.Helper()
	return startDaemonWith(t, daemonExtras{}, "http", environment...)
}

// daemonExtras are lines to add to the settings, and to the pools and the services of the service text.
type daemonExtras struct{ settings, pools, services string }

// startDaemonWith starts a daemon with the extras that serves the scheme.
func startDaemonWith(t *testing.T, extras daemonExtras, scheme string, environment ...string) (caller, operator target) {
	t.Helper()
	dir, engine := t.TempDir(), freeAddress(t)
	startProcess(t, "standin", nil, "engine", "-listen", engine)
	callerAddress, operatorAddress := freeAddress(t), freeAddress(t)
	file := filepath.Join(dir, "settings.yaml")
	settingsText := fmt.Sprintf("host: {name: h1, data-centre: praha-1}\nlisten: {caller: %q, operator: %q, peer: %q}\nplatform: {table: memory}\n"+
		"keys: {resume: resume-key-0123456, peer: peer-key-012345678, operators: {ops: %s}, accounts: {guides: %s}}\n"+
		"limits: {memory-mb: %d, body-bytes: 4194304, header-timeout: 30s, idle-timeout: 60s}\n",
		callerAddress, operatorAddress, freeAddress(t), operatorKey, accountKey, *machineMemoryMB)
	require.NoError(t, os.WriteFile(file, []byte(settingsText+extras.settings), 0o600))
	p := startProcess(t, "daemon", environment, "-config", file)

	serviceFile := filepath.Join(dir, "service.yaml")
	serviceText := fmt.Sprintf(`version: 1
data-centres: [praha-1]
pools:
  - name: model
    kind: engine
    data-centre: praha-1
    fencing: refuses-old
    limits: {cold-requests: 8, max-requests: 16, memory-tokens: 65536, target-step: 62ms}
    upstreams:
      - {name: praha-1-e1, address: %q}
%sservices:
  - name: restart
    delivery: restart
    repeatable: true
    deadline: 60s
    versions:
      - {name: v1, model: m1, pools: [model], share: 100}
%saccounts:
  - {name: guides, share: 1, max-queued: 100}
`, engine, extras.pools, extras.services)
	require.NoError(t, os.WriteFile(serviceFile, []byte(serviceText), 0o600))
	eventually(t, "the service text is in force", func() bool {
		cmd := exec.Command(os.Args[0], "apply", "-wait", "-timeout", "30s", serviceFile)
		cmd.Env = append(os.Environ(), programEnv+"=ctl", "RATTAN_ADDR="+operatorAddress, "RATTAN_KEY="+operatorKey)
		return cmd.Run() == nil
	})
	answered := func() bool {
		return succeeds(http.MethodPost, scheme+"://"+callerAddress+"/v1/services/restart/generate",
			`{"prompt":"tokens=5 `+strings.Repeat("x", 17_000)+`"}`,
			map[string]string{"Authorization": "Bearer " + accountKey, "Content-Type": "application/json"})
	}
	eventually(t, "the daemon serves", answered)
	callerHead := "POST /v1/services/restart/generate HTTP/1.1\r\nHost: rides.example\r\nContent-Type: application/json\r\nAuthorization: Bearer " + accountKey + "\r\n"
	operatorHead := "PUT /v1/text HTTP/1.1\r\nHost: rides.example\r\nContent-Type: application/yaml\r\nAuthorization: Bearer " + operatorKey + "\r\n"
	operatorAnswered := func() bool {
		return answered() && succeeds(http.MethodGet, scheme+"://"+operatorAddress+"/v1/status", "", map[string]string{"Authorization": "Bearer " + operatorKey})
	}
	return target{process: p, address: callerAddress, head: callerHead, ordinary: answered},
		target{process: p, address: operatorAddress, head: operatorHead, ordinary: operatorAnswered}
}
