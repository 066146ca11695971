// Package place chooses the runner that gets a prompt, and the order in which waiting prompts go.
package place

import (
	"container/list"
	"encoding/binary"
	"hash/fnv"
	"sync"

	"yarrowridge/internal/lib/hashing"
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
	for from := 0; from < len(prompt) && len(out) < 256; from += BlockSize {
		hash.Write([]byte(prompt[from:min(from+BlockSize, len(prompt))]))
		if from+BlockSize > len(prompt) {
			break // a part of a block is in no cache
		}
		out = append(out, hash.Sum64())
	}
	return out
}

const shardCount = 16

// PrefixMemory remembers which runs of runners lately got which prefixes.
type PrefixMemory struct {
	limit int
	shard [shardCount]struct {
		mu  sync.Mutex
		by  map[uint64]*list.Element
		old *list.List
	}
}

type holders struct {
	key uint64
	who []int // dense runner indices, newest last
}

// NewPrefixMemory makes a memory of at most n prefixes.
func NewPrefixMemory(n int) *PrefixMemory {
	m := &PrefixMemory{limit: max(1, n/shardCount)}
	for i := range m.shard {
		m.shard[i].by = map[uint64]*list.Element{}
		m.shard[i].old = list.New()
	}
	return m
}

// Note remembers that a runner got a prompt with these blocks.
func (m *PrefixMemory) Note(keys []uint64, runner int) {
	for _, key := range keys {
		s := &m.shard[key%shardCount]
		s.mu.Lock()
		element := s.by[key]
		if element == nil {
			if s.old.Len() >= m.limit {
				last := s.old.Back()
				delete(s.by, last.Value.(*holders).key)
				s.old.Remove(last)
			}
			element = s.old.PushFront(&holders{key: key})
			s.by[key] = element
		} else {
			s.old.MoveToFront(element)
		}
		v := element.Value.(*holders)
		next := make([]int, 0, 4)
		for _, w := range v.who {
			if w != runner {
				next = append(next, w)
			}
		}
		if len(next) >= 4 {
			next = next[1:]
		}
		v.who = append(next, runner)
		s.mu.Unlock()
	}
}

// Match counts, for each runner, how many leading blocks it lately got.
func (m *PrefixMemory) Match(keys []uint64) map[int]int {
	out := map[int]int{}
	for i, key := range keys {
		s := &m.shard[key%shardCount]
		s.mu.Lock()
		var runners []int
		if element := s.by[key]; element != nil {
			runners = element.Value.(*holders).who
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

// RendezvousWeight is the rendezvous weight of a runner for a key: every router works out the same order.
func RendezvousWeight(key uint64, addr string) uint64 {
	hash := fnv.New64a()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	hash.Write(b[:])
	hash.Write([]byte(addr))
	return hashing.Mix(hash.Sum64())
}
