package gossip

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// wholeSite is the number of hosts up to which a site is one cell, in which all hosts
	// tell each other everything; the largest such site measured has 90.
	wholeSite = 96
	// cellHosts is the largest number of hosts in a cell of a divided site.
	cellHosts = 48
	// farSilence is the time without news after which a host of another cell counts as
	// gone: its cell tells of it once a second. The directory may name a host for 6 s
	// after its end.
	farSilence = 4 * time.Second
	// farInterval is the time in which each host is told of each other cell once.
	farInterval = time.Second
	// introduceFor is how long a new host is introduced with its addresses to other cells:
	// in four digests, of which some may get lost.
	introduceFor = 4 * time.Second
	// introduceEvery is the number of digests of which one introduces all its hosts.
	introduceEvery = 5
)

// cell names the hosts and upstreams of a data centre whose names fall into one part.
type cell struct {
	dataCentre string
	part       uint64
}

// Cells divides a large site, so that what hosts tell each other does not grow with
// their number. A cell has some hosts of one data centre and the upstreams that these
// prefer; its hosts tell each other of loads and changes, and other cells only who
// lives. Cells is an immutable snapshot.
type Cells struct {
	// parts is the number of cells of each data centre; nil while the site is one cell.
	parts map[string]uint64
	self  cell
	hosts map[cell][]Member
}

// divide divides a site with the given other hosts.
func divide(self Member, live []Member) *Cells {
	if len(live) < wholeSite {
		return &Cells{}
	}
	count := map[string]int{self.DataCentre: 1}
	for _, m := range live {
		count[m.DataCentre]++
	}
	c := &Cells{parts: make(map[string]uint64, len(count)), hosts: make(map[cell][]Member)}
	for dataCentre, n := range count {
		// Powers of two change seldom, so hosts that know a few more or less agree.
		parts := uint64(1)
		for uint64(n) > cellHosts*parts {
			parts *= 2
		}
		c.parts[dataCentre] = parts
	}
	c.self = c.of(self.DataCentre, self.Name)
	for _, m := range live {
		in := c.of(m.DataCentre, m.Name)
		c.hosts[in] = append(c.hosts[in], m)
	}
	return c
}

// Divided reports whether the site has more than one cell.
func (c *Cells) Divided() bool { return c.parts != nil }

func (c *Cells) of(dataCentre, name string) cell {
	return cell{dataCentre, retry.Hash(name) % max(c.parts[dataCentre], 1)}
}

// Own reports whether a host or an upstream is in this host's cell.
func (c *Cells) Own(dataCentre, name string) bool {
	return !c.Divided() || c.of(dataCentre, name) == c.self
}

// Parts returns the number of cells of this host's data centre; 0 while the site is one cell.
func (c *Cells) Parts() uint64 { return c.parts[c.self.dataCentre] }

// Near returns the other hosts of this host's cell.
func (c *Cells) Near() []Member { return c.hosts[c.self] }

// Around returns the hosts of the cell that a host or an upstream is in.
func (c *Cells) Around(dataCentre, name string) []Member { return c.hosts[c.of(dataCentre, name)] }

// Far returns the hosts of other cells that this host tells of its cell in the given
// round. The hosts of a cell share the others out and change places each round, so that
// each is told in each round and by another host than before.
func (c *Cells) Far(self string, live []Member, round int64) []Member {
	place, size := 0, len(c.Near())+1
	for _, m := range c.Near() {
		if m.Name < self {
			place++
		}
	}
	var out []Member
	for _, m := range live {
		// By the name and not by the place in the list: hosts that know one more or
		// less still share out the others alike.
		turn := (retry.Hash(m.Name) + uint64(round)) % uint64(size)
		if turn == uint64(place) && !c.Own(m.DataCentre, m.Name) {
			out = append(out, m)
		}
	}
	return out
}
