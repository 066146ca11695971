// Package place schedules prompts: the queue of those that wait, by priority and in turns between tenants, and the choice of
// the runner that most likely has a prompt's prefix in its cache.
package place

import (
	"container/list"
	"encoding/binary"
	"hash/fnv"
	"sync"
)

// BlockSize is how many bytes of a prompt share one hash.
const BlockSize = 256

// PrefixHashes hashes a prompt's prefixes, one hash a block, salted by the tenant so that nothing about
// one tenant's prompts can be told from how another's are placed.
func PrefixHashes(tenant int, prompt string) []uint64 {
	var out []uint64
	hash := fnv.New64a()
	var salt [8]byte
	binary.LittleEndian.PutUint64(salt[:], uint64(tenant)+1)
	hash.Write(salt[:])
	for from := 0; from < len(prompt) && len(out) < maxBlocks; from += BlockSize {
		hash.Write([]byte(prompt[from:min(from+BlockSize, len(prompt))]))
		if from+BlockSize > len(prompt) {
			break // a part of a block is in no prefix cache
		}
		out = append(out, hash.Sum64())
	}
	return out
}

const (
	shardCount          = 16
	maxBlocks           = 256 // hashed of one prompt
	maxRunnersPerPrefix = 4
)

// PrefixIndex records which runs of runners lately got which prefixes, in shards with a mutex each. It may be used
// concurrently; the least recently used prefixes of a shard are dropped.
type PrefixIndex struct {
	maxPerShard int
	shards      [shardCount]struct {
		mu  sync.Mutex
		by  map[uint64]*list.Element
		old *list.List
	}
}

type prefixEntry struct {
	key     uint64
	runners []int // dense runner indices, newest last
}

// NewPrefixIndex makes an index of at most n prefixes.
func NewPrefixIndex(n int) *PrefixIndex {
	m := &PrefixIndex{maxPerShard: max(1, n/shardCount)}
	for i := range m.shards {
		m.shards[i].by = map[uint64]*list.Element{}
		m.shards[i].old = list.New()
	}
	return m
}

// Record records that a runner got a prompt with these blocks.
func (m *PrefixIndex) Record(keys []uint64, runner int) {
	for _, key := range keys {
		s := &m.shards[key%shardCount]
		s.mu.Lock()
		element := s.by[key]
		if element == nil {
			if s.old.Len() >= m.maxPerShard {
				last := s.old.Back()
				delete(s.by, last.Value.(*prefixEntry).key)
				s.old.Remove(last)
			}
			element = s.old.PushFront(&prefixEntry{key: key})
			s.by[key] = element
		} else {
			s.old.MoveToFront(element)
		}
		v := element.Value.(*prefixEntry)
		next := make([]int, 0, maxRunnersPerPrefix)
		for _, w := range v.runners {
			if w != runner {
				next = append(next, w)
			}
		}
		if len(next) >= maxRunnersPerPrefix {
			next = next[1:]
		}
		v.runners = append(next, runner)
		s.mu.Unlock()
	}
}

// Match counts, for each runner, how many leading blocks it lately got.
func (m *PrefixIndex) Match(keys []uint64) map[int]int {
	out := map[int]int{}
	for i, key := range keys {
		s := &m.shards[key%shardCount]
		s.mu.Lock()
		var runners []int
		if element := s.by[key]; element != nil {
			runners = element.Value.(*prefixEntry).runners
		}
		s.mu.Unlock()
		hit := false
		for _, w := range runners {
			if out[w] == i {
				out[w] = i + 1
				hit = true
			}
		}
		if !hit {
			break
		}
	}
	return out
}
