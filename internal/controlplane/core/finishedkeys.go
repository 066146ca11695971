package core

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"sort"
	"strings"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// A claim with its response is kept for claim_keep_s. That its key ran is kept far longer, as eight
// bytes of the key's hash: in parts, each the sorted hashes of one sweep, merged as they become many.
const (
	finishedPrefix   = "ran/"
	finishedPartSize = 1 << 17 // hashes in one part, so that a part fits into a frame many times over
	finishedMergeAt  = 16      // parts of less than half that before they are merged
	hashBytes        = 8
)

// keyHash is what is kept of a key that ran.
func keyHash(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:])
}

// finishedKeys is the parts, as committed. Only the run loop touches it.
type finishedKeys struct {
	parts []store.Mutation
	count int // hashes
}

// countHashes tells how many hashes a part has.
func countHashes(part store.Mutation) int { return len(part.Value) / hashBytes }

// load reads all parts anew.
func (f *finishedKeys) load(committed *store.Store) {
	*f = finishedKeys{}
	committed.ForEachWithPrefix(finishedPrefix, func(key string, raw []byte) { f.apply(store.Mutation{Key: key, Value: raw}) })
}

// apply follows a committed put.
func (f *finishedKeys) apply(put store.Mutation) {
	f.parts = slices.DeleteFunc(f.parts, func(known store.Mutation) bool {
		if known.Key == put.Key {
			f.count -= countHashes(known)
		}
		return known.Key == put.Key
	})
	if !put.Deleted {
		f.parts = append(f.parts, put)
		f.count += countHashes(put)
	}
}

// has reports whether a key's hash stands in a part, one of the same batch included.
func (f *finishedKeys) has(tx *transaction.Tx, hash uint64) bool {
	var want [hashBytes]byte
	binary.BigEndian.PutUint64(want[:], hash)
	isIn := func(part store.Mutation) bool {
		_, found := sort.Find(countHashes(part), func(i int) int {
			return bytes.Compare(want[:], part.Value[i*hashBytes:(i+1)*hashBytes])
		})
		return found
	}
	if slices.ContainsFunc(f.parts, isIn) {
		return true
	}
	return tx.HasTag(finishedPrefix) && slices.ContainsFunc(tx.Mutations(), func(put store.Mutation) bool {
		return strings.HasPrefix(put.Key, finishedPrefix) && isIn(put)
	})
}

// putFinishedKeys adds a part to a batch.
func (s *Server) putFinishedKeys(tx *transaction.Tx, hashes []uint64) {
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	raw := make([]byte, 0, hashBytes*len(hashes))
	for _, hash := range hashes {
		raw = binary.BigEndian.AppendUint64(raw, hash)
	}
	s.finishedParts++
	tx.Tag(finishedPrefix)
	key := fmt.Sprintf("%s%016x-%x", finishedPrefix, tx.Committed().Version()+1, s.finishedParts)
	tx.PutRaw(key, raw)
}

// maxFinishedKeys is how many keys that ran are kept at most, by the configuration in force. It is asked for every
// claim, so the configuration is not read anew for it.
func (s *Server) maxFinishedKeys() int {
	return s.documents.MaxFinishedKeys(s.committedConfig())
}

// mergeFinishedKeys makes one part of the smallest ones, once there are many small ones.
func (s *Server) mergeFinishedKeys(tx *transaction.Tx) error {
	var small []store.Mutation
	for _, put := range s.finishedKeys.parts {
		if countHashes(put) < finishedPartSize/2 {
			small = append(small, put)
		}
	}
	if len(small) < finishedMergeAt {
		return nil
	}
	slices.SortFunc(small, func(a, b store.Mutation) int { return len(a.Value) - len(b.Value) })
	var hashes []uint64
	for _, put := range small[:finishedMergeAt] {
		if len(hashes)+countHashes(put) > finishedPartSize {
			break
		}
		for i := 0; i < len(put.Value); i += hashBytes {
			hashes = append(hashes, binary.BigEndian.Uint64(put.Value[i:]))
		}
		tx.Delete(put.Key)
	}
	s.putFinishedKeys(tx, hashes)
	return nil
}
