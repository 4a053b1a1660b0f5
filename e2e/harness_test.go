// Package e2e runs the programs as separate processes and injects failures.
// Requirements such as R3 and the section numbers are those of docs/design.md.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/callerclient"
	"github.com/rattanscale/rattanscale/internal/ctl"
	"github.com/rattanscale/rattanscale/internal/daemon"
	"github.com/rattanscale/rattanscale/internal/operatorapi"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// programEnv makes the test binary run as one of the programs.
const programEnv = "RATTANSCALE_TEST_PROGRAM"

// waitTimeout bounds the wait for an expected state; it is not a performance target.
const waitTimeout = 60 * time.Second

const (
	operatorKey = "operator-key-0123"
	accountKey  = "guides-key-012345"
)

func TestMain(m *testing.M) {
	mains := map[string]func([]string, io.Writer, io.Writer) int{
		"rattanscaled": daemon.Main, "rattanctl": ctl.Main, "rattanstandin": standin.Main,
	}
	if main := mains[os.Getenv(programEnv)]; main != nil {
		os.Exit(main(os.Args[1:], os.Stdout, os.Stderr))
	}
	commands := map[string]func(){}
	for name, main := range mains {
		commands[name] = func() { os.Exit(main(os.Args[1:], os.Stdout, os.Stderr)) }
	}
	testscript.Main(m, commands)
}

// process is one running program.
type process struct {
	t       testing.TB
	name    string
	cmd     *exec.Cmd
	address string // set for stand-ins only
	output  lockedBuffer
	exited  chan struct{}
	// stoppedByTest is set when the test itself ended the process.
	stoppedByTest bool
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(os.Environ(), programEnv+"="+program, "GORACE=exitcode=66 halt_on_error=1")
	p.cmd.Stderr = &p.output
	stdout, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	lines := bufio.NewScanner(stdout)
	if program == "rattanstandin" {
		require.True(t, lines.Scan(), "%s: %s", name, &p.output)
		_, p.address, _ = strings.Cut(lines.Text(), "addr=")
	}
	go func() {
		for lines.Scan() {
			_, _ = p.output.Write(append(lines.Bytes(), '\n'))
		}
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("--- %s\n%s", name, lastBytes(p.output.String(), 6000))
		}
		require.NotContains(t, p.output.String(), "DATA RACE", name)
	})
	return p
}

func lastBytes(s string, n int) string { return s[max(0, len(s)-n):] }

// signal sends a signal to the process, unless it has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.stoppedByTest = true
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// setFault activates a fault in a stand-in.
func (p *process) setFault(f standin.Fault) {
	p.t.Helper()
	body, err := json.Marshal(f)
	require.NoError(p.t, err)
	response, err := http.Post("http://"+p.address+"/fault", "application/json", bytes.NewReader(body))
	require.NoError(p.t, err)
	require.NoError(p.t, response.Body.Close())
	require.Less(p.t, response.StatusCode, 300)
}

// readStats returns the counters of a stand-in.
func readStats[T any](p *process) T {
	p.t.Helper()
	var out T
	response, err := http.Get("http://" + p.address + "/stats")
	require.NoError(p.t, err)
	defer func() { _ = response.Body.Close() }()
	require.NoError(p.t, json.NewDecoder(response.Body).Decode(&out))
	return out
}

// host is one daemon with its listen addresses.
type host struct {
	*process
	name, dataCentre                            string
	callerAddress, operatorAddress, peerAddress string
	settingsFile                                string
}

// cluster is a set of daemons and stand-ins.
type cluster struct {
	t           testing.TB
	dir         string
	table       *process
	hostList    *process
	objectStore *process
	hosts       []*host
	engines     map[string]*process
	plains      map[string]*process
	// extraSettings returns additional settings of a host.
	extraSettings func(*host) string
}

// portCounter makes each call of freeAddress start at another port. The ports
// lie below the ephemeral port range, so that no outgoing connection takes a port before
// the daemon listens on it.
var portCounter atomic.Int32

func freeAddress(t testing.TB) string {
	t.Helper()
	const firstPort, portCount = 20_000, 10_000
	for range portCount {
		port := firstPort + (os.Getpid()*97+int(portCounter.Add(1)))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// newCluster starts the platform's stand-ins and one daemon for each named data centre.
func newCluster(t testing.TB, dataCentres ...string) *cluster {
	t.Helper()
	return newClusterWithSettings(t, func(*host) string { return "" }, dataCentres...)
}

// newClusterWithSettings is newCluster with additional settings for each host.
func newClusterWithSettings(t testing.TB, extraSettings func(*host) string, dataCentres ...string) *cluster {
	t.Helper()
	c := &cluster{extraSettings: extraSettings, t: t, dir: t.TempDir(), engines: map[string]*process{}, plains: map[string]*process{}}
	c.table = startProcess(t, "table", "rattanstandin", "table", "-listen", "127.0.0.1:0")
	c.hostList = startProcess(t, "hostlist", "rattanstandin", "hostlist", "-listen", "127.0.0.1:0")
	c.objectStore = startProcess(t, "objects", "rattanstandin", "objects", "-listen", "127.0.0.1:0")
	for i, dc := range dataCentres {
		c.addHost(fmt.Sprintf("h%d", i+1), dc)
	}
	c.listHosts(c.hosts...)
	for _, h := range c.hosts {
		h.start()
	}
	return c
}

func (c *cluster) addHost(name, dataCentre string) *host {
	h := &host{process: &process{t: c.t}, name: name, dataCentre: dataCentre}
	h.callerAddress, h.operatorAddress, h.peerAddress = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	h.settingsFile = filepath.Join(c.dir, name+".yaml")
	text := fmt.Sprintf(`
host: {name: %s, data-centre: %s}
listen: {caller: "%s", operator: "%s", peer: "%s"}
platform: {table: dynamo, table-url: "http://%s", host-list-url: "http://%s", objects-url: "http://%s", bucket: texts, access-key: test, secret-key: test}
keys:
  resume: resume-key-0123456
  peer: peer-key-012345678
  operators: {ops: %s}
  accounts: {guides: %s}
limits: {token-timeout: 2s}
drain: {announce: 1s, limit: 2s}
`, name, dataCentre, h.callerAddress, h.operatorAddress, h.peerAddress, c.table.address, c.hostList.address, c.objectStore.address, operatorKey, accountKey)
	require.NoError(c.t, os.WriteFile(h.settingsFile, []byte(text+c.extraSettings(h)), 0o600))
	c.hosts = append(c.hosts, h)
	return h
}

func (h *host) start() {
	h.process = startProcess(h.t, h.name, "rattanscaled", "-config", h.settingsFile)
}

// listHosts replaces the platform's host list with the given hosts.
func (c *cluster) listHosts(hosts ...*host) {
	type row struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}
	rows := []row{}
	for _, h := range hosts {
		rows = append(rows, row{h.name, h.peerAddress})
	}
	c.writeHostList(rows)
}

// writeHostList replaces the platform's host list.
func (c *cluster) writeHostList(rows any) {
	c.t.Helper()
	body, err := json.Marshal(rows)
	require.NoError(c.t, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+c.hostList.address+"/hosts", bytes.NewReader(body))
	require.NoError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
}

func (c *cluster) startEngine(name string, args ...string) *process {
	p := startProcess(c.t, name, "rattanstandin", append([]string{"engine", "-listen", "127.0.0.1:0"}, args...)...)
	c.engines[name] = p
	return p
}

func (c *cluster) startPlain(name string, args ...string) *process {
	p := startProcess(c.t, name, "rattanstandin", append([]string{"plain", "-listen", "127.0.0.1:0"}, args...)...)
	c.plains[name] = p
	return p
}

// runCtl runs rattanctl against a host and returns its output and exit status.
func (c *cluster) runCtl(h *host, args ...string) (string, int) {
	c.t.Helper()
	var out bytes.Buffer
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), programEnv+"=rattanctl", "RATTAN_ADDR="+h.operatorAddress, "RATTAN_KEY="+operatorKey)
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		require.NoError(c.t, err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

func (c *cluster) requireCtl(h *host, args ...string) string {
	c.t.Helper()
	out, code := c.runCtl(h, args...)
	require.Zero(c.t, code, "%v: %s", args, out)
	return out
}

// applyServiceText applies the service text and waits until it is in force.
func (c *cluster) applyServiceText(text string) {
	c.t.Helper()
	file := filepath.Join(c.dir, "service.yaml")
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	c.eventually("accept the service text", func() bool {
		_, code := c.runCtl(c.hosts[0], "apply", "-wait", "-timeout", "30s", file)
		return code == 0
	})
}

// waitReady waits until every host sees all hosts as ready.
func (c *cluster) waitReady() {
	c.t.Helper()
	c.eventually("all hosts are ready", func() bool {
		for _, h := range c.hosts {
			s, ok := c.status(h)
			if !ok || len(s.Observed.Hosts) != len(c.hosts) {
				return false
			}
			for _, row := range s.Observed.Hosts {
				if !row.Ready {
					return false
				}
			}
		}
		return true
	})
}

func (c *cluster) status(h *host) (operatorapi.Status, bool) {
	var s operatorapi.Status
	out, code := c.runCtl(h, "status", "-output", "json")
	if code != 0 {
		return s, false
	}
	return s, json.Unmarshal([]byte(out), &s) == nil
}

func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		c.requireRunning()
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %v: %s", waitTimeout, description)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// requireRunning fails the test if a daemon exited unexpectedly.
func (c *cluster) requireRunning() {
	c.t.Helper()
	for _, h := range c.hosts {
		if h.cmd == nil || h.stoppedByTest {
			continue
		}
		select {
		case <-h.exited:
			c.t.Fatalf("host %s exited unexpectedly", h.name)
		default:
		}
	}
}

// newClient returns a client with the given hosts as seeds.
func (c *cluster) newClient(hosts ...*host) *callerclient.Client {
	client := &callerclient.Client{Key: accountKey, HTTP: &http.Client{Transport: &http.Transport{}}, Scheme: "http"}
	for _, h := range hosts {
		client.SeedAddresses = append(client.SeedAddresses, h.callerAddress)
	}
	return client
}

// generate sends a request and requires a complete answer of the given number of tokens.
func (c *cluster) generate(client *callerclient.Client, service string, tokens int) *callerclient.Answer {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	answer, err := client.Generate(ctx, callerclient.Request{Service: service, Prompt: fmt.Sprintf("tokens=%d", tokens), AcceptRestart: true})
	require.NoError(c.t, err)
	require.Len(c.t, answer.Tokens, tokens)
	return answer
}

func generateRequest(service string, tokens int, onToken func(string)) callerclient.Request {
	return callerclient.Request{Service: service, Prompt: fmt.Sprintf("tokens=%d", tokens), AcceptRestart: true, OnToken: onToken}
}
