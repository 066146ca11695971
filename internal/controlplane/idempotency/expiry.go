package idempotency

import (
	"strings"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

const (
	expiryBatchBytes     = 1 << 19   // size of the keys of claims after which a batch that expires claims is closed
	streamClaimRetention = time.Hour // minimum for claims of streams, since a router that was frozen may request one late
)

// Sweep finds expired claims and expired chunks of finished keys. It returns the operations that remove them, for the core to
// submit in this order; each applies to the state as of its batch. Age is counted from when this run of the process first saw
// a claim or a chunk, so that a change of primary can only prolong their retention.
func (c *Claims) Sweep(committed *store.Store, now time.Time, limits configuration.ClaimLimits) []func(*transaction.Tx) error {
	firstSeen := make(map[string]time.Time, len(c.firstSeen))
	isExpired := func(key string, retention time.Duration) bool {
		since, ok := c.firstSeen[key]
		if !ok {
			since = now
		}
		firstSeen[key] = since
		return now.Sub(since) > retention
	}
	var expired []string
	committed.ForEachWithPrefix(claimPrefix, func(key string, _ []byte) {
		retention := limits.Retention
		if isStreamClaim(key) {
			retention = max(retention, streamClaimRetention)
		}
		if isExpired(key, retention) {
			expired = append(expired, key)
		}
	})
	var expiredChunks []string
	for _, chunk := range c.finished.chunks {
		if isExpired(chunk.Key, limits.FinishedRetention) {
			expiredChunks = append(expiredChunks, chunk.Key)
		}
	}
	c.firstSeen = firstSeen
	operations := c.expireInBatches(expired)
	if len(expiredChunks) > 0 {
		operations = append(operations, func(tx *transaction.Tx) error {
			for _, key := range expiredChunks {
				tx.Delete(key)
			}
			return nil
		})
	}
	return append(operations, c.mergeFinishedKeys)
}

// isStreamClaim reports whether a store key is that of a claim of the right to resume a stream.
func isStreamClaim(key string) bool { return strings.HasPrefix(key, claimPrefix+coreapi.StreamPrefix) }

// expireInBatches returns operations that expire the claims. They are split, because after a change of primary the claims of an
// hour may expire at once, and each batch has to fit into a frame.
func (c *Claims) expireInBatches(keys []string) []func(*transaction.Tx) error {
	var operations []func(*transaction.Tx) error
	for from, i, size := 0, 0, 0; i < len(keys); i++ {
		size += len(keys[i])
		if size >= expiryBatchBytes || i == len(keys)-1 {
			batch := keys[from : i+1]
			operations = append(operations, func(tx *transaction.Tx) error { return c.expire(tx, batch) })
			from, size = i+1, 0
		}
	}
	return operations
}

// expire removes claims, and records as finished those keys whose requests may have run.
func (c *Claims) expire(tx *transaction.Tx, keys []string) error {
	var hashes []uint64
	for _, key := range keys {
		name := strings.TrimPrefix(key, claimPrefix)
		claim, found, err := readClaim(tx, name)
		if err != nil {
			return err
		}
		if !found {
			continue
		}
		if claim.State != coreapi.ClaimReleased && !isStreamClaim(key) {
			hashes = append(hashes, keyHash(name))
		}
		tx.Delete(key)
	}
	if len(hashes) > 0 {
		c.putFinishedKeys(tx, hashes)
	}
	return nil
}
