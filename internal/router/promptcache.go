package router

import (
	"container/list"
	"sync"
)

// defaultCacheTokens is the assumed size of an engine's prompt cache, in tokens, when
// its memory is not known.
const defaultCacheTokens = 200_000

// promptCache models an engine's prompt cache: an LRU of the prompt parts that were
// sent to it, bounded by the engine's memory.
type promptCache struct {
	mu sync.Mutex
	// parts indexes the elements of recency by the hash of the part.
	parts map[uint64]*list.Element
	// recency holds the parts, the most recently used one first.
	recency *list.List
	// tokens is the total length of the parts.
	tokens int64
}

func newPromptCache() *promptCache {
	return &promptCache{
		parts:   map[uint64]*list.Element{},
		recency: list.New(),
	}
}

// uncachedTokens returns the number of prompt tokens that the engine has to process:
// those of the first uncached part and of all parts after it.
func (c *promptCache) uncachedTokens(parts []PromptPart) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range parts {
		if _, ok := c.parts[parts[i].Hash]; !ok {
			return totalTokens(parts[i:])
		}
	}
	return 0
}

// add records the parts of a prompt that was sent to the engine, and evicts the
// least recently used ones above the capacity, in tokens.
func (c *promptCache) add(parts []PromptPart, capacity int64) {
	if capacity <= 0 {
		capacity = defaultCacheTokens
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts {
		if element, ok := c.parts[part.Hash]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.parts[part.Hash] = c.recency.PushFront(part)
		c.tokens += part.Tokens
	}
	for c.tokens > capacity && c.recency.Len() > 0 {
		oldest := c.recency.Remove(c.recency.Back()).(PromptPart)
		delete(c.parts, oldest.Hash)
		c.tokens -= oldest.Tokens
	}
}

// clear empties the model; called after the engine has restarted.
func (c *promptCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.parts)
	c.recency.Init()
	c.tokens = 0
}

// totalTokens returns the total length of the parts, in tokens.
func totalTokens(parts []PromptPart) int64 {
	total := int64(0)
	for i := range parts {
		total += parts[i].Tokens
	}
	return total
}
