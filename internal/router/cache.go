package router

import (
	"container/list"
	"sync"
)

// cacheTokens bounds what an engine is believed to keep where its memory is not
// known, in tokens.
const cacheTokens = 200_000

// cache is what an engine likely keeps of prompts: the parts that were sent to
// it, the most recently used ones as far as its memory goes.
type cache struct {
	mu    sync.Mutex
	parts map[uint64]*list.Element
	order *list.List
	total int64
}

func newCache() *cache {
	return &cache{
		parts: map[uint64]*list.Element{},
		order: list.New(),
	}
}

// missing is how many tokens of a prompt the engine would have to read: all
// behind the first part that it does not keep.
func (c *cache) missing(parts []Part) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range parts {
		if _, ok := c.parts[parts[i].Hash]; !ok {
			return length(parts[i:])
		}
	}
	return 0
}

// add notes that the engine reads a prompt.
func (c *cache) add(parts []Part, bound int64) {
	if bound <= 0 {
		bound = cacheTokens
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts {
		if element, ok := c.parts[part.Hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.parts[part.Hash] = c.order.PushFront(part)
		c.total += part.Tokens
	}
	for c.total > bound && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(Part)
		delete(c.parts, oldest.Hash)
		c.total -= oldest.Tokens
	}
}

// clear forgets everything, as the engine started anew.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.parts)
	c.order.Init()
	c.total = 0
}

func length(parts []Part) int64 {
	total := int64(0)
	for i := range parts {
		total += parts[i].Tokens
	}
	return total
}
