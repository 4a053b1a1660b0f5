package duty

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanscale/rattanscale/internal/retry"
)

// Host is a host that may hold a duty.
type Host struct{ Name, DataCentre string }

// RankHosts returns the hosts in the order in which they step in for a duty. It takes one host of each
// data centre in turn, so that the loss of a data centre leaves some of the first. The order
// differs between duties.
func RankHosts(duty string, hosts []Host) []Host {
	byHash := func(a, b string) int { return cmp.Compare(hash(duty, a), hash(duty, b)) }
	byDataCentre := make(map[string][]Host)
	for _, h := range hosts {
		byDataCentre[h.DataCentre] = append(byDataCentre[h.DataCentre], h)
	}
	for _, own := range byDataCentre {
		slices.SortFunc(own, func(a, b Host) int { return byHash(a.Name, b.Name) })
	}
	dataCentres := slices.SortedFunc(maps.Keys(byDataCentre), byHash)
	out := make([]Host, 0, len(hosts))
	for round := 0; len(out) < len(hosts); round++ {
		for _, name := range dataCentres {
			if own := byDataCentre[name]; round < len(own) {
				out = append(out, own[round])
			}
		}
	}
	return out
}

func hash(duty, name string) uint64 { return retry.Hash(duty + "\x00" + name) }
