package idempotency

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

// A claim with its response is kept for the configuration's claim retention (claim_keep_s). That its key was used is kept
// far longer, as eight bytes of the key's hash: in chunks, each the sorted hashes of one sweep, merged as they become many.
const (
	finishedPrefix    = "ran/"
	finishedChunkSize = 1 << 17 // hashes in one chunk, so that a chunk fits into a frame many times over
	finishedMergeAt   = 16      // chunks of less than half that size before they are merged
	hashBytes         = 8
)

// keyHash is what is kept of a finished key.
func keyHash(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:])
}

// finishedKeys is the chunks, as committed.
type finishedKeys struct {
	chunks []store.Mutation
	count  int // hashes
}

// countHashes is how many hashes a chunk has.
func countHashes(chunk store.Mutation) int { return len(chunk.Value) / hashBytes }

// load reads all chunks anew.
func (f *finishedKeys) load(committed *store.Store) {
	*f = finishedKeys{}
	committed.ForEachWithPrefix(finishedPrefix, func(key string, raw []byte) { f.apply(store.Mutation{Key: key, Value: raw}) })
}

// applyAll follows the mutations of a committed batch.
func (f *finishedKeys) applyAll(mutations []store.Mutation) {
	for _, mutation := range mutations {
		if strings.HasPrefix(mutation.Key, finishedPrefix) {
			f.apply(mutation)
		}
	}
}

// apply follows a committed mutation of a chunk.
func (f *finishedKeys) apply(mutation store.Mutation) {
	f.chunks = slices.DeleteFunc(f.chunks, func(known store.Mutation) bool {
		if known.Key == mutation.Key {
			f.count -= countHashes(known)
		}
		return known.Key == mutation.Key
	})
	if !mutation.Deleted {
		f.chunks = append(f.chunks, mutation)
		f.count += countHashes(mutation)
	}
}

// has reports whether a key's hash stands in a chunk, one of the same batch included.
func (f *finishedKeys) has(tx *transaction.Tx, hash uint64) bool {
	var want [hashBytes]byte
	binary.BigEndian.PutUint64(want[:], hash)
	isIn := func(chunk store.Mutation) bool {
		_, found := sort.Find(countHashes(chunk), func(i int) int {
			return bytes.Compare(want[:], chunk.Value[i*hashBytes:(i+1)*hashBytes])
		})
		return found
	}
	if slices.ContainsFunc(f.chunks, isIn) {
		return true
	}
	return tx.HasTag(finishedPrefix) && slices.ContainsFunc(tx.Mutations(), func(mutation store.Mutation) bool {
		return strings.HasPrefix(mutation.Key, finishedPrefix) && isIn(mutation)
	})
}

// RecordFinished records that keys were used, in one chunk.
func (c *Claims) RecordFinished(tx *transaction.Tx, keys []string) {
	hashes := make([]uint64, len(keys))
	for i, key := range keys {
		hashes[i] = keyHash(key)
	}
	c.putFinishedKeys(tx, hashes)
}

// putFinishedKeys adds a chunk to a batch.
func (c *Claims) putFinishedKeys(tx *transaction.Tx, hashes []uint64) {
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	raw := make([]byte, 0, hashBytes*len(hashes))
	for _, hash := range hashes {
		raw = binary.BigEndian.AppendUint64(raw, hash)
	}
	c.writtenChunks++
	tx.Tag(finishedPrefix)
	key := fmt.Sprintf("%s%016x-%x", finishedPrefix, tx.Committed().Version()+1, c.writtenChunks)
	tx.PutRaw(key, raw)
}

// mergeFinishedKeys makes one chunk of the smallest ones, once there are many small ones.
func (c *Claims) mergeFinishedKeys(tx *transaction.Tx) error {
	var small []store.Mutation
	for _, chunk := range c.finished.chunks {
		if countHashes(chunk) < finishedChunkSize/2 {
			small = append(small, chunk)
		}
	}
	if len(small) < finishedMergeAt {
		return nil
	}
	slices.SortFunc(small, func(a, b store.Mutation) int { return len(a.Value) - len(b.Value) })
	var hashes []uint64
	for _, chunk := range small[:finishedMergeAt] {
		if len(hashes)+countHashes(chunk) > finishedChunkSize {
			break
		}
		for i := 0; i < len(chunk.Value); i += hashBytes {
			hashes = append(hashes, binary.BigEndian.Uint64(chunk.Value[i:]))
		}
		tx.Delete(chunk.Key)
	}
	c.putFinishedKeys(tx, hashes)
	return nil
}
