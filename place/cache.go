package place

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonladder/wigeonladder"
)

// chain is a prompt as the cache of an engine sees it: a part counts as held
// only if all parts before it are held too, so that its key covers these.
type chain struct {
	keys   []uint64
	tokens []int
}

// newChain returns the chain of a prompt.
func newChain(p wigeonladder.Prompt) chain {
	c := chain{keys: make([]uint64, len(p.Parts)), tokens: make([]int, len(p.Parts))}
	d := xxhash.New()
	_, _ = d.WriteString(p.Model)
	for i, part := range p.Parts {
		_, _ = d.WriteString("\x00" + part.ID)
		c.keys[i] = d.Sum64()
		c.tokens[i] = part.Tokens
	}
	return c
}

// shared returns the number of parts that other requests may have too. The last
// part belongs to the request itself.
func (c chain) shared() int { return max(len(c.keys)-1, 0) }

// sharedTokens is the length of these parts.
func (c chain) sharedTokens() int {
	n := 0
	for _, t := range c.tokens[:c.shared()] {
		n += t
	}
	return n
}

// subject is the key of the last shared part; 0 for none.
func (c chain) subject() uint64 {
	if n := c.shared(); n > 0 {
		return c.keys[n-1]
	}
	return 0
}

// subjectTokens is the length of the last shared part.
func (c chain) subjectTokens() int {
	if n := c.shared(); n > 0 {
		return c.tokens[n-1]
	}
	return 0
}

// local reports whether the subject is so short that every zone keeps it: reading
// it once more costs less than sending its calls to another zone.
func (c chain) local() bool { return c.subjectTokens() <= localTokens }

// cache is what an engine is believed to hold: the parts that were sent to it
// last, up to its memory.
type cache struct {
	capacity int
	used     int
	parts    map[uint64]*list.Element
	// order holds the parts, the last used in front.
	order *list.List
}

// cached is one part in a cache.
type cached struct {
	key    uint64
	tokens int
}

// newCache returns an empty cache.
func newCache(capacity int) *cache {
	return &cache{capacity: capacity, parts: map[uint64]*list.Element{}, order: list.New()}
}

// held returns the number of leading tokens of a chain that the cache holds.
func (c *cache) held(q chain) int {
	n := 0
	for i, k := range q.keys {
		if _, ok := c.parts[k]; !ok {
			break
		}
		n += q.tokens[i]
	}
	return n
}

// use records that the engine reads a part.
func (c *cache) use(key uint64, tokens int) {
	if e, ok := c.parts[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.parts[key] = c.order.PushFront(cached{key, tokens})
	c.used += tokens
	for c.used > c.capacity && c.order.Len() > 1 {
		last, _ := c.order.Remove(c.order.Back()).(cached)
		delete(c.parts, last.key)
		c.used -= last.tokens
	}
}

// useAll records that the engine reads a whole prompt. The parts are touched
// from the last to the first, because the parts in front are of use without
// those behind and have to outlast them.
func (c *cache) useAll(q chain) {
	for i := len(q.keys) - 1; i >= 0; i-- {
		c.use(q.keys[i], q.tokens[i])
	}
}
