package replay

import "slices"

// prefixCache models the prefix cache of an engine. It holds a limited number of
// tokens and evicts the least recently used prefix.
type prefixCache struct {
	capacityTokens, usedTokens int
	entries                    []prefixEntry // least recently used first
}

type prefixEntry struct {
	hash   uint64
	tokens int
}

func (c *prefixCache) indexOf(hash uint64) int {
	return slices.IndexFunc(c.entries, func(e prefixEntry) bool { return e.hash == hash })
}

// lookUp reports whether the prefix is cached and marks it as the most recently used.
func (c *prefixCache) lookUp(hash uint64) bool {
	i := c.indexOf(hash)
	if hash == 0 || i < 0 {
		return false
	}
	e := c.entries[i]
	c.entries = append(slices.Delete(c.entries, i, i+1), e)
	return true
}

// insert adds the prefix and returns whether it is new and the hashes evicted for it.
func (c *prefixCache) insert(hash uint64, tokens int) (added bool, evicted []uint64) {
	if c.lookUp(hash) || tokens == 0 || tokens > c.capacityTokens {
		return false, nil
	}
	for c.usedTokens+tokens > c.capacityTokens {
		evicted = append(evicted, c.entries[0].hash)
		c.usedTokens -= c.entries[0].tokens
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	c.entries = append(c.entries, prefixEntry{hash, tokens})
	c.usedTokens += tokens
	return true, evicted
}

func (c *prefixCache) clear() { c.entries, c.usedTokens = nil, 0 }
