package capacity

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/servicetext"
)

// textSize is the number of entries of each kind in a service text.
type textSize struct{ pools, upstreamsEach, services, accounts int }

// serviceText returns a service text with entries as long as those of users.
func serviceText(s textSize) string {
	var b strings.Builder
	b.WriteString("version: 1\ndata-centres: [praha-1, praha-2, praha-3, praha-4]\npools:\n")
	for p := range s.pools {
		fmt.Fprintf(&b, "  - name: model-%04d-praha-%d\n    kind: engine\n    data-centre: praha-%d\n    fencing: refuses-old\n", p, p%4+1, p%4+1)
		b.WriteString("    limits: {cold-requests: 4, max-requests: 128, memory-tokens: 655360, target-step: 62ms}\n    upstreams:\n")
		for u := range s.upstreamsEach {
			n := p*s.upstreamsEach + u
			fmt.Fprintf(&b, "      - {name: e%05d, address: 10.%d.%d.%d:9001}\n", n, n/60000, n/250%250, n%250+1)
		}
	}
	b.WriteString("services:\n")
	for n := range s.services {
		fmt.Fprintf(&b, "  - name: service-%04d\n    delivery: restart\n    priority: 5\n    deadline: 60s\n", n)
		fmt.Fprintf(&b, "    versions:\n      - {name: v1, model: oldtown-7b, pools: [model-%04d-praha-%d], share: 100}\n", n%s.pools, n%s.pools%4+1)
		b.WriteString("    rollout: {finish-within: 30m, max-error-increase: 0.02, max-slowdown: 1.5}\n")
	}
	b.WriteString("accounts:\n")
	for n := range s.accounts {
		fmt.Fprintf(&b, "  - {name: account-%05d, share: 3, max-queued: 100}\n", n)
	}
	return b.String()
}

func parse(text string) (*entity.ServiceText, error) {
	return servicetext.Parse("service text", []byte(text))
}

// measureParse measures a service text: its length, the live heap of the parsed
// configuration without the text, the peak heap and the processor time of parsing.
func measureParse(b *testing.B, size textSize) []measurement {
	text := serviceText(size)
	if _, err := parse(text); err != nil {
		b.Fatal(err)
	}
	return []measurement{
		{"text-B", float64(len(text))},
		{"heap-B", retainedHeap(func() any { parsed, _ := parse(text); return parsed })},
		{"peak-B", peakHeap(func() { _, _ = parse(text) })},
		{"cpu-ns", cpuTime(func() { _, _ = parse(text) })},
	}
}

func BenchmarkTextUpstreams(b *testing.B) {
	fitSlopes(b, "upstream", []int{1000, 2000, 4000, 8000}, func(n int) []measurement {
		return measureParse(b, textSize{pools: 100, upstreamsEach: n / 100, services: 1, accounts: 1})
	})
}

func BenchmarkTextPools(b *testing.B) {
	fitSlopes(b, "pool", []int{50, 100, 200, 400}, func(n int) []measurement {
		return measureParse(b, textSize{pools: n, upstreamsEach: 1, services: 1, accounts: 1})
	})
}

func BenchmarkTextServices(b *testing.B) {
	fitSlopes(b, "service", []int{50, 100, 200, 400}, func(n int) []measurement {
		return measureParse(b, textSize{pools: 10, upstreamsEach: 1, services: n, accounts: 1})
	})
}

func BenchmarkTextAccounts(b *testing.B) {
	fitSlopes(b, "account", []int{2000, 4000, 8000, 16000}, func(n int) []measurement {
		return measureParse(b, textSize{pools: 1, upstreamsEach: 1, services: 1, accounts: n})
	})
}

// smallChange returns an entry of the change log that carries no service text.
func smallChange(revision uint64) entity.Change {
	return entity.Change{
		Revision: revision, ID: fmt.Sprintf("01J%023d", revision), Kind: entity.ChangeDataCentreTakeOut, Operator: "operator-01",
		CreatedAt: time.Unix(1_700_000_000, 0).UTC(), Name: "praha-1",
	}
}

func newFollower(b *testing.B, size textSize) *changelog.Follower {
	f := changelog.NewFollower(parse)
	if _, err := f.Apply(entity.Change{Revision: 1, Kind: entity.ChangeApply, Text: serviceText(size)}); err != nil {
		b.Fatal(err)
	}
	return f
}

// BenchmarkLogEntries measures the entries that a follower retains for its peers. It
// retains the latest 1,000.
func BenchmarkLogEntries(b *testing.B) {
	fitSlopes(b, "entry", []int{100, 200, 400, 800}, func(n int) []measurement {
		return []measurement{{"heap-B", retainedHeap(func() any {
			f := newFollower(b, textSize{pools: 1, upstreamsEach: 1, services: 1, accounts: 1})
			for i := range n {
				_, _ = f.Apply(smallChange(uint64(i + 2)))
			}
			return f
		})}}
	})
}

// BenchmarkSmallChange measures applying an entry that carries no text to a
// configuration of growing size.
func BenchmarkSmallChange(b *testing.B) {
	fitSlopes(b, "upstream", []int{1000, 2000, 4000, 8000}, func(n int) []measurement {
		f := newFollower(b, textSize{pools: 100, upstreamsEach: n / 100, services: 100, accounts: n})
		revision := uint64(1)
		return []measurement{{"cpu-ns", cpuTime(func() {
			revision++
			_, _ = f.Apply(smallChange(revision))
		})}}
	})
}
