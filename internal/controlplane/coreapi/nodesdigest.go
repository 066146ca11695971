package coreapi

import (
	"encoding/binary"
	"hash/fnv"

	"yarrowridge/internal/lib/hashing"
)

// Digest returns a hash of the fields that a node's peers must know: all except ConfigVersion, which changes often. The FNV
// hash is mixed, since NodesDigest adds digests up: without mixing, two nodes that become ready could change their hashes by
// opposite amounts, which would leave the sum unchanged.
func (n Node) Digest() uint64 {
	hash := fnv.New64a()
	for _, text := range []string{n.Name, n.Zone, n.Addr, n.ClientAddr} {
		_, _ = hash.Write([]byte(text)) // never fails
		_, _ = hash.Write([]byte{0})
	}
	var fixed [9]byte
	binary.BigEndian.PutUint64(fixed[:], n.Run)
	if n.Ready {
		fixed[8] = 1
	}
	_, _ = hash.Write(fixed[:])
	return hashing.Mix(hash.Sum64())
}

// NodesDigest returns the digest of a list of nodes. It does not depend on their order and is never 0.
func NodesDigest(nodes []Node) uint64 {
	digest := uint64(1)
	for _, node := range nodes {
		digest += node.Digest()
	}
	return max(digest, 1)
}
