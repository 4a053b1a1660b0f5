package gossip

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// maxUndividedHosts is the number of hosts up to which a site is one cell, in which all hosts
	// tell each other everything; the largest such site measured has 90.
	maxUndividedHosts = 96
	// maxMeanCellHosts is the largest number of hosts in a cell of a divided site.
	maxMeanCellHosts = 48
	// remoteFailureTimeout is the time without news after which a host of another cell counts as
	// gone: its cell tells of it once a second. The directory may name a host for 6 s
	// after its end.
	remoteFailureTimeout = 4 * time.Second
	// digestInterval is the time in which each host is told of each other cell once.
	digestInterval = time.Second
	// introductionPeriod is how long a new host is introduced with its addresses to other cells:
	// in four digests, of which some may get lost.
	introductionPeriod = 4 * time.Second
	// digestsPerIntroduction is the number of digests of which one introduces all its hosts.
	digestsPerIntroduction = 5
)

// cell names the hosts and upstreams of a data centre whose names fall into one part.
type cell struct {
	dataCentre string
	index      uint64
}

// Cells divides a large site, so that what hosts tell each other does not grow with
// their number. A cell has some hosts of one data centre and the upstreams that these
// prefer; its hosts tell each other of loads and changes, and other cells only who
// lives. Cells is an immutable snapshot.
type Cells struct {
	// cellCounts is the number of cells of each data centre; nil while the site is one cell.
	cellCounts  map[string]uint64
	ownCell     cell
	hostsByCell map[cell][]Member
}

// divideIntoCells divides a site with the given other hosts.
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
		// Powers of two change seldom, so hosts that know a few more or less agree.
		parts := uint64(1)
		for uint64(n) > maxMeanCellHosts*parts {
			parts *= 2
		}
		c.cellCounts[dataCentre] = parts
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

// CellCount returns the number of cells of this host's data centre; 0 while the site is one cell.
func (c *Cells) CellCount() uint64 { return c.cellCounts[c.ownCell.dataCentre] }

// OwnCellHosts returns the other hosts of this host's cell.
func (c *Cells) OwnCellHosts() []Member { return c.hostsByCell[c.ownCell] }

// HostsInCellOf returns the hosts of the cell that a host or an upstream is in.
func (c *Cells) HostsInCellOf(dataCentre, name string) []Member {
	return c.hostsByCell[c.cellOf(dataCentre, name)]
}

// DigestTargets returns the hosts of other cells that this host tells of its cell in the given
// round. The hosts of a cell share the others out and change places each round, so that
// each is told in each round and by another host than before.
func (c *Cells) DigestTargets(self string, live []Member, round int64) []Member {
	position, cellSize := 0, len(c.OwnCellHosts())+1
	for _, m := range c.OwnCellHosts() {
		if m.Name < self {
			position++
		}
	}
	var targets []Member
	for _, m := range live {
		// By the name and not by the place in the list: hosts that know one more or
		// less still share out the others alike.
		slot := (retry.Hash(m.Name) + uint64(round)) % uint64(cellSize)
		if slot == uint64(position) && !c.InOwnCell(m.DataCentre, m.Name) {
			targets = append(targets, m)
		}
	}
	return targets
}
