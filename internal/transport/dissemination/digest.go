package dissemination

import (
	"encoding/binary"
	"hash/fnv"
)

// Digests returns the digests of a node's store: for each shard the XOR of its records' digests, so that the order of the
// records does not matter.
func (s *Store) Digests(from string) Digests {
	digests := Digests{From: from, Shards: make([]uint64, ShardCount)}
	for i := range s.shards {
		s.shards[i].forEach(func(key string, stored storedRecord) {
			digests.Shards[i] ^= versionDigest(key, stored.record.Generation, stored.record.Version)
		})
	}
	return digests
}

// shardIndex returns the index of a key's shard. All nodes compute the same.
func shardIndex(key string) int { return int(hash(key) % ShardCount) }

// versionDigest returns the digest of one version of a key. All nodes compute the same.
func versionDigest(key string, generation, version uint64) uint64 {
	return hash(key, littleEndian(generation), littleEndian(version))
}

// littleEndian returns the eight bytes of a number, the lowest first.
func littleEndian(n uint64) string { return string(binary.LittleEndian.AppendUint64(nil, n)) }

// hash returns the 64-bit FNV-1a hash of parts, each of them followed by a zero byte.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
