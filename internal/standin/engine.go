package standin

import (
	"crypto/rand"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// EngineSettings configures an emulated model engine.
type EngineSettings struct {
	// Models lists the models loaded at start; an empty list accepts every model.
	Models []string
	// BaseStep, StepPerRequest and StepPerKiloToken add up to the time of one step.
	BaseStep         time.Duration
	StepPerRequest   time.Duration
	StepPerKiloToken time.Duration
	// PrefillPerKiloToken is added to the step in which a request is admitted.
	PrefillPerKiloToken time.Duration
	// ColdFactor multiplies the step time in the cold state; 0 means 1.
	ColdFactor float64
	// MemoryTokens bounds prompt and output tokens of the running requests; 0 means unlimited.
	MemoryTokens int
	// ColdRequests is the number of requests that the engine can hold in the cold
	// state; one more crashes it. 0 means that the engine is never cold.
	ColdRequests int
	// WarmAfter is the number of completed requests that end the cold state.
	WarmAfter int
	// ResumeWindow is the time for which a generation without a reader is kept.
	ResumeWindow time.Duration
	// ReportLag is the age of the state that load reports show.
	ReportLag time.Duration
	// CacheLag delays cache events. Every CacheGap-th event is left out; 0 means none.
	CacheLag time.Duration
	CacheGap uint64
	// CachePrefixes bounds the cached prompt prefixes.
	CachePrefixes int
	// IgnoreFencing makes the engine carry out orders with an old fencing token.
	IgnoreFencing bool
	// OrderKey is the bearer key that orders must carry; empty means none.
	OrderKey string
	// LoadTime is the time that loading a model takes.
	LoadTime time.Duration
}

// DefaultEngineSettings returns the settings of a small warm engine.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		BaseStep: 10 * time.Millisecond, StepPerRequest: 500 * time.Microsecond,
		StepPerKiloToken: 200 * time.Microsecond, PrefillPerKiloToken: 5 * time.Millisecond,
		MemoryTokens: 65536, ColdRequests: 0, WarmAfter: 4, ResumeWindow: 15 * time.Second,
		ReportLag: 500 * time.Millisecond, CacheLag: 2 * time.Second, CacheGap: 5, CachePrefixes: 256,
	}
}

// EngineStats counts what the engine did. It is the body of GET /stats.
type EngineStats struct {
	Incarnation  string   `json:"incarnation"`
	Cold         bool     `json:"cold"`
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	MemoryTokens int      `json:"memory_tokens"`
	Models       []string `json:"models"`
	Role         string   `json:"role"`
	// Starts counts generations per request identifier, PromptStarts per PromptFingerprint.
	Starts          map[string]int `json:"starts"`
	PromptStarts    map[string]int `json:"prompt_starts"`
	Started         int            `json:"started"`
	LastStartUnixMS int64          `json:"last_start_unix_ms"`
	Completed       int            `json:"completed"`
	Cancelled       int            `json:"cancelled"`
	Dropped         int            `json:"dropped"`
	Resumed         int            `json:"resumed"`
	Tokens          int            `json:"tokens"`
	Preemptions     int            `json:"preemptions"`
	MaxRunning      int            `json:"max_running"`
	// MaxCold is the highest number of requests held in the cold state.
	MaxCold        int `json:"max_cold"`
	ColdViolations int `json:"cold_violations"`
	// ViolatedBy lists the requests held at the latest violation, in the order of arrival.
	ViolatedBy []HeldRequest `json:"violated_by,omitempty"`
	// Losses counts restarts in which all generations were lost.
	Losses      int `json:"losses"`
	Orders      int `json:"orders"`
	StaleOrders int `json:"stale_orders"` // old fencing tokens, refused or carried out
}

// HeldRequest is a request that an engine holds.
type HeldRequest struct {
	RequestID string    `json:"request_id"`
	Arrived   time.Time `json:"arrived"`
}

// PromptFingerprint returns the key of EngineStats.PromptStarts.
func PromptFingerprint(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// generation is one model run for a request. The token at an offset is derived from
// the identifier and the offset, so only the number of tokens is stored.
type generation struct {
	id             string
	request        upstream.GenerateRequest
	promptTokens   int
	targetTokens   int
	finishReason   string
	producedTokens int
	done           bool
	lost           bool
	arrivalNumber  uint64
	arrivedAt      time.Time
	readerCount    int
	unreadSince    time.Time
	changed        chan struct{} // closed at each change
}

func (g *generation) memoryTokens() int { return g.promptTokens + g.producedTokens }

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Engine emulates a model engine with continuous batching in real time. It is
// safe for concurrent use. Its creator closes it.
type Engine struct {
	settings EngineSettings
	faults   *faultPlan
	wake     chan struct{}
	stop     chan struct{}
	stopped  sync.WaitGroup

	mu                  sync.Mutex
	incarnation         string
	cold                bool
	leaving             bool
	crashMarker         string
	completedWhileCold  int
	arrivalCount        uint64
	running             []*generation // in order of admission
	waiting             []*generation // by priority, then arrival
	heldByRequest       map[string]*generation
	models              []string
	role                string
	highestFencingToken uint64
	reportHistory       []upstream.Report
	cache               prefixCache
	stats               EngineStats
}

// NewEngine starts an engine; Close stops it.
func NewEngine(settings EngineSettings) *Engine {
	e := &Engine{
		settings: settings, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		heldByRequest: map[string]*generation{}, stats: EngineStats{Starts: map[string]int{}, PromptStarts: map[string]int{}},
		cache: prefixCache{maxPrefixes: settings.CachePrefixes},
	}
	e.faults = newFaultPlan(e.applyFault)
	// lose-answer does not apply to streams, which have no single answer; reset
	// breaks them.
	e.faults.losesAnswer = func(r *http.Request) bool {
		return r.URL.Path == "/v1/orders" || r.URL.Path == "/v1/cancel"
	}
	e.restart()
	e.stopped.Add(1)
	go e.run()
	return e
}

// Close stops the engine and marks its generations as lost. It must be called
// exactly once.
func (e *Engine) Close() {
	close(e.stop)
	e.stopped.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseAllGenerations()
}

// SetFault activates the fault and reports whether its kind is supported.
func (e *Engine) SetFault(f Fault) bool { return e.faults.set(f) }

func (e *Engine) applyFault(f Fault) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case FaultNone:
		e.crashMarker, e.leaving = "", false
	case FaultColdRestart:
		e.crash()
	case FaultCrashOn:
		e.crashMarker = f.Marker
	case FaultLeave:
		e.leaving = true
	default:
		return false
	}
	e.appendReport()
	return true
}

// restart begins a new incarnation. The highest fencing token is kept, as in an
// engine that stores it durably.
func (e *Engine) restart() {
	e.incarnation = "i" + strings.ToLower(rand.Text()[:10])
	e.cold = e.settings.ColdRequests > 0
	e.completedWhileCold = 0
	e.models = slices.Clone(e.settings.Models)
	e.cache.clear()
	e.appendReport()
}

func (e *Engine) crash() {
	e.stats.Losses++
	e.loseAllGenerations()
	e.restart()
}

func (e *Engine) loseAllGenerations() {
	for _, g := range e.heldByRequest {
		g.lost = true
		g.notify()
	}
	clear(e.heldByRequest)
	e.running, e.waiting = nil, nil
}

// start queues a generation and replaces an existing generation of the same request.
func (e *Engine) start(request upstream.GenerateRequest) (*generation, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt := promptTokens(request.Prompt)
	if len(e.settings.Models) > 0 && !slices.Contains(e.models, request.Model) {
		return nil, &refusal{404, "model_not_found", "model " + request.Model + " is not loaded"}
	}
	if limit := e.settings.MemoryTokens; limit > 0 && prompt >= limit {
		return nil, &refusal{400, "prompt_too_long", "prompt exceeds the engine's memory"}
	}
	e.dropExpired()
	if old := e.heldByRequest[request.RequestID]; old != nil {
		e.remove(old)
	}
	e.arrivalCount++
	g := &generation{
		id: "g" + strings.ToLower(rand.Text()[:8]), request: request, promptTokens: prompt,
		arrivalNumber: e.arrivalCount, arrivedAt: time.Now(), unreadSince: time.Now(), changed: make(chan struct{}),
	}
	g.targetTokens, g.finishReason = outputLength(request)
	e.heldByRequest[request.RequestID] = g
	e.waiting = append(e.waiting, g)
	e.countStart(request)
	e.enforceColdLimit()
	e.appendReport()
	e.wakeUp()
	return g, nil
}

func (e *Engine) countStart(request upstream.GenerateRequest) {
	e.stats.Starts[request.RequestID]++
	e.stats.PromptStarts[PromptFingerprint(request.Prompt)]++
	e.stats.Started++
	e.stats.LastStartUnixMS = time.Now().UnixMilli()
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running)+len(e.waiting))
}

// enforceColdLimit crashes the engine if it is cold and holds more than ColdRequests
// requests.
func (e *Engine) enforceColdLimit() {
	if !e.cold {
		return
	}
	heldRequests := len(e.running) + len(e.waiting)
	e.stats.MaxCold = max(e.stats.MaxCold, heldRequests)
	if heldRequests > e.settings.ColdRequests {
		e.stats.ColdViolations++
		e.stats.ViolatedBy = lo.Map(slices.Concat(e.running, e.waiting), func(g *generation, _ int) HeldRequest {
			return HeldRequest{g.request.RequestID, g.arrivedAt}
		})
		e.crash()
	}
}

// resume returns the held generation if it can continue at the offset.
func (e *Engine) resume(requestID, generationID string, offset int) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpired()
	g := e.heldByRequest[requestID]
	if g == nil || g.id != generationID || offset < 0 || offset > g.producedTokens {
		return nil
	}
	e.stats.Resumed++
	return g
}

func (e *Engine) cancel(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.heldByRequest[requestID]
	if g == nil {
		return false
	}
	if !g.done {
		e.stats.Cancelled++
	}
	e.remove(g)
	e.appendReport()
	return true
}

// remove discards the generation; its readers see it as lost.
func (e *Engine) remove(g *generation) {
	delete(e.heldByRequest, g.request.RequestID)
	e.removeFromBatch(g)
	g.lost = true
	g.notify()
}

func (e *Engine) removeFromBatch(g *generation) {
	same := func(o *generation) bool { return o == g }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// dropExpired discards generations that had no reader for longer than the resume window.
func (e *Engine) dropExpired() {
	now := time.Now()
	for _, g := range e.heldByRequest {
		if g.readerCount == 0 && now.Sub(g.unreadSince) > e.settings.ResumeWindow {
			if !g.done {
				e.stats.Dropped++
			}
			e.remove(g)
		}
	}
}

func (e *Engine) attach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readerCount++
}

func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.readerCount--; g.readerCount == 0 {
		g.unreadSince = time.Now()
	}
}

// progress is a snapshot of a generation for its reader.
type progress struct {
	producedTokens int
	done           bool
	lost           bool
	changed        <-chan struct{}
}

func (e *Engine) progress(g *generation) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{producedTokens: g.producedTokens, done: g.done, lost: g.lost, changed: g.changed}
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Incarnation, s.Cold, s.Role = e.incarnation, e.cold, e.role
	s.Running, s.Waiting, s.MemoryTokens = len(e.running), len(e.waiting), e.usedMemoryTokens()
	s.Models = slices.Clone(e.models)
	s.Starts, s.PromptStarts = cloneCounts(s.Starts), cloneCounts(s.PromptStarts)
	return s
}

var lengthDirective = regexp.MustCompile(`\btokens=(\d{1,6})\b`)

// outputLength returns the number of tokens that the request produces and the
// finish reason. The length is given by a directive such as tokens=100 in the prompt,
// or else derived from a hash of the prompt. The daemon cannot know it in advance.
func outputLength(request upstream.GenerateRequest) (tokens int, finishReason string) {
	const shortest, spread = 8, 248
	if m := lengthDirective.FindStringSubmatch(request.Prompt); m != nil {
		tokens, _ = strconv.Atoi(m[1])
	} else {
		tokens = shortest + int(xxhash.Sum64String(request.Prompt)%spread)
	}
	if request.MaxTokens > 0 && tokens > request.MaxTokens {
		return request.MaxTokens, "length"
	}
	return tokens, "stop"
}

// promptTokens estimates the number of tokens of a prompt, at four bytes a token.
func promptTokens(prompt string) int { return (len(prompt) + 3) / 4 }

func tokenText(g *generation, offset int) string {
	return g.id + "-" + strconv.Itoa(offset) + " "
}

func cloneCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
