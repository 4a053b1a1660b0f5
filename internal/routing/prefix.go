package routing

// prefixSlots bounds the prefixes remembered for one upstream; it is a power of two.
const prefixSlots = 256

// Prefixes remembers which prompt prefixes an upstream probably caches. It is a
// fixed table in which a new prefix replaces the one that shares its slot. Cache
// events are late and have gaps, so its answers are hints only. A Prefixes is not
// safe for concurrent use.
type Prefixes struct {
	slots [prefixSlots]uint64
}

// Note records that a prefix was used or announced.
func (p *Prefixes) Note(prefix uint64) {
	if prefix != 0 {
		p.slots[prefix%prefixSlots] = prefix
	}
}

// Evict records that a prefix left the cache.
func (p *Prefixes) Evict(prefix uint64) {
	if p.slots[prefix%prefixSlots] == prefix {
		p.slots[prefix%prefixSlots] = 0
	}
}

// Holds reports whether the upstream probably caches a prefix.
func (p *Prefixes) Holds(prefix uint64) bool {
	return prefix != 0 && p.slots[prefix%prefixSlots] == prefix
}

// Clear forgets everything, for example because the upstream was restarted.
func (p *Prefixes) Clear() { p.slots = [prefixSlots]uint64{} }
