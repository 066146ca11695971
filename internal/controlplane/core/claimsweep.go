package core

import (
	"strings"
	"time"
	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
)

const (
	maxEndedKeyBytes = 1 << 19   // bytes of the keys of claims that end in one batch
	streamClaimKeep  = time.Hour // of a claim on a stream, at the least: a frozen router may ask late
)

// sweepClaims ends claims that have had their time. Of each whose request may have run the hash stays.
// Age is counted from when this run of this process first saw a claim or a part: a hand-over only
// makes them last longer.
func (s *Server) sweepClaims(limits configuration.ClaimLimits) {
	now := s.claimsSweptAt
	seen := make(map[string]time.Time, len(s.claimsSeen))
	isOver := func(key string, keep time.Duration) bool {
		since, ok := s.claimsSeen[key]
		if !ok {
			since = now
		}
		seen[key] = since
		return now.Sub(since) > keep
	}
	var ended []string
	s.store.Load().ForEachWithPrefix(claimPrefix, func(key string, _ []byte) {
		keep := limits.Retention
		if isStreamClaim(key) {
			keep = max(keep, streamClaimKeep)
		}
		if isOver(key, keep) {
			ended = append(ended, key)
		}
	})
	var oldParts []string
	for _, part := range s.finishedKeys.parts {
		if isOver(part.Key, limits.FinishedRetention) {
			oldParts = append(oldParts, part.Key)
		}
	}
	s.claimsSeen = seen
	s.endClaimsLater(ended)
	s.dropLater(oldParts)
	s.submitLater(s.mergeFinishedKeys)
}

// isStreamClaim reports whether a claim is on the right to carry a stream on.
func isStreamClaim(key string) bool { return strings.HasPrefix(key, claimPrefix+coreapi.StreamPrefix) }

// endClaimsLater has the run loop end claims, in pieces: after a hand-over an hour's claims may end at once, and a batch
// has to fit a frame.
func (s *Server) endClaimsLater(keys []string) {
	for from, i, size := 0, 0, 0; i < len(keys); i++ {
		size += len(keys[i])
		if size >= maxEndedKeyBytes || i == len(keys)-1 {
			piece := keys[from : i+1]
			s.submitLater(func(tx *transaction.Tx) error { return s.endClaims(tx, piece) })
			from, size = i+1, 0
		}
	}
}

// endClaims ends claims, and keeps that their keys ran.
func (s *Server) endClaims(tx *transaction.Tx, keys []string) error {
	var hashes []uint64
	for _, key := range keys {
		name := strings.TrimPrefix(key, claimPrefix)
		claim, known, err := readClaim(tx, name)
		if err != nil {
			return err
		}
		if !known {
			continue
		}
		if claim.State != coreapi.ClaimReleased && !isStreamClaim(key) {
			hashes = append(hashes, keyHash(name))
		}
		tx.Delete(key)
	}
	if len(hashes) > 0 {
		s.putFinishedKeys(tx, hashes)
	}
	return nil
}
