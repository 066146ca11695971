package balance

import (
	"container/list"
	"sync"
)

// maxPrefixRunners is the maximum number of runners recorded for one prompt part.
const maxPrefixRunners = 4

// PrefixCache records which runners were recently sent which prompt parts. It is an estimate by this router: runners do
// not report what they have cached. Its methods may be called concurrently; mu guards its fields.
type PrefixCache struct {
	mu         sync.Mutex
	maxEntries int
	entries    map[uint64]*list.Element
	recent     *list.List
}

type prefixEntry struct {
	id      uint64
	runners []int // by Runner.Index, most recent last
}

// NewPrefixCache creates a cache of at most maxEntries prompt parts.
func NewPrefixCache(maxEntries int) *PrefixCache {
	return &PrefixCache{maxEntries: maxEntries, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// Match returns how many leading tokens of the prompt each runner was recently sent, by Runner.Index.
func (c *PrefixCache) Match(parts []PromptPart) map[int]int {
	if len(parts) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := map[int]int{}
	sum := 0
	for i, part := range parts {
		element := c.entries[part.ID]
		if element == nil {
			break
		}
		found := false
		for _, runner := range element.Value.(*prefixEntry).runners {
			if i == 0 || sent[runner] == sum {
				sent[runner] = sum + part.Tokens
				found = true
			}
		}
		sum += part.Tokens
		if !found {
			break
		}
	}
	return sent
}

// Record adds the runner to the entries of these parts.
func (c *PrefixCache) Record(parts []PromptPart, runner int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts {
		c.record(part.ID, runner)
	}
}

// record adds the runner to the entry of one part, and evicts the least recently recorded entry if the cache is full. The
// caller holds c.mu.
func (c *PrefixCache) record(id uint64, runner int) {
	element := c.entries[id]
	if element == nil {
		if c.recent.Len() >= c.maxEntries {
			oldest := c.recent.Back()
			delete(c.entries, oldest.Value.(*prefixEntry).id)
			c.recent.Remove(oldest)
		}
		element = c.recent.PushFront(&prefixEntry{id: id})
		c.entries[id] = element
	} else {
		c.recent.MoveToFront(element)
	}
	entry := element.Value.(*prefixEntry)
	others := entry.runners[:0]
	for _, known := range entry.runners {
		if known != runner {
			others = append(others, known)
		}
	}
	if len(others) >= maxPrefixRunners {
		others = others[1:]
	}
	entry.runners = append(others, runner)
}
