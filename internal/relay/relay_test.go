package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/standin"
	"github.com/rattanscale/rattanscale/internal/stream"
	"github.com/rattanscale/rattanscale/internal/upstream"
	"github.com/rattanscale/rattanscale/internal/upstream/engine"
)

// soleMember implements permit.Members for a cell of one daemon with all permissions.
type soleMember struct{}

func (soleMember) MemberInRole(string, permit.Role) (string, string, bool) { return "h1", "peer", true }
func (soleMember) Self() string                                            { return "h1" }
func (soleMember) MaySend(time.Time) error                                 { return nil }
func (soleMember) MayGrant(time.Time, string, permit.Role) error           { return nil }

// expiringMember refuses to send once request-sent is recorded, if expiresAfterSend is set.
type expiringMember struct {
	soleMember
	events           *eventLog
	expiresAfterSend bool
}

func (m *expiringMember) MaySend(time.Time) error {
	if m.expiresAfterSend && m.events.has("request-sent") {
		return failure.NotRun(failure.Isolated, "the member view has expired")
	}
	return nil
}

// localCaller implements permit.Caller by calling the owner in the same process.
type localCaller struct{ owner *permit.Owner }

func (c *localCaller) Call(ctx context.Context, _, method string, params, result any) error {
	switch method {
	case permit.MethodAcquire:
		out, err := c.owner.Acquire(ctx, params.(permit.AcquireParams))
		*result.(*permit.AcquireResult) = out
		return err
	case permit.MethodProgress:
		_, err := c.owner.Progress(ctx, *params.(*permit.ProgressParams))
		return err
	}
	return fmt.Errorf("no method %s", method)
}

// eventLog implements Events and keeps the kinds of recorded events.
type eventLog struct {
	mu    sync.Mutex
	kinds []string
}

func (l *eventLog) Record(kind, _ string, _ ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kinds = append(l.kinds, kind)
}

func (l *eventLog) has(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.kinds {
		if k == kind {
			return true
		}
	}
	return false
}

type noStatus struct{}

func (noStatus) Status(string) (permit.PoolStatus, bool) { return permit.PoolStatus{}, false }

// fixture is a relay with stand-in engines as its upstreams.
type fixture struct {
	relay   *Relay
	member  *expiringMember
	engines []*standin.Engine
	events  *eventLog
	service entity.Service
	account entity.ClientAccount
}

func newFixture(t *testing.T, engines int, delivery entity.Delivery) *fixture {
	t.Helper()
	f := &fixture{events: &eventLog{}}
	p := entity.Pool{Name: "p", Kind: entity.KindEngine, DataCentre: "praha-1", Limits: entity.Limits{ColdRequests: 4, MaxRequests: 16, MemoryTokens: 65536, TargetStep: 62 * time.Millisecond}}
	for i := range engines {
		settings := standin.DefaultEngineSettings()
		settings.BaseStep, settings.ReportLag = time.Millisecond, 0
		e := standin.NewEngine(settings)
		server := httptest.NewServer(e.Handler())
		t.Cleanup(func() { e.Close(); server.CloseClientConnections(); server.Close() })
		f.engines = append(f.engines, e)
		p.Upstreams = append(p.Upstreams, entity.Upstream{Name: fmt.Sprintf("e%d", i+1), Address: strings.TrimPrefix(server.URL, "http://"), Pool: "p"})
	}
	f.service = entity.Service{
		Name: "narration", Delivery: delivery, Repeatable: true, Priority: 5, Deadline: 30 * time.Second,
		Versions: []entity.Version{{Name: "v1", Model: "m", Pools: []string{"p"}, Share: 100}},
	}
	f.account = entity.ClientAccount{Name: "guides", Share: 1, MaxQueued: 100}
	conf := &entity.Configuration{Revision: 1, Text: &entity.ServiceText{
		DataCentres: []string{"praha-1"}, Pools: []entity.Pool{p}, Services: []entity.Service{f.service}, Accounts: []entity.ClientAccount{f.account},
	}}
	adapter := engine.New(engine.Settings{TokenTimeout: time.Second})
	owner := permit.NewOwner(soleMember{}, adapter, nil, f.events, logr.Discard())
	owner.ReserveForDeputy = false
	f.member = &expiringMember{events: f.events}
	client := permit.NewClient(&localCaller{owner}, f.member, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	owner.Sync(ctx, conf, 1)
	loops.Go(func() { owner.Run(ctx) })
	loops.Go(func() { client.Run(ctx) })
	t.Cleanup(func() { cancel(); loops.Wait() })
	f.relay = &Relay{
		Engine: adapter, Permits: client, Config: func() *entity.Configuration { return conf }, Pools: noStatus{},
		Signer: stream.NewSigner("0123456789abcdef"), Events: f.events, Log: logr.Discard(), DataCentre: "praha-1",
		OtherHosts: func() []string { return nil }, Handover: make(chan struct{}), MaxWholeAnswerBytes: 1 << 20,
	}
	return f
}

// Guards against a daemon that checks its permission to send, is paused until the
// permission has expired, and then writes the request.
func TestSendPermissionExpiresBetweenCheckAndWrite(t *testing.T) {
	f := newFixture(t, 1, entity.DeliverRestart)
	f.member.expiresAfterSend = true
	recorder := httptest.NewRecorder()
	err := f.relay.Generate(t.Context(), f.call("r1", "tokens=3"), stream.NewWriter(recorder, 0))
	require.True(t, failure.Is(err, failure.Isolated), "%v", err)
	require.True(t, failure.From(err).NotRun())
	require.Zero(t, f.engines[0].Stats().Started)
}

func (f *fixture) call(id, prompt string) *Call {
	return &Call{RequestID: id, Account: f.account, Service: f.service, Prompt: prompt, Body: []byte(prompt)}
}

// receivedStream is the parsed event stream of a caller. lastData is the data of the last
// event that is not a token.
type receivedStream struct {
	events   []string
	tokens   []stream.EventID
	texts    []string
	lastData string
}

func parseStream(t *testing.T, body string) receivedStream {
	t.Helper()
	var received receivedStream
	var id string
	scanner := bufio.NewScanner(strings.NewReader(body))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "event: "):
			received.events = append(received.events, line[7:])
		case strings.HasPrefix(line, "data: ") && id != "":
			parsed, err := stream.ParseEventID(id)
			require.NoError(t, err)
			received.tokens = append(received.tokens, parsed)
			received.texts = append(received.texts, line[6:])
			id = ""
		case strings.HasPrefix(line, "data: "):
			received.lastData = line[6:]
		}
	}
	return received
}

// requireCompleteStream checks that the tokens are those of one generation, once each and in order.
func requireCompleteStream(t *testing.T, received receivedStream, count int) {
	t.Helper()
	require.Equal(t, stream.EventDone, received.events[len(received.events)-1], received.lastData)
	require.Len(t, received.tokens, count)
	for i, id := range received.tokens {
		require.Equal(t, received.tokens[0].Generation, id.Generation)
		require.Equal(t, i, id.Offset)
	}
}

// callbackWriter is a response writer that calls callback at the token event that brings
// tokensLeft to 0.
type callbackWriter struct {
	*httptest.ResponseRecorder
	tokensLeft int
	callback   func()
}

func (w *callbackWriter) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "event: token") {
		if w.tokensLeft--; w.tokensLeft == 0 {
			w.callback()
		}
	}
	return w.ResponseRecorder.Write(b)
}

func (f *fixture) generate(t *testing.T, call *Call, tokensBeforeCallback int, callback func()) (receivedStream, error) {
	t.Helper()
	w := &callbackWriter{ResponseRecorder: httptest.NewRecorder(), tokensLeft: tokensBeforeCallback, callback: callback}
	err := f.relay.Generate(t.Context(), call, stream.NewWriter(w, 0))
	return parseStream(t, w.Body.String()), err
}

func (f *fixture) injectFault(kind standin.FaultKind) {
	for _, e := range f.engines {
		e.SetFault(standin.Fault{Kind: kind})
	}
}

// Guards against lost or repeated tokens after the connection to the engine breaks.
func TestBrokenEngineConnectionResumesAtNextToken(t *testing.T) {
	f := newFixture(t, 1, entity.DeliverError)
	received, err := f.generate(t, f.call("r1", "tokens=200"), 20, func() { f.injectFault(standin.FaultReset) })
	require.NoError(t, err)
	requireCompleteStream(t, received, 200)
	require.True(t, f.events.has("stream-resumed"))
}

// Guards against joining the tokens of two generations after an engine was lost: a
// restart event must void the earlier tokens.
func TestLostEngineSendsRestartEvent(t *testing.T) {
	f := newFixture(t, 2, entity.DeliverRestart)
	call := f.call("r1", "tokens=100")
	call.AcceptRestart = true
	received, err := f.generate(t, call, 20, func() { f.injectFault(standin.FaultColdRestart) })
	require.NoError(t, err)
	restartIndex, voidedTokens, tokensSeen := -1, 0, 0 // the last restart event and the number of tokens before it
	for i, e := range received.events {
		switch e {
		case stream.EventRestart:
			restartIndex, voidedTokens = i, tokensSeen
		case stream.EventToken:
			tokensSeen++
		}
	}
	require.Positive(t, restartIndex)
	require.Equal(t, stream.EventStart, received.events[restartIndex+1])
	second := received.tokens[voidedTokens:]
	require.NotEqual(t, received.tokens[0].Generation, second[0].Generation)
	requireCompleteStream(t, receivedStream{events: received.events, tokens: second, lastData: received.lastData}, 100)
}

// orderingEngine records the order of the calls that start and end runs.
type orderingEngine struct {
	upstream.Engine
	mu    sync.Mutex
	calls []string
}

func (e *orderingEngine) Generate(ctx context.Context, address string, request upstream.GenerateRequest) (upstream.TokenStream, error) {
	e.record("generate " + address)
	return e.Engine.Generate(ctx, address, request)
}

func (e *orderingEngine) Cancel(ctx context.Context, address, requestID string) error {
	err := e.Engine.Cancel(ctx, address, requestID)
	e.record("cancelled " + address)
	return err
}

func (e *orderingEngine) record(call string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
}

// Guards against a request that another engine runs while the lost one may go on with it.
func TestLostRunIsCancelledBeforeAnotherEngineRunsIt(t *testing.T) {
	f := newFixture(t, 2, entity.DeliverRestart)
	order := &orderingEngine{Engine: f.relay.Engine}
	f.relay.Engine = order
	call := f.call("r1", "tokens=100")
	call.AcceptRestart = true
	received, err := f.generate(t, call, 20, func() { f.injectFault(standin.FaultColdRestart) })
	require.NoError(t, err)
	require.Equal(t, stream.EventDone, received.events[len(received.events)-1])
	order.mu.Lock()
	defer order.mu.Unlock()
	require.GreaterOrEqual(t, len(order.calls), 3)
	first := strings.TrimPrefix(order.calls[0], "generate ")
	require.Equal(t, []string{"generate " + first, "cancelled " + first}, order.calls[:2])
	require.True(t, strings.HasPrefix(order.calls[2], "generate "))
}

// Guards against restarting the stream of a caller that does not accept restarts: it must
// get a typed error.
func TestLostEngineIsTypedErrorWithoutAcceptRestart(t *testing.T) {
	f := newFixture(t, 2, entity.DeliverRestart)
	received, err := f.generate(t, f.call("r1", "tokens=100"), 20, func() { f.injectFault(standin.FaultColdRestart) })
	require.NoError(t, err)
	require.Equal(t, stream.EventError, received.events[len(received.events)-1])
	require.Contains(t, received.lastData, "generation-lost")
}

// Guards against a whole answer that contains tokens of a generation that was lost.
func TestWholeDeliveryHidesLostEngine(t *testing.T) {
	f := newFixture(t, 2, entity.DeliverWhole)
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		for !f.events.has("token-first") {
			time.Sleep(time.Millisecond)
		}
		f.injectFault(standin.FaultColdRestart)
	}()
	received, err := f.generate(t, f.call("r1", "tokens=300"), 0, func() {})
	<-lost
	require.NoError(t, err)
	require.Equal(t, stream.EventStart, received.events[0])
	requireCompleteStream(t, received, 300)
}

// Guards against a caller that cannot resume its stream after its connection broke.
func TestCallerResumesWithResumeToken(t *testing.T) {
	f := newFixture(t, 1, entity.DeliverError)
	ctx, disconnect := context.WithCancel(t.Context())
	w := &callbackWriter{ResponseRecorder: httptest.NewRecorder(), tokensLeft: 30, callback: disconnect}
	require.NoError(t, f.relay.Generate(ctx, f.call("r1", "tokens=200"), stream.NewWriter(w, 0)))
	first := parseStream(t, w.Body.String())
	require.Len(t, first.tokens, 30)

	var start stream.StartData
	decodeJSON(t, first.lastData, &start)
	token, err := f.relay.Signer.Verify(start.ResumeToken, "guides")
	require.NoError(t, err)
	rest := httptest.NewRecorder()
	call := &Call{RequestID: "r1", Account: f.account, Service: f.service}
	require.NoError(t, f.relay.Resume(t.Context(), token, 30, call, stream.NewWriter(rest, 0)))
	second := parseStream(t, rest.Body.String())
	second.tokens = append(first.tokens, second.tokens...)
	requireCompleteStream(t, second, 200)
}

// Guards against cutting long streams when a host drains: the caller must get a resume
// token and the other hosts.
func TestHandoverSendsResumeToken(t *testing.T) {
	f := newFixture(t, 1, entity.DeliverError)
	handover := make(chan struct{})
	f.relay.Handover = handover
	f.relay.OtherHosts = func() []string { return []string{"127.0.0.1:9"} }
	received, err := f.generate(t, f.call("r1", "tokens=200"), 10, func() { close(handover) })
	require.NoError(t, err)
	require.Equal(t, stream.EventHandover, received.events[len(received.events)-1])
	var data stream.HandoverData
	decodeJSON(t, received.lastData, &data)
	require.Equal(t, []string{"127.0.0.1:9"}, data.Hosts)
	token, err := f.relay.Signer.Verify(data.ResumeToken, "guides")
	require.NoError(t, err)
	require.Equal(t, 10, token.Offset)
}

// Guards against a generation that keeps running after its caller has disconnected.
func TestGenerationOfDisconnectedCallerIsCancelled(t *testing.T) {
	f := newFixture(t, 1, entity.DeliverError)
	ctx, disconnect := context.WithCancel(t.Context())
	w := &callbackWriter{ResponseRecorder: httptest.NewRecorder(), tokensLeft: 5, callback: disconnect}
	require.NoError(t, f.relay.Generate(ctx, f.call("r1", "tokens=100000"), stream.NewWriter(w, 0)))
	require.Eventually(t, func() bool { return f.engines[0].Stats().Running == 0 }, 10*time.Second, 10*time.Millisecond)
}

var _ http.ResponseWriter = (*callbackWriter)(nil)

func decodeJSON(t *testing.T, text string, into any) {
	t.Helper()
	require.NoError(t, json.Unmarshal([]byte(text), into))
}
