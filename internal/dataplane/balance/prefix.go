package balance

import (
	"container/list"
	"sync"
)

// maxPrefixRunners is how many runners are remembered for one part of a prompt.
const maxPrefixRunners = 4

// PrefixCache remembers which runners were lately sent which parts of prompts. It is this router's own
// guess at what the runners keep: they do not report it. Its methods may be called concurrently; mu guards its fields.
type PrefixCache struct {
	mu         sync.Mutex
	maxEntries int
	entries    map[uint64]*list.Element
	recent     *list.List
}

type prefixEntry struct {
	id      uint64
	runners []int // newest last
}

// NewPrefixCache makes a cache of at most so many parts.
func NewPrefixCache(most int) *PrefixCache {
	return &PrefixCache{maxEntries: most, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// Match gives for each runner how many leading tokens of the prompt it was lately sent.
func (c *PrefixCache) Match(parts []PromptPart) map[int]int {
	if len(parts) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	held := map[int]int{}
	sum := 0
	for i, part := range parts {
		element := c.entries[part.ID]
		if element == nil {
			break
		}
		found := false
		for _, runner := range element.Value.(*prefixEntry).runners {
			if i == 0 || held[runner] == sum {
				held[runner] = sum + part.Tokens
				found = true
			}
		}
		sum += part.Tokens
		if !found {
			break
		}
	}
	return held
}

// Record remembers that a runner was sent these parts.
func (c *PrefixCache) Record(parts []PromptPart, runner int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts {
		c.record(part.ID, runner)
	}
}

// record remembers that a runner was sent one part. The caller holds c.mu.
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
	kept := entry.runners[:0]
	for _, known := range entry.runners {
		if known != runner {
			kept = append(kept, known)
		}
	}
	if len(kept) >= maxPrefixRunners {
		kept = kept[1:]
	}
	entry.runners = append(kept, runner)
}
