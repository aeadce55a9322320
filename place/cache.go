package place

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// promptChain is a prompt in the form in which an engine caches it. A part is
// cached only if all parts before it are, so that its key covers them too.
type promptChain struct {
	keys   []uint64
	tokens []int
}

// newPromptChain returns the chain of a prompt.
func newPromptChain(p wigeonladder.Prompt) promptChain {
	c := promptChain{keys: make([]uint64, len(p.Parts)), tokens: make([]int, len(p.Parts))}
	d := xxhash.New()
	_, _ = d.WriteString(p.Model)
	for i, part := range p.Parts {
		_, _ = d.WriteString("\x00" + part.ID)
		c.keys[i] = d.Sum64()
		c.tokens[i] = part.Tokens
	}
	return c
}

// sharedParts returns the number of parts that other requests may share: all
// but the last, which belongs to the request itself.
func (c promptChain) sharedParts() int { return max(len(c.keys)-1, 0) }

// sharedTokens returns the number of tokens in the shared parts.
func (c promptChain) sharedTokens() int {
	n := 0
	for _, t := range c.tokens[:c.sharedParts()] {
		n += t
	}
	return n
}

// affinityKey returns the key of the last shared part, by which requests are
// directed to the same servers; 0 if there is no shared part.
func (c promptChain) affinityKey() uint64 {
	if n := c.sharedParts(); n > 0 {
		return c.keys[n-1]
	}
	return 0
}

// affinityTokens returns the number of tokens in the last shared part.
func (c promptChain) affinityTokens() int {
	if n := c.sharedParts(); n > 0 {
		return c.tokens[n-1]
	}
	return 0
}

// zoneLocal reports whether the last shared part is so short that every zone
// keeps a copy: reading it once more costs less than sending its calls to
// another zone.
func (c promptChain) zoneLocal() bool { return c.affinityTokens() <= zoneLocalTokens }

// prefixCache is a model of the prompt parts in an engine's cache: the parts
// that were sent to it most recently, up to its capacity in tokens.
type prefixCache struct {
	capacity int
	used     int
	parts    map[uint64]*list.Element
	// order contains the parts, the most recently used first.
	order *list.List
}

// cachedPart is one part in a prefixCache.
type cachedPart struct {
	key    uint64
	tokens int
}

// newPrefixCache returns an empty cache with a capacity in tokens.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, parts: map[uint64]*list.Element{}, order: list.New()}
}

// cachedTokens returns the number of leading tokens of a chain that are cached.
func (c *prefixCache) cachedTokens(q promptChain) int {
	n := 0
	for i, k := range q.keys {
		if _, ok := c.parts[k]; !ok {
			break
		}
		n += q.tokens[i]
	}
	return n
}

// touch records that the engine reads a part.
func (c *prefixCache) touch(key uint64, tokens int) {
	if e, ok := c.parts[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.parts[key] = c.order.PushFront(cachedPart{key, tokens})
	c.used += tokens
	c.evict()
}

// setCapacity changes the capacity.
func (c *prefixCache) setCapacity(tokens int) {
	c.capacity = tokens
	c.evict()
}

// evict removes the least recently used parts beyond the capacity. The newest one stays.
func (c *prefixCache) evict() {
	for c.used > c.capacity && c.order.Len() > 1 {
		last, _ := c.order.Remove(c.order.Back()).(cachedPart)
		delete(c.parts, last.key)
		c.used -= last.tokens
	}
}

// touchAll records that the engine reads a whole prompt. It touches the parts
// from the last to the first, because a part is useful without those after it
// but not without those before it, which therefore have to be evicted later.
func (c *prefixCache) touchAll(q promptChain) {
	for i := len(q.keys) - 1; i >= 0; i-- {
		c.touch(q.keys[i], q.tokens[i])
	}
}
