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

// A claim and its response are kept for the configured claim retention (claim_keep_s). Afterwards eight bytes of the key's
// hash are kept for a far longer time, to record that the key was used. Each operation that adds hashes writes them as one
// sorted chunk; small chunks are merged when there are many.
const (
	finishedPrefix = "ran/"  // prefix of the store keys of chunks
	maxChunkHashes = 1 << 17 // hashes in a merged chunk; a frame has room for several such chunks
	mergeThreshold = 16      // number of chunks with less than half of maxChunkHashes at which they are merged
	hashBytes      = 8
)

// keyHash returns the hash that is kept of a finished key.
func keyHash(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:])
}

// finishedKeys has the committed chunks.
type finishedKeys struct {
	chunks []store.Mutation
	count  int // hashes in all chunks
}

// countHashes returns the number of hashes in a chunk.
func countHashes(chunk store.Mutation) int { return len(chunk.Value) / hashBytes }

// load replaces the chunks by those of a committed state.
func (f *finishedKeys) load(committed *store.Store) {
	*f = finishedKeys{}
	committed.ForEachWithPrefix(finishedPrefix, func(key string, raw []byte) { f.apply(store.Mutation{Key: key, Value: raw}) })
}

// applyAll applies the mutations of a committed batch.
func (f *finishedKeys) applyAll(mutations []store.Mutation) {
	for _, mutation := range mutations {
		if strings.HasPrefix(mutation.Key, finishedPrefix) {
			f.apply(mutation)
		}
	}
}

// apply applies a committed mutation of a chunk.
func (f *finishedKeys) apply(mutation store.Mutation) {
	f.chunks = slices.DeleteFunc(f.chunks, func(existing store.Mutation) bool {
		if existing.Key == mutation.Key {
			f.count -= countHashes(existing)
		}
		return existing.Key == mutation.Key
	})
	if !mutation.Deleted {
		f.chunks = append(f.chunks, mutation)
		f.count += countHashes(mutation)
	}
}

// contains reports whether a key's hash is in a committed chunk or in a chunk that the current batch writes.
func (f *finishedKeys) contains(tx *transaction.Tx, hash uint64) bool {
	var want [hashBytes]byte
	binary.BigEndian.PutUint64(want[:], hash)
	isInChunk := func(chunk store.Mutation) bool {
		_, found := sort.Find(countHashes(chunk), func(i int) int {
			return bytes.Compare(want[:], chunk.Value[i*hashBytes:(i+1)*hashBytes])
		})
		return found
	}
	if slices.ContainsFunc(f.chunks, isInChunk) {
		return true
	}
	return tx.HasTag(finishedPrefix) && slices.ContainsFunc(tx.Mutations(), func(mutation store.Mutation) bool {
		return strings.HasPrefix(mutation.Key, finishedPrefix) && isInChunk(mutation)
	})
}

// RecordFinished records keys as finished, in one chunk.
func (c *Claims) RecordFinished(tx *transaction.Tx, keys []string) {
	hashes := make([]uint64, len(keys))
	for i, key := range keys {
		hashes[i] = keyHash(key)
	}
	c.putFinishedKeys(tx, hashes)
}

// putFinishedKeys writes a chunk with the hashes. It sorts hashes in place.
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

// mergeFinishedKeys merges the smallest chunks into one if there are at least mergeThreshold small ones.
func (c *Claims) mergeFinishedKeys(tx *transaction.Tx) error {
	var small []store.Mutation
	for _, chunk := range c.finished.chunks {
		if countHashes(chunk) < maxChunkHashes/2 {
			small = append(small, chunk)
		}
	}
	if len(small) < mergeThreshold {
		return nil
	}
	slices.SortFunc(small, func(a, b store.Mutation) int { return len(a.Value) - len(b.Value) })
	var hashes []uint64
	for _, chunk := range small[:mergeThreshold] {
		if len(hashes)+countHashes(chunk) > maxChunkHashes {
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
