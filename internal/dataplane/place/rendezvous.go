package place

import (
	"encoding/binary"
	"hash/fnv"
	"yarrowridge/internal/lib/hashing"
)

// RendezvousWeight is the rendezvous weight of a runner for a key: every router computes the same order.
func RendezvousWeight(key uint64, addr string) uint64 {
	hash := fnv.New64a()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	hash.Write(b[:])
	hash.Write([]byte(addr))
	return hashing.Mix(hash.Sum64())
}
