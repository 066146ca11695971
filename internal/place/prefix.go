// Package place nominates: which runner gets a prompt, and in which order waiting prompts go.
package place

import (
	"container/list"
	"encoding/binary"
	"hash/fnv"
	"sync"
)

// Block is how many bytes of a prompt share one hash.
const Block = 256

// Blocks hashes a prompt's prefixes, one hash a block, salted by the tenant so that nothing about
// one tenant's prompts can be told from how another's are placed.
//
//	keys := place.Blocks(3, prompt)
func Blocks(ten int, prompt string) []uint64 {
	var out []uint64
	h := fnv.New64a()
	var salt [8]byte
	binary.LittleEndian.PutUint64(salt[:], uint64(ten)+1)
	h.Write(salt[:])
	for from := 0; from < len(prompt) && len(out) < 256; from += Block {
		h.Write([]byte(prompt[from:min(from+Block, len(prompt))]))
		if from+Block > len(prompt) {
			break // a part of a block is in no cache
		}
		out = append(out, h.Sum64())
	}
	return out
}

const shards = 16

// Memory remembers which runs of runners lately got which prefixes.
type Memory struct {
	most  int
	shard [shards]struct {
		mu  sync.Mutex
		by  map[uint64]*list.Element
		old *list.List
	}
}

type kept struct {
	key uint64
	who []int // dense runner indices, newest last
}

// NewMemory makes a memory of at most n prefixes.
//
//	m := place.NewMemory(1 << 18)
func NewMemory(n int) *Memory {
	m := &Memory{most: max(1, n/shards)}
	for i := range m.shard {
		m.shard[i].by = map[uint64]*list.Element{}
		m.shard[i].old = list.New()
	}
	return m
}

// Note remembers that a runner got a prompt with these blocks.
//
//	m.Note(keys, e.Idx)
func (m *Memory) Note(keys []uint64, who int) {
	for _, k := range keys {
		s := &m.shard[k%shards]
		s.mu.Lock()
		el := s.by[k]
		if el == nil {
			if s.old.Len() >= m.most {
				last := s.old.Back()
				delete(s.by, last.Value.(*kept).key)
				s.old.Remove(last)
			}
			el = s.old.PushFront(&kept{key: k})
			s.by[k] = el
		} else {
			s.old.MoveToFront(el)
		}
		v := el.Value.(*kept)
		next := make([]int, 0, 4)
		for _, w := range v.who {
			if w != who {
				next = append(next, w)
			}
		}
		if len(next) >= 4 {
			next = next[1:]
		}
		v.who = append(next, who)
		s.mu.Unlock()
	}
}

// Match counts, for each runner, how many leading blocks it lately got.
//
//	depth := m.Match(keys)
func (m *Memory) Match(keys []uint64) map[int]int {
	out := map[int]int{}
	for i, k := range keys {
		s := &m.shard[k%shards]
		s.mu.Lock()
		var who []int
		if el := s.by[k]; el != nil {
			who = el.Value.(*kept).who
		}
		s.mu.Unlock()
		hit := false
		for _, w := range who {
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

// Rank is the rendezvous weight of a runner for a key: every router works out the same order.
//
//	w := place.Rank(keys[0], addr)
func Rank(key uint64, addr string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	h.Write(b[:])
	h.Write([]byte(addr))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
