package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	dynamoTarget = "DynamoDB_20120810."
	opGet        = dynamoTarget + "GetItem"
	opQuery      = dynamoTarget + "Query"
	opTransact   = dynamoTarget + "TransactWriteItems"
	// maxItemBytes and maxTransactItems are the limits of the DynamoDB protocol.
	maxItemBytes     = 400 << 10
	maxTransactItems = 100
)

// TableSettings describes an emulated table service.
type TableSettings struct {
	Delay time.Duration
	// WritesPerSecond and ReadsPerSecond bound items; 0 means unlimited.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// PageItems bounds the items of one page of a query; 0 means as many as asked for.
	PageItems int
}

// TableStats is the body of GET /stats.
type TableStats struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"` // items written
	Commits   int `json:"commits"`
	Conflicts int `json:"conflicts"`
	Throttled int `json:"throttled"`
	Items     int `json:"items"`
}

type tableKey struct{ table, partition, sort string }

// Table emulates the subset of the DynamoDB JSON protocol that the dynamo
// adapter uses: GetItem, Query and TransactWriteItems with the conditions
// attribute_not_exists(pk) and ver = :v, on a primary key of the strings pk and
// sk. It is safe for concurrent use and needs no closing.
type Table struct {
	settings     TableSettings
	faults       *faultPlan
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	mu    sync.Mutex
	items map[tableKey]attributes
	stats TableStats
}

// NewTable returns an empty table service. Tables exist without being created.
func NewTable(settings TableSettings) *Table {
	t := &Table{
		settings: settings, faults: newFaultPlan(nil), items: map[tableKey]attributes{},
		writeLimiter: newLimiter(settings.WritesPerSecond), readLimiter: newLimiter(settings.ReadsPerSecond),
	}
	t.faults.losesAnswer = func(r *http.Request) bool { return r.Header.Get("X-Amz-Target") == opTransact }
	return t
}

// newLimiter allows bursts of one second's quota, and of at least one full
// transaction. A rate of 0 means unlimited.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), maxTransactItems))
}

// SetFault activates the fault and reports whether its kind is supported.
func (t *Table) SetFault(f Fault) bool { return t.faults.set(f) }

// Stats returns the counters.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Items = len(t.items)
	return s
}

// Handler serves the protocol at POST /, and POST /fault and GET /stats.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", t.serve)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Stats())
	})
	return t.faults.middleware(mux)
}

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(t.settings.Delay)
	operations := map[string]func(*json.Decoder) (any, *dynamoError){
		opGet: t.getItem, opQuery: t.query, opTransact: t.transact,
	}
	operation, ok := operations[r.Header.Get("X-Amz-Target")]
	if !ok {
		writeDynamoError(w, &dynamoError{Type: "UnknownOperationException", Message: r.Header.Get("X-Amz-Target")})
		return
	}
	output, protocolErr := operation(json.NewDecoder(r.Body))
	if protocolErr != nil {
		writeDynamoError(w, protocolErr)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(output)
}

func (t *Table) getItem(body *json.Decoder) (any, *dynamoError) {
	var in getItemInput
	if err := body.Decode(&in); err != nil {
		return nil, validationError(err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if protocolErr := t.admitRead(); protocolErr != nil {
		return nil, protocolErr
	}
	return getItemOutput{Item: t.items[in.Key.itemKey(in.TableName)]}, nil
}

// admitRead counts a read or refuses it at the rate limit.
func (t *Table) admitRead() *dynamoError {
	if !t.readLimiter.Allow() {
		t.stats.Throttled++
		return throttlingError()
	}
	t.stats.Reads++
	return nil
}

// query supports the key conditions "pk = :p" and "pk = :p AND sk > :after".
func (t *Table) query(body *json.Decoder) (any, *dynamoError) {
	var in queryInput
	if err := body.Decode(&in); err != nil {
		return nil, validationError(err.Error())
	}
	if c := in.KeyConditionExpression; c != "pk = :p" && c != "pk = :p AND sk > :after" {
		return nil, validationError("unsupported key condition " + c)
	}
	after := max(in.Values[":after"].text(), in.ExclusiveStartKey["sk"].text())
	t.mu.Lock()
	defer t.mu.Unlock()
	if protocolErr := t.admitRead(); protocolErr != nil {
		return nil, protocolErr
	}
	return t.queryPage(in, after), nil
}

func (t *Table) queryPage(in queryInput, after string) queryOutput {
	matching := []attributes{}
	for key, item := range t.items {
		if key.table == in.TableName && key.partition == in.Values[":p"].text() && key.sort > after {
			matching = append(matching, item)
		}
	}
	slices.SortFunc(matching, func(a, b attributes) int { return cmp.Compare(a["sk"].text(), b["sk"].text()) })
	pageSize := len(matching)
	for _, limit := range []int{in.Limit, t.settings.PageItems} {
		if limit > 0 {
			pageSize = min(pageSize, limit)
		}
	}
	out := queryOutput{Items: matching[:pageSize], Count: pageSize}
	if pageSize < len(matching) && pageSize > 0 {
		last := matching[pageSize-1]
		out.LastEvaluatedKey = attributes{"pk": last["pk"], "sk": last["sk"]}
	}
	return out
}

// transact applies all writes of a transaction or none.
func (t *Table) transact(body *json.Decoder) (any, *dynamoError) {
	var in transactInput
	if err := body.Decode(&in); err != nil {
		return nil, validationError(err.Error())
	}
	writes, protocolErr := in.parseWrites()
	if protocolErr != nil {
		return nil, protocolErr
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.writeLimiter.AllowN(time.Now(), len(writes)) {
		t.stats.Throttled++
		return nil, throttlingError()
	}
	if failed := t.checkConditions(writes); failed != nil {
		t.stats.Conflicts++
		return nil, failed
	}
	t.stats.Commits++
	for _, w := range writes {
		switch {
		case w.isDelete:
			delete(t.items, w.key)
		case w.item != nil:
			t.items[w.key] = w.item
		default:
			continue
		}
		t.stats.Writes++
	}
	return struct{}{}, nil
}

func (t *Table) checkConditions(writes []tableWrite) *dynamoError {
	reasons := make([]cancelReason, len(writes))
	anyFailed := false
	for i, w := range writes {
		reasons[i].Code = "None"
		if !w.conditionHolds(t.items[w.key]) {
			reasons[i].Code, anyFailed = "ConditionalCheckFailed", true
		}
	}
	if !anyFailed {
		return nil
	}
	codes := make([]string, len(reasons))
	for i, r := range reasons {
		codes[i] = r.Code
	}
	return &dynamoError{
		Type: "TransactionCanceledException", Message: "Transaction cancelled, reasons [" + strings.Join(codes, ", ") + "]",
		Reasons: reasons,
	}
}

// tableWrite is one checked operation of a transaction. Without item and remove
// it only checks its condition.
type tableWrite struct {
	key             tableKey
	mustNotExist    bool // the item must not exist
	expectedVersion uint64
	item            attributes
	isDelete        bool
}

func (w tableWrite) conditionHolds(current attributes) bool {
	if w.mustNotExist {
		return current == nil
	}
	version, err := strconv.ParseUint(current["ver"].N, 10, 64)
	return current != nil && err == nil && version == w.expectedVersion
}
