package coreapi

import (
	"encoding/binary"
	"hash/fnv"

	"yarrowridge/internal/lib/hashing"
)

// Digest hashes what a node's peers must know of it: all but the version of its configuration, which changes all the time.
// The hash is mixed, since digests are added up: of FNV alone, two nodes that both get ready could change by opposite amounts.
func (n Node) Digest() uint64 {
	hash := fnv.New64a()
	for _, text := range []string{n.Name, n.Zone, n.Addr, n.ClientAddr} {
		_, _ = hash.Write([]byte(text)) // a hash never fails
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

// NodesDigest is the digest of a list of nodes, whatever its order. It is not 0.
func NodesDigest(nodes []Node) uint64 {
	digest := uint64(1)
	for _, node := range nodes {
		digest += node.Digest()
	}
	return max(digest, 1)
}
