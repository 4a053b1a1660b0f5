package gossip

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// maxUndividedHosts is the largest number of hosts of an undivided site, in which all hosts
	// exchange their full state. Larger sites are divided into cells.
	maxUndividedHosts = 96
	// maxMeanCellHosts bounds the mean number of hosts in the cells of a data centre. Hosts are
	// assigned by a hash of their names, so single cells may be larger.
	maxMeanCellHosts = 48
	// remoteFailureTimeout is the time since it was last seen after which a host of another
	// cell counts as failed. It spans several digests, which arrive once a second, and stays
	// below the 6 s for which the directory may name a host that has failed.
	remoteFailureTimeout = 4 * time.Second
	// digestInterval is the interval at which each host receives the digest of each other cell.
	digestInterval = time.Second
	// digestOverdueTime is the time since the last digest of a cell after which its hosts are
	// asked for one. Digests of different senders are up to two intervals apart; two lost ones
	// in a row would reach remoteFailureTimeout.
	digestOverdueTime = 2200 * time.Millisecond
	// introductionPeriod is how long the digests include the addresses of a new host. It spans
	// four digests, since datagrams may be lost.
	introductionPeriod = 4 * time.Second
	// One in digestsPerIntroduction digests includes the addresses of all hosts of the cell.
	digestsPerIntroduction = 5
)

// cell identifies the hosts and upstreams of a data centre whose names hash to the same index.
type cell struct {
	dataCentre string
	index      uint64
}

// Cells is the division of a large site into cells, which keeps the traffic of each host
// independent of the number of hosts. A cell consists of some hosts of one data centre and the
// upstreams that these prefer. Its hosts exchange loads and changes with each other, and send
// other cells only a digest of their live hosts. Cells is an immutable snapshot.
type Cells struct {
	// cellCounts is the number of cells of each data centre; nil if the site is undivided.
	cellCounts  map[string]uint64
	ownCell     cell
	hostsByCell map[cell][]Member
}

// divideIntoCells computes the cells of a site from this host and the other live hosts.
func divideIntoCells(self Member, live []Member) *Cells {
	if len(live) < maxUndividedHosts {
		return &Cells{}
	}
	hostCounts := map[string]int{self.DataCentre: 1}
	for _, m := range live {
		hostCounts[m.DataCentre]++
	}
	c := &Cells{cellCounts: make(map[string]uint64, len(hostCounts)), hostsByCell: make(map[cell][]Member)}
	for dataCentre, n := range hostCounts {
		// A power of two changes rarely, so hosts whose views differ by a few hosts compute
		// the same division.
		cellCount := uint64(1)
		for uint64(n) > maxMeanCellHosts*cellCount {
			cellCount *= 2
		}
		c.cellCounts[dataCentre] = cellCount
	}
	c.ownCell = c.cellOf(self.DataCentre, self.Name)
	for _, m := range live {
		memberCell := c.cellOf(m.DataCentre, m.Name)
		c.hostsByCell[memberCell] = append(c.hostsByCell[memberCell], m)
	}
	return c
}

// Divided reports whether the site has more than one cell.
func (c *Cells) Divided() bool { return c.cellCounts != nil }

func (c *Cells) cellOf(dataCentre, name string) cell {
	return cell{dataCentre, retry.Hash(name) % max(c.cellCounts[dataCentre], 1)}
}

// InOwnCell reports whether a host or an upstream is in this host's cell.
func (c *Cells) InOwnCell(dataCentre, name string) bool {
	return !c.Divided() || c.cellOf(dataCentre, name) == c.ownCell
}

// CellCount returns the number of cells of this host's data centre; 0 if the site is undivided.
func (c *Cells) CellCount() uint64 { return c.cellCounts[c.ownCell.dataCentre] }

// OwnCellHosts returns the other hosts of this host's cell.
func (c *Cells) OwnCellHosts() []Member { return c.hostsByCell[c.ownCell] }

// OtherCells returns the hosts of each other cell.
func (c *Cells) OtherCells() [][]Member {
	var out [][]Member
	for id, hosts := range c.hostsByCell {
		if id != c.ownCell {
			out = append(out, hosts)
		}
	}
	return out
}

// HostsInCellOf returns the hosts of the cell that contains the given host or upstream.
func (c *Cells) HostsInCellOf(dataCentre, name string) []Member {
	return c.hostsByCell[c.cellOf(dataCentre, name)]
}

// DigestTargets returns the hosts of other cells to which this host sends the digest of its
// cell in the given round. The hosts of a cell divide the targets among themselves and rotate
// the assignment, so that each target receives one digest per round, each time from another host.
func (c *Cells) DigestTargets(self string, live []Member, round int64) []Member {
	position, cellSize := 0, len(c.OwnCellHosts())+1
	for _, m := range c.OwnCellHosts() {
		if m.Name < self {
			position++
		}
	}
	var targets []Member
	for _, m := range live {
		// The assignment depends on the name and not on the position in the list, so that
		// hosts whose lists differ by one host still agree on the other targets.
		slot := (retry.Hash(m.Name) + uint64(round)) % uint64(cellSize)
		if slot == uint64(position) && !c.InOwnCell(m.DataCentre, m.Name) {
			targets = append(targets, m)
		}
	}
	return targets
}
