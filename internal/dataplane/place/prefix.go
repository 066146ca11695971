// Package place schedules requests. It queues them by priority and round robin between tenants, and chooses for each prompt
// the runner that most likely has the longest prefix of it in its cache.
package place

import (
	"container/list"
	"encoding/binary"
	"hash/fnv"
	"sync"
)

// BlockSize is the size in bytes of the blocks in which prompts are hashed.
const BlockSize = 256

// PrefixHashes returns a hash for each prefix of a prompt that consists of complete blocks, the shortest first. The hashes are
// salted with the tenant, so that the placement of one tenant's prompts reveals nothing about another's.
func PrefixHashes(tenant int, prompt string) []uint64 {
	var hashes []uint64
	hash := fnv.New64a()
	var salt [8]byte
	binary.LittleEndian.PutUint64(salt[:], uint64(tenant)+1)
	hash.Write(salt[:])
	for offset := 0; offset < len(prompt) && len(hashes) < maxBlocks; offset += BlockSize {
		hash.Write([]byte(prompt[offset:min(offset+BlockSize, len(prompt))]))
		if offset+BlockSize > len(prompt) {
			break // no prefix cache contains an incomplete block
		}
		hashes = append(hashes, hash.Sum64())
	}
	return hashes
}

const (
	shardCount          = 16
	maxBlocks           = 256 // per prompt; later blocks are not hashed
	maxRunnersPerPrefix = 4   // the runners that received it last
)

// PrefixIndex records which runners recently received which prefixes. It consists of shards with a mutex each; a full shard
// drops its least recently recorded prefix. Its methods may be called concurrently.
type PrefixIndex struct {
	maxPerShard int
	shards      [shardCount]struct {
		mu      sync.Mutex
		byKey   map[uint64]*list.Element
		entries *list.List // of *prefixEntry, most recently recorded first
	}
}

type prefixEntry struct {
	key     uint64
	runners []int // dense runner indices (Instance.Index), most recent last
}

// NewPrefixIndex returns an empty index for at most n prefixes.
func NewPrefixIndex(n int) *PrefixIndex {
	x := &PrefixIndex{maxPerShard: max(1, n/shardCount)}
	for i := range x.shards {
		x.shards[i].byKey = map[uint64]*list.Element{}
		x.shards[i].entries = list.New()
	}
	return x
}

// Record records that a runner received a prompt with these prefix hashes.
func (x *PrefixIndex) Record(keys []uint64, runner int) {
	for _, key := range keys {
		shard := &x.shards[key%shardCount]
		shard.mu.Lock()
		element := shard.byKey[key]
		if element == nil {
			if shard.entries.Len() >= x.maxPerShard {
				oldest := shard.entries.Back()
				delete(shard.byKey, oldest.Value.(*prefixEntry).key)
				shard.entries.Remove(oldest)
			}
			element = shard.entries.PushFront(&prefixEntry{key: key})
			shard.byKey[key] = element
		} else {
			shard.entries.MoveToFront(element)
		}
		entry := element.Value.(*prefixEntry)
		next := make([]int, 0, maxRunnersPerPrefix)
		for _, other := range entry.runners {
			if other != runner {
				next = append(next, other)
			}
		}
		if len(next) >= maxRunnersPerPrefix {
			next = next[1:]
		}
		entry.runners = append(next, runner)
		shard.mu.Unlock()
	}
}

// Match returns how many leading blocks of the prompt each runner recently received, by runner index. Runners that received
// none are not included.
func (x *PrefixIndex) Match(keys []uint64) map[int]int {
	depth := map[int]int{}
	for i, key := range keys {
		shard := &x.shards[key%shardCount]
		shard.mu.Lock()
		var runners []int
		if element := shard.byKey[key]; element != nil {
			runners = element.Value.(*prefixEntry).runners
		}
		shard.mu.Unlock()
		found := false
		for _, runner := range runners {
			if depth[runner] == i {
				depth[runner] = i + 1
				found = true
			}
		}
		if !found {
			break
		}
	}
	return depth
}
