package routing

// prefixTableSize bounds the prefixes remembered for one upstream; it is a power of two.
const prefixTableSize = 256

// PrefixTable remembers which prompt prefixes an upstream probably caches. It is a
// fixed table in which a new prefix replaces the one that shares its slot. Cache
// events are late and have gaps, so its answers are hints only. A PrefixTable is not
// safe for concurrent use.
type PrefixTable struct {
	slots [prefixTableSize]uint64
}

// Add records that a prefix was used or announced.
func (p *PrefixTable) Add(prefix uint64) {
	if prefix != 0 {
		p.slots[prefix%prefixTableSize] = prefix
	}
}

// Evict records that a prefix left the cache.
func (p *PrefixTable) Evict(prefix uint64) {
	if p.slots[prefix%prefixTableSize] == prefix {
		p.slots[prefix%prefixTableSize] = 0
	}
}

// Holds reports whether the upstream probably caches a prefix.
func (p *PrefixTable) Holds(prefix uint64) bool {
	return prefix != 0 && p.slots[prefix%prefixTableSize] == prefix
}

// Clear forgets everything, for example because the upstream was restarted.
func (p *PrefixTable) Clear() { p.slots = [prefixTableSize]uint64{} }
