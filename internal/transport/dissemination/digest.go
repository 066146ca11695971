package dissemination

import (
	"encoding/binary"
	"hash/fnv"
)

// Digests returns a digest of each shard, to be sent by the node named from. A shard's digest is the XOR of its records'
// version digests, so it does not depend on their order.
func (s *Store) Digests(from string) Digests {
	digests := Digests{From: from, Shards: make([]uint64, ShardCount)}
	for i := range s.shards {
		s.shards[i].forEach(func(key string, stored storedRecord) {
			digests.Shards[i] ^= versionDigest(key, stored.record.Generation, stored.record.Version)
		})
	}
	return digests
}

// shardIndex returns the index of a key's shard, which is the same on all nodes.
func shardIndex(key string) int { return int(hash(key) % ShardCount) }

// versionDigest returns the digest of one version of a key, which is the same on all nodes.
func versionDigest(key string, generation, version uint64) uint64 {
	return hash(key, littleEndian(generation), littleEndian(version))
}

// littleEndian returns n as eight bytes in little-endian order.
func littleEndian(n uint64) string { return string(binary.LittleEndian.AppendUint64(nil, n)) }

// hash returns the 64-bit FNV-1a hash of fields, each followed by a zero byte.
func hash(fields ...string) uint64 {
	h := fnv.New64a()
	for _, field := range fields {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
