//go:build reviewcase

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanscale/rattanscale/platform/standin"
)

// record is the log of a case: what was sent, answered and run. Times are milliseconds since the
// start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8d ms  %s\n", r.now().Milliseconds(), fmt.Sprintf(format, args...))
}

const (
	hostName   = "rides.example"
	apiKey     = "key-of-the-guides"
	tenant     = "guides"
	heartbeat  = 1200 * time.Millisecond
	contact    = 3 * time.Second
	graceS     = 8
	leadTime   = 4 * time.Second
	readyLimit = 20 * time.Second
)

// machine is one process of the system.
type machine struct {
	name, zone                             string
	frontend, ready, control, registry, mx string
	settings                               string
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
}

// site is a small deployment: the store, engines and machines.
type site struct {
	record   *record
	store    *standin.Store
	dir      string
	machines []*machine
	engines  []*engine
	zones    []string
}

func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	return &site{record: r, store: standin.StartStore(), dir: dir, zones: []string{"staromestske", "vinohrady"}}, nil
}

// startMachines starts the system's processes with the command of the deploy file and settings as
// deploy/frontend.yaml renders them.
func (s *site) startMachines(count int) error {
	for i := range count {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), zone: s.zones[i%len(s.zones)]}
		for _, address := range []*string{&m.frontend, &m.ready, &m.control, &m.registry, &m.mx} {
			var err error
			if *address, err = standin.FreeAddress(); err != nil {
				return err
			}
		}
		s.machines = append(s.machines, m)
	}
	var seeds []string
	for _, m := range s.machines[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("%q", m.control))
	}
	for _, m := range s.machines {
		m.settings = filepath.Join(s.dir, m.name+".yaml")
		text := fmt.Sprintf(`host: {name: %q, data-centre: %q}
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
drain: {limit: %ds}
rollout: { share: 0.1, slack: 50 }
`, m.name, m.zone, m.frontend, m.ready, m.registry, m.control, m.mx, s.store.Address, strings.Join(seeds, ","), graceS)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := s.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startMachine(m *machine) error {
	logFile, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/rattanscaled", "frontend", "-config", m.settings)
	m.cmd.Env = []string{"GOGC=200", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = logFile, logFile
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	s.record.add("start %s pid %d", m.name, m.cmd.Process.Pid)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = logFile.Close()
		s.record.add("end %s: %s", m.name, cmd.ProcessState)
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

// waitReady waits until all machines say that they are ready, and a little longer.
func (s *site) waitReady() error {
	end := time.Now().Add(readyLimit)
	for _, m := range s.machines {
		for {
			response, err := http.Get("http://" + m.ready + "/rattanscale/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.add("all machines are ready")
	time.Sleep(leadTime)
	return nil
}

// close ends everything that the case has started.
func (s *site) close() {
	for _, m := range s.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	for _, e := range s.engines {
		e.stop()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.record.add("logs in %s", s.dir)
	}
}

// client sends requests. It asks the directory for addresses, keeps the answer for its time, and
// opens a connection of its own for each request or keeps some.
type client struct {
	site      *site
	transport *http.Transport

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func newClient(s *site) *client {
	return &client{site: s, transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

func (c *client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) > 0 && time.Now().Before(c.until) {
		return c.addresses[rand.Intn(len(c.addresses))]
	}
	for range 3 {
		m := c.site.machines[rand.Intn(len(c.site.machines))]
		asker := http.Client{Timeout: time.Second}
		response, err := asker.Get("http://" + m.registry + "/rattanscale/resolve?name=" + hostName + "&region=praha&zone=" + m.zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTLS, 5)*float64(time.Second)))
			return c.addresses[rand.Intn(len(c.addresses))]
		}
	}
	if len(c.addresses) > 0 {
		return c.addresses[rand.Intn(len(c.addresses))]
	}
	return c.site.machines[0].frontend
}

// request is one client attempt.
type request struct {
	id, method, path, body string
	header                 map[string]string
	deadline               time.Duration
	// patience is when the client leaves; 0 is half a second after the deadline.
	patience time.Duration
}

// answer is what the client got.
type answer struct {
	status    int
	body      string
	err       error
	signature string
	machine   string
}

func (c *client) send(r request) (a answer) {
	a.machine = c.address()
	patience := r.deadline + 500*time.Millisecond
	if r.patience > 0 {
		patience = r.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, r.method, "http://"+a.machine+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	hr.Host = hostName
	hr.Header.Set("X-Attempt-Id", r.id)
	hr.Header.Set("X-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	hr.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range r.header {
		hr.Header.Set(name, value)
	}
	c.site.record.add("sent      %s to %s", r.id, c.site.machineAt(a.machine))
	defer func() {
		c.site.record.add("answered  %s status %d %v by %s", r.id, a.status, a.err, c.site.machineAt(a.machine))
	}()
	response, err := c.transport.RoundTrip(hr)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	var b strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		b.Write(buffer[:n])
		if err != nil {
			if err.Error() != "EOF" {
				a.err = err
			}
			break
		}
	}
	a.body = b.String()
	return a
}

func (s *site) machineAt(address string) string {
	for _, m := range s.machines {
		if m.frontend == address {
			return m.name
		}
	}
	return address
}

// every calls f at a steady rate, each call in a goroutine of its own, until the time is over, and
// waits for the calls.
func every(interval, length time.Duration, f func(n int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		calls.Go(func() { f(n) })
		<-ticker.C
	}
	calls.Wait()
}
