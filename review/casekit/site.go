//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rattanscale/rattanscale/platform/standin"
)

const (
	routeHost    = "rides.example"
	apiKey       = "key-of-guides"
	frontendPath = "target/rattanscaled"
	// startTimeout bounds the wait until a front end serves.
	startTimeout = 20 * time.Second
)

// site is a store, its engines and front ends as separate processes.
type site struct {
	store     *standin.Store
	dir       string
	hosts     []*host
	record    *record
	peerSeeds []string
}

// host is one front-end process.
type host struct {
	name, zone                                  string
	caller, readiness, directory, peer, metrics string
	settingsFile                                string
	cmd                                         *exec.Cmd
	log                                         *os.File
	exited                                      chan struct{}
}

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *record) close() { _ = r.file.Close() }

func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "rattanscale-review-")
	if err != nil {
		return nil, err
	}
	return &site{store: standin.StartStore(), dir: dir, record: rec}, nil
}

// settingsText is deploy/frontend.yaml with the values of a small deployment.
func (s *site) settingsText(h *host) string {
	var seeds bytes.Buffer
	for i, seed := range s.peerSeeds {
		if i > 0 {
			seeds.WriteByte(',')
		}
		fmt.Fprintf(&seeds, "%q", seed)
	}
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
limits: {memory-mb: 134}
retry: {ratio: 0.2, slack: 54, window: 10s}
drain: {limit: 8s}
rollout: {share: 0.1, slack: 50}
`, h.name, h.zone, h.caller, h.readiness, h.directory, h.peer, h.metrics, s.store.Address, seeds.String())
}

// startHosts starts n front ends in two zones and waits until all are ready.
func (s *site) startHosts(n int) error {
	for i := range n {
		h := &host{name: fmt.Sprintf("edge-%d", i+1), zone: []string{"a", "b"}[i%2]}
		for _, address := range []*string{&h.caller, &h.readiness, &h.directory, &h.peer, &h.metrics} {
			var err error
			if *address, err = standin.FreeAddress(); err != nil {
				return err
			}
		}
		if len(s.peerSeeds) < 3 {
			s.peerSeeds = append(s.peerSeeds, h.peer)
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := s.writeAndStart(h); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// addHost starts a further front end.
func (s *site) addHost(h *host) error {
	s.hosts = append(s.hosts, h)
	return s.writeAndStart(h)
}

func (s *site) writeAndStart(h *host) error {
	h.settingsFile = filepath.Join(s.dir, h.name+".yaml")
	if err := os.WriteFile(h.settingsFile, []byte(s.settingsText(h)), 0o600); err != nil {
		return err
	}
	return s.startHost(h)
}

// startHost starts the process with the command of deploy/system.toml.
func (s *site) startHost(h *host) error {
	log, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.cmd = exec.Command(frontendPath, "frontend", "-config", h.settingsFile)
	h.cmd.Env = append(os.Environ(), "GOGC=200", "RATTANSCALE_NODE_FILE="+h.settingsFile)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	s.record.printf("%s started, pid %d, callers at %s", h.name, h.cmd.Process.Pid, h.caller)
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		s.record.printf("%s ended: %s", h.name, cmd.ProcessState)
		close(exited)
	}(h.cmd, h.exited)
	return nil
}

func (h *host) signal(sig syscall.Signal) { _ = h.cmd.Process.Signal(sig) }

func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *host) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := get("http://" + h.readiness + "/rattanscale/readyz"); status == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", h.name, startTimeout)
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.cmd != nil && h.cmd.Process != nil && h.running() {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// configuration is the operator's configuration; routes is a JSON list.
func configuration(version int, routes, services string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"guides","apiKeys":[%q]}]}`,
		version, routes, services, apiKey)
}
