package discovery

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// modelStep is the time between two steps of the model.
	modelStep = checkInterval
	// modelConvergence is how long hosts may stay apart in calm: the longest time between the
	// passes of a host, twice, since a contact or a write may be lost.
	modelConvergence = 50 * time.Second
	modelPageSize    = 500
)

// modelHosts bounds the hosts of all sites of a size; -rapid.checks bounds the sites too.
var modelHosts = flag.Int("discovery.hosts", 3000, "number of hosts of all model sites of a size together")

// modelHost is a host in the model. Gossip is reduced to groups: hosts of one group know each
// other, and an answered contact joins two groups.
type modelHost struct {
	Host
	hash     uint64
	running  bool
	cut      bool // from the store
	side     int  // of the partition
	group    int
	schedule *Schedule
	absent   map[string]absence
	cursor   int
}

type model struct {
	t        *rapid.T
	now      time.Time
	random   *rand.Rand
	hosts    []*modelHost
	byName   map[string]*modelHost
	table    map[string]Row
	revision uint64
	storeUp  bool
	// calls counts calls of the store in the current second, mostCalls is the highest count.
	second           int64
	calls, mostCalls int
}

func newModel(t *rapid.T, n int, seed uint64) *model {
	m := &model{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*modelHost{},
		table: map[string]Row{}, storeUp: true, second: -1,
	}
	for i := range n {
		h := &modelHost{Host: host(i)}
		h.hash = retry.Hash(h.Name)
		m.hosts, m.byName[h.Name] = append(m.hosts, h), h
	}
	return m
}

// start starts hosts that do not run. Those that have a usable seed join the group of the first.
func (m *model) start(selected func(i int) bool, goodSeeds bool) {
	for i, h := range m.hosts {
		if h.running || !selected(i) {
			continue
		}
		h.running, h.group, h.absent, h.cursor = true, i, map[string]absence{}, 0
		h.schedule = NewSchedule(h.Name, true, m.now)
		if goodSeeds && m.random.IntN(100) > 0 {
			h.group = m.hosts[0].group
		}
	}
}

// split separates the groups by the sides of the partition.
func (m *model) split(side func(i int) int) {
	for i, h := range m.hosts {
		h.side = side(i)
		h.group = h.group*2 + h.side
	}
}

func (m *model) groups() map[int][]*modelHost {
	groups := map[int][]*modelHost{}
	for _, h := range m.hosts {
		if h.running {
			groups[h.group] = append(groups[h.group], h)
		}
	}
	return groups
}

// run plays the model for a time.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		if m.now.Unix() != m.second {
			m.second, m.calls = m.now.Unix(), 0
		}
		for _, group := range m.groups() {
			slices.SortFunc(group, func(a, b *modelHost) int { return cmp.Compare(a.hash, b.hash) })
			for rank, h := range group[:min(len(group), lastActingRank+1)] {
				if h.schedule.Due(Standing{Rank: rank, LiveCount: len(group) - 1}, m.now) {
					m.pass(h, group)
				}
			}
		}
	}
}

func (m *model) call(h *modelHost) error {
	m.calls++
	m.mostCalls = max(m.mostCalls, m.calls)
	if !m.storeUp || h.cut {
		return errors.New("no answer")
	}
	return nil
}

// pass does what Service.pass does.
func (m *model) pass(h *modelHost, group []*modelHost) {
	v := View{Self: h.Host}
	for _, other := range group {
		if other != h {
			v.Live = append(v.Live, other.Host)
		}
	}
	var all []Row
	for _, row := range m.table {
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	pages := len(all)/modelPageSize + 1
	rows, complete := all, true
	if v.alone() && pages > 1 {
		first := h.cursor % pages * modelPageSize
		rows, complete = all[first:min(first+modelPageSize, len(all))], false
		h.cursor++
	}
	for range pages {
		if err := m.call(h); err != nil {
			h.schedule.passed(v.alone(), err, 0, 0, m.now)
			return
		}
		if v.alone() {
			break
		}
	}
	p := makePlan(v, rows, h.absent, v.alone() && h.schedule.passesAlone == 0, m.now)
	for _, c := range p.contact {
		other := m.byName[c.Name]
		if other.running && other.side == h.side && m.random.IntN(100) > 0 {
			m.join(h, other)
		}
	}
	count := len(rows)
	if complete {
		for _, row := range append(slices.Clone(p.put), p.removed...) {
			require.Equal(m.t, m.table[row.Name].Revision, row.Revision, "passes of a step are one after another")
		}
		for range (len(p.put) + len(p.removed) + maxRowsPerWrite - 1) / maxRowsPerWrite {
			if err := m.call(h); err != nil {
				h.schedule.passed(v.alone(), err, pages, count, m.now)
				return
			}
		}
		for _, row := range p.put {
			m.revision++
			m.table[row.Name] = Row{row.Host, m.revision}
		}
		for _, row := range p.removed {
			delete(m.table, row.Name)
		}
		count += len(p.put) - len(p.removed)
	}
	h.schedule.passed(v.alone(), nil, pages, count, m.now)
}

func (m *model) join(a, b *modelHost) {
	if from, to := b.group, a.group; from != to {
		for _, h := range m.hosts {
			if h.group == from && h.running {
				h.group = to
			}
		}
	}
}

// requireOneGroup requires that the running hosts know each other within modelConvergence.
func (m *model) requireOneGroup(what string) time.Duration {
	started := m.now
	for len(m.groups()) > 1 {
		require.Less(m.t, m.now.Sub(started), modelConvergence, "%s: %d groups", what, len(m.groups()))
		m.run(modelStep)
	}
	return m.now.Sub(started)
}

// Guards against hosts that stay apart in calm, whatever came before: seeds that are gone, kills,
// hosts or all that are cut from the store, partitions of any length, rows of hosts that are
// gone; and against calls of the store that exceed its rate.
func TestHostsMeetAfterAnyFaults(t *testing.T) {
	for _, n := range []int{7, 300, 2600} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			longest, mostCalls, played := time.Duration(0), 0, 0
			rapid.Check(t, func(t *rapid.T) {
				if played++; played > max(*modelHosts/n, 1) {
					return
				}
				m := newModel(t, n, rapid.Uint64().Draw(t, "seed"))
				all := func(int) bool { return true }
				some := func(share int) func(int) bool {
					drawn := make([]bool, n)
					for i := range drawn {
						drawn[i] = m.random.IntN(100) < share
					}
					return func(i int) bool { return drawn[i] }
				}
				m.start(all, rapid.Bool().Draw(t, "seeds at the first start"))
				m.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "first seconds")) * time.Second)
				for range rapid.IntRange(1, 5).Draw(t, "faults") {
					chosen := some(rapid.SampledFrom([]int{5, 50, 95, 100}).Draw(t, "share"))
					switch rapid.SampledFrom([]string{"kill", "start", "start without seeds", "partition", "store", "cut"}).Draw(t, "fault") {
					case "kill":
						for i, h := range m.hosts {
							h.running = h.running && !chosen(i)
						}
					case "start":
						m.start(chosen, true)
					case "start without seeds":
						m.start(chosen, false)
					case "partition":
						m.split(func(i int) int {
							if chosen(i) {
								return 1
							}
							return 0
						})
					case "store":
						m.storeUp = !m.storeUp
					case "cut":
						for i, h := range m.hosts {
							h.cut = chosen(i)
						}
					}
					m.run(time.Duration(rapid.SampledFrom([]int{1, 4, 20, 90, 400}).Draw(t, "seconds")) * time.Second)
				}
				m.start(some(50), false)
				m.storeUp = true
				for _, h := range m.hosts {
					h.cut, h.side = false, 0
				}
				longest = max(longest, m.requireOneGroup("calm"))
				m.run(modelConvergence)
				for _, h := range m.hosts {
					_, registered := m.table[h.Name]
					require.True(t, registered || !h.running, "%s has no row", h.Name)
				}
				m.run(removalAge + 3*time.Minute)
				running := slices.DeleteFunc(slices.Clone(m.hosts), func(h *modelHost) bool { return !h.running })
				if len(running) > 1 { // a single host waits for aloneRemovalAge
					require.Len(t, m.table, len(running), "rows of hosts that are gone")
				}
				mostCalls = max(mostCalls, m.mostCalls)
			})
			t.Logf("%d hosts: one group %v after the last fault at the latest, at most %d calls a second", n, longest, mostCalls)
			require.LessOrEqual(t, mostCalls, 2000, "reads a second that the store allows")
		})
	}
}
