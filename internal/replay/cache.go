package replay

import "slices"

// prefixCache holds prompt prefixes in limited memory and evicts the least
// recently used one.
type prefixCache struct {
	limit, used int
	entries     []prefixEntry // least recently used first
}

type prefixEntry struct {
	hash   uint64
	tokens int
}

func (c *prefixCache) find(hash uint64) int {
	return slices.IndexFunc(c.entries, func(e prefixEntry) bool { return e.hash == hash })
}

// use reports whether the prefix is cached and marks it as used.
func (c *prefixCache) use(hash uint64) bool {
	i := c.find(hash)
	if hash == 0 || i < 0 {
		return false
	}
	e := c.entries[i]
	c.entries = append(slices.Delete(c.entries, i, i+1), e)
	return true
}

// insert adds the prefix and returns whether it is new and what was evicted for it.
func (c *prefixCache) insert(hash uint64, tokens int) (added bool, evicted []uint64) {
	if c.use(hash) || tokens == 0 || tokens > c.limit {
		return false, nil
	}
	for c.used+tokens > c.limit {
		evicted = append(evicted, c.entries[0].hash)
		c.used -= c.entries[0].tokens
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	c.entries = append(c.entries, prefixEntry{hash, tokens})
	c.used += tokens
	return true, evicted
}

func (c *prefixCache) clear() { c.entries, c.used = nil, 0 }
