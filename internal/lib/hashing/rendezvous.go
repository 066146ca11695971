package hashing

import (
	"encoding/binary"
	"hash/fnv"
)

// RendezvousWeight returns the weight of a node for a key in rendezvous hashing (Thaler and Ravishankar 1998): the key is
// assigned to the node with the highest weight. It must not change: routers of all versions have to compute the same value.
func RendezvousWeight(key uint64, node string) uint64 {
	hash := fnv.New64a()
	var word [8]byte
	binary.LittleEndian.PutUint64(word[:], key)
	hash.Write(word[:])
	hash.Write([]byte(node))
	return Mix(hash.Sum64())
}
