package servicetext

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/goccy/go-yaml/ast"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// reference is the use of a name that the text must declare, before or after the use.
type reference struct {
	node *pathNode
	name string
}

// textReader reads the sections and collects the data for the checks across sections.
type textReader struct {
	*reader
	text                 *entity.ServiceText
	seenNames            map[nameKey]*pathNode
	seenAddresses        map[netip.AddrPort]*pathNode
	dataCentreReferences []reference
	upstreamCount        int
	serviceNodes         []serviceNodes
	poolIndex            map[string]int
	serviceIndex         map[string]int
}

// serviceNodes holds the nodes of one service that the checks across sections report.
type serviceNodes struct {
	node         *pathNode
	dependencies []reference
	pools        []reference // of all versions
	models       []versionModel
	delivery     *pathNode
}

// versionModel holds the model and the pools of a version, for the check that versions
// on engines have a model and versions on plain pools have none.
type versionModel struct {
	node     *pathNode
	model    string
	hasModel bool // the field is present, even with an invalid value
	pools    []string
}

type nameKey struct{ kind, scope, name string }

func newTextReader(r *reader) *textReader {
	return &textReader{
		reader: r, text: &entity.ServiceText{}, seenNames: map[nameKey]*pathNode{}, seenAddresses: map[netip.AddrPort]*pathNode{},
		poolIndex: map[string]int{}, serviceIndex: map[string]int{},
	}
}

var (
	textFields     = []string{"version", "data-centres", "pools", "services", "accounts"}
	poolFields     = []string{"name", "kind", "data-centre", "fencing", "refusals-prove-not-run", "limits", "upstreams"}
	limitFields    = []string{"cold-requests", "max-requests", "memory-tokens", "target-step"}
	upstreamFields = []string{"name", "address", "leaving"}
	serviceFields  = []string{"name", "depends-on", "delivery", "repeatable", "priority", "deadline", "versions", "rollout"}
	versionFields  = []string{"name", "model", "pools", "share"}
	rolloutFields  = []string{"finish-within", "max-error-increase", "max-slowdown"}
	accountFields  = []string{"name", "share", "max-queued"}
)

func (t *textReader) read(root *pathNode) *entity.ServiceText {
	t.readFields(root, textFields, []string{"version", "data-centres", "pools", "services"}, func(key string, f *pathNode) {
		switch key {
		case "version":
			t.readInteger(f, 1, 1, 1)
		case "data-centres":
			t.readList(f, maxDataCentres, func(_ int, e *pathNode) {
				t.text.DataCentres = append(t.text.DataCentres, t.uniqueName("data centre", "", e))
			})
		case "pools":
			t.readList(f, MaxUpstreams, func(_ int, e *pathNode) { t.readPool(e) })
		case "services":
			t.readList(f, MaxServices, func(_ int, e *pathNode) { t.readService(e) })
		case "accounts":
			t.readList(f, MaxAccounts, func(_ int, e *pathNode) { t.readAccount(e) })
		}
	})
	t.checkReferences()
	t.checkCycles()
	return t.text
}

// uniqueName reads a name. It reports a name that is already in use for the same kind
// and scope.
func (t *textReader) uniqueName(kind, scope string, p *pathNode) string {
	name := t.readName(p)
	if name == "" {
		return ""
	}
	key := nameKey{kind, scope, name}
	if firstUse, taken := t.seenNames[key]; taken {
		t.report(p, fmt.Sprintf("is the name of another %s in line %d", kind, firstUse.line), "give each "+kind+" its own name")
		return name
	}
	t.seenNames[key] = p
	return name
}

func (t *textReader) readPool(p *pathNode) {
	pool := entity.Pool{Fencing: entity.FencingIgnoresOld}
	var limitsNode *pathNode
	var upstreamsNode *pathNode
	t.readFields(p, poolFields, []string{"name", "kind", "data-centre", "upstreams"}, func(key string, f *pathNode) {
		switch key {
		case "name":
			pool.Name = t.uniqueName("pool", "", f)
		case "kind":
			pool.Kind = entity.UpstreamKind(t.readChoice(f, string(entity.KindEngine), string(entity.KindApplication), string(entity.KindPlain)))
		case "data-centre":
			pool.DataCentre = t.readName(f)
			t.dataCentreReferences = append(t.dataCentreReferences, reference{f, pool.DataCentre})
		case "fencing":
			pool.Fencing = entity.Fencing(t.readChoice(f, string(entity.FencingRefusesOld), string(entity.FencingIgnoresOld)))
		case "refusals-prove-not-run":
			pool.RefusalsProveNotRun = t.readBoolean(f, false)
		case "limits":
			limitsNode = f
		case "upstreams":
			upstreamsNode = f
		}
	})
	pool.Limits = t.readLimits(pool.Kind, limitsNode)
	if upstreamsNode != nil {
		t.readList(upstreamsNode, MaxUpstreams, func(_ int, e *pathNode) {
			pool.Upstreams = append(pool.Upstreams, t.readUpstream(pool.Name, e))
		})
	}
	if _, taken := t.poolIndex[pool.Name]; !taken { // references to a repeated name mean the first pool
		t.poolIndex[pool.Name] = len(t.text.Pools)
	}
	t.text.Pools = append(t.text.Pools, pool)
}

// readLimits reads the limits of a pool. It needs the pool's kind, because token limits
// have no effect in a plain pool.
func (t *textReader) readLimits(kind entity.UpstreamKind, p *pathNode) entity.Limits {
	limits := entity.Limits{ColdRequests: defaultColdRequests, MaxRequests: defaultMaxRequests}
	if kind != entity.KindPlain {
		limits.TargetStep = defaultTargetStep
	}
	if p == nil {
		return limits
	}
	var coldRequestsNode *pathNode
	t.readFields(p, limitFields, nil, func(key string, f *pathNode) {
		if kind == entity.KindPlain && (key == "memory-tokens" || key == "target-step") {
			t.report(f, "has no effect in a plain pool", "remove the field")
			return
		}
		switch key {
		case "cold-requests":
			coldRequestsNode = f
			limits.ColdRequests = t.readInteger(f, 1, maxRequests, defaultColdRequests)
		case "max-requests":
			limits.MaxRequests = t.readInteger(f, 1, maxRequests, maxRequests)
		case "memory-tokens":
			limits.MemoryTokens = t.readInteger(f, minMemoryTokens, maxMemoryTokens, 0)
		case "target-step":
			limits.TargetStep = t.readDuration(f, minTargetStep, maxTargetStep, defaultTargetStep)
		}
	})
	if coldRequestsNode != nil && limits.ColdRequests > limits.MaxRequests {
		t.report(coldRequestsNode, fmt.Sprintf("is above max-requests %d", limits.MaxRequests), "lower cold-requests or raise max-requests")
	}
	return limits
}

func (t *textReader) readUpstream(pool string, p *pathNode) entity.Upstream {
	upstream := entity.Upstream{Pool: pool}
	t.readFields(p, upstreamFields, []string{"name", "address"}, func(key string, f *pathNode) {
		switch key {
		case "name":
			upstream.Name = t.uniqueName("upstream", "", f)
		case "address":
			upstream.Address = t.readAddress(f)
		case "leaving":
			upstream.Leaving = t.readBoolean(f, false)
		}
	})
	if t.upstreamCount++; t.upstreamCount == MaxUpstreams+1 {
		t.reportValue(p, strconv.Itoa(t.upstreamCount), fmt.Sprintf("is above the limit of %d upstreams", MaxUpstreams), "remove upstreams")
	}
	return upstream
}

func (t *textReader) readAddress(p *pathNode) string {
	problemsBefore := len(t.problems)
	s := t.reader.readString(p)
	if len(t.problems) > problemsBefore {
		return ""
	}
	addrPort, err := netip.ParseAddrPort(s)
	if err != nil || addrPort.Port() == 0 || addrPort.Addr().IsUnspecified() || addrPort.Addr().IsMulticast() {
		t.report(p, "is not an IP address and port", "write an address such as 10.0.0.7:9001 or [fd00::7]:9001")
		return ""
	}
	normalized := netip.AddrPortFrom(addrPort.Addr().Unmap(), addrPort.Port())
	if firstUse, taken := t.seenAddresses[normalized]; taken {
		t.report(p, fmt.Sprintf("is the address of another upstream in line %d", firstUse.line), "give each upstream its own address")
		return s
	}
	t.seenAddresses[normalized] = p
	return s
}

func (t *textReader) readService(p *pathNode) {
	s := entity.Service{
		Delivery: entity.DeliverError, Repeatable: true, Priority: defaultPriority, Deadline: defaultDeadline,
		Rollout: entity.RolloutPolicy{FinishWithin: defaultFinishWithin, MaxErrorIncrease: defaultErrorIncrease, MaxSlowdown: defaultSlowdown},
	}
	nodes := serviceNodes{node: p}
	t.readFields(p, serviceFields, []string{"name", "versions"}, func(key string, f *pathNode) {
		switch key {
		case "name":
			s.Name = t.uniqueName("service", "", f)
		case "depends-on":
			s.DependsOn = t.readReferences(f, &nodes.dependencies)
		case "delivery":
			nodes.delivery = f
			s.Delivery = entity.Delivery(t.readChoice(f, string(entity.DeliverWhole), string(entity.DeliverRestart), string(entity.DeliverError)))
		case "repeatable":
			s.Repeatable = t.readBoolean(f, true)
		case "priority":
			s.Priority = t.readInteger(f, 0, 9, defaultPriority)
		case "deadline":
			s.Deadline = t.readDuration(f, minDeadline, maxDeadline, defaultDeadline)
		case "versions":
			s.Versions = t.readVersions(f, &nodes)
		case "rollout":
			s.Rollout = t.readRollout(f, s.Rollout)
		}
	})
	t.serviceIndex[s.Name] = len(t.text.Services)
	t.text.Services = append(t.text.Services, s)
	t.serviceNodes = append(t.serviceNodes, nodes)
}

// readReferences reads a list of distinct names and appends them to collected for
// checkReferences.
func (t *textReader) readReferences(p *pathNode, collected *[]reference) []string {
	var names []string
	seen := map[string]bool{}
	t.readList(p, maxReferences, func(_ int, e *pathNode) {
		name := t.readName(e)
		switch {
		case name == "":
		case seen[name]:
			t.report(e, "is listed twice", "keep one of the two")
		default:
			seen[name] = true
			names = append(names, name)
			*collected = append(*collected, reference{e, name})
		}
	})
	return names
}

func (t *textReader) readVersions(p *pathNode, nodes *serviceNodes) []entity.Version {
	var versions []entity.Version
	hasShare, shareSum, problemsBefore := false, 0, len(t.problems)
	scope := strconv.Itoa(len(t.text.Services)) // unique even if two services have the same name
	t.readList(p, maxVersions, func(_ int, e *pathNode) {
		v := entity.Version{}
		hasModel := false
		t.readFields(e, versionFields, []string{"name", "pools"}, func(key string, f *pathNode) {
			switch key {
			case "name":
				v.Name = t.uniqueName("version", scope, f)
			case "model":
				hasModel = true
				v.Model = t.readName(f)
			case "pools":
				v.Pools = t.readReferences(f, &nodes.pools)
				if n, ok := f.node.(*ast.SequenceNode); ok && len(n.Values) == 0 {
					t.report(f, "is empty", "list at least one pool")
				}
			case "share":
				hasShare = true
				v.Share = t.readInteger(f, 0, fullSharePercent, 0)
			}
		})
		shareSum += v.Share
		versions = append(versions, v)
		nodes.models = append(nodes.models, versionModel{e, v.Model, hasModel, v.Pools})
	})
	if len(versions) == 1 && !hasShare {
		versions[0].Share, shareSum = fullSharePercent, fullSharePercent
	}
	if len(t.problems) > problemsBefore {
		return versions // an invalid share or version would be reported twice
	}
	if len(versions) == 0 {
		t.report(p, "is empty", "list at least one version")
	} else if shareSum != fullSharePercent {
		t.reportValue(p, strconv.Itoa(shareSum), "is the sum of the shares, not 100", "set shares that add up to 100")
	}
	return versions
}

func (t *textReader) readRollout(p *pathNode, policy entity.RolloutPolicy) entity.RolloutPolicy {
	t.readFields(p, rolloutFields, nil, func(key string, f *pathNode) {
		switch key {
		case "finish-within":
			policy.FinishWithin = t.readDuration(f, minFinishWithin, maxFinishWithin, defaultFinishWithin)
		case "max-error-increase":
			policy.MaxErrorIncrease = t.readNumber(f, minErrorIncrease, maxErrorIncrease, defaultErrorIncrease)
		case "max-slowdown":
			policy.MaxSlowdown = t.readNumber(f, minSlowdown, maxSlowdown, defaultSlowdown)
		}
	})
	return policy
}

func (t *textReader) readAccount(p *pathNode) {
	account := entity.ClientAccount{Share: defaultAccountShare, MaxQueued: defaultMaxQueued}
	t.readFields(p, accountFields, []string{"name"}, func(key string, f *pathNode) {
		switch key {
		case "name":
			account.Name = t.uniqueName("client account", "", f)
		case "share":
			account.Share = t.readNumber(f, minAccountShare, maxAccountShare, defaultAccountShare)
		case "max-queued":
			account.MaxQueued = t.readInteger(f, 1, maxQueued, defaultMaxQueued)
		}
	})
	t.text.Accounts = append(t.text.Accounts, account)
}
