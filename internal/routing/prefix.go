package routing

// prefixTableSize is the number of prefixes remembered for one upstream; it is a power
// of two.
const prefixTableSize = 256

// PrefixTable records which prompt prefixes an upstream probably caches. A new prefix
// replaces the one that hashes to the same slot. Cache events of engines are late and
// incomplete, so the answers are only hints. A PrefixTable is not safe for concurrent
// use.
type PrefixTable struct {
	slots [prefixTableSize]uint64
}

// Add records that the upstream used or announced a prefix. The prefix 0 is ignored.
func (p *PrefixTable) Add(prefix uint64) {
	if prefix != 0 {
		p.slots[prefix%prefixTableSize] = prefix
	}
}

// Evict records that a prefix is no longer in the upstream's cache.
func (p *PrefixTable) Evict(prefix uint64) {
	if p.slots[prefix%prefixTableSize] == prefix {
		p.slots[prefix%prefixTableSize] = 0
	}
}

// Holds reports whether the upstream probably caches a prefix.
func (p *PrefixTable) Holds(prefix uint64) bool {
	return prefix != 0 && p.slots[prefix%prefixTableSize] == prefix
}

// Clear removes all prefixes, for example after a restart of the upstream.
func (p *PrefixTable) Clear() { p.slots = [prefixTableSize]uint64{} }
