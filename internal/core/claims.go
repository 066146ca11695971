package core

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"yarrowridge/internal/store"
)

// States of a claim.
const (
	ClaimRuns    = 0
	ClaimDone    = 1
	ClaimUnknown = 2
	ClaimFreed   = 3 // let go: anybody but its own late taking may claim the key
)

func (s *Server) takeClaim(ctx context.Context, in *ClaimRequest) (*ClaimResponse, error) {
	out := &ClaimResponse{}
	err := s.Submit(ctx, func(tx *Tx) error {
		key := "claim/" + in.Key
		raw, ok := tx.Get(key)
		var old Claim
		if ok {
			if _, err := old.UnmarshalMsg(raw); err != nil {
				return err
			}
		}
		if !ok || old.State == ClaimFreed && old.Claimant != in.Claim.Claimant {
			switch {
			case !ok && s.finishedKeys.has(tx, keyHash(in.Key)):
				out.AlreadyRan = true
				return nil
			case s.finishedKeys.count >= s.maxFinishedKeys():
				out.Full = true
				return nil
			}
			out.Granted = true
			return tx.Put(key, &in.Claim)
		}
		if old.State == ClaimFreed {
			out.Claim = old
			return nil
		}
		out.Conflict = old.RequestHash != in.Claim.RequestHash
		if old.Claimant == in.Claim.Claimant {
			out.Granted = !out.Conflict
			return nil
		}
		if !out.Conflict {
			out.Claim = old
			s.mu.Lock()
			n := s.nodes[old.Node]
			// Just after a hand-over every node counts as live until it has had time to beat.
			out.Running = old.State == ClaimRuns && (n != nil && n.node.Run == old.NodeRun && time.Since(n.heardAt) < nodeLeaseTerm || time.Since(s.readySince) < nodeLeaseTerm)
			s.mu.Unlock()
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

func (s *Server) settleClaim(ctx context.Context, in *SettleRequest) (*Empty, error) {
	return &Empty{}, s.Submit(ctx, func(tx *Tx) error {
		key := "claim/" + in.Key
		raw, ok := tx.Get(key)
		old := Claim{Claimant: in.Claim.Claimant}
		if ok {
			if _, err := old.UnmarshalMsg(raw); err != nil {
				return err
			}
		}
		switch {
		case old.Claimant != in.Claim.Claimant || old.State != ClaimRuns || !ok && !in.Release:
			return nil
		case in.Release:
			// The taking itself may still be under way to us: it must find that it was let go.
			return tx.Put(key, &Claim{Claimant: in.Claim.Claimant, State: ClaimFreed})
		}
		return tx.Put(key, &in.Claim)
	})
}

// StreamPrefix begins the keys under which the right to carry a stream on is claimed. No tenant's key
// begins so: a tenant's name is not empty.
const StreamPrefix = "/stream/"

// A claim with its answer is kept for claim_keep_s. That its key ran is kept far longer, as eight
// bytes of the key's hash: in parts, each the sorted hashes of one sweep, merged as they become many.
const (
	finishedPrefix   = "ran/"
	finishedPartSize = 1 << 17 // hashes in one part, so that a part fits into a frame many times over
	finishedMergeAt  = 16      // parts of less than half that before they are merged
	maxEndedKeyBytes = 1 << 19 // bytes of the keys of claims that end in one batch
)

// keyHash is what is kept of a key that ran.
func keyHash(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:])
}

// finishedKeys is the parts, as committed. Only the run loop touches it.
type finishedKeys struct {
	parts []store.Put
	count int // hashes
}

// load reads all parts anew.
func (r *finishedKeys) load(st *store.Store) {
	*r = finishedKeys{}
	st.Each(finishedPrefix, func(k string, v []byte) { r.apply(store.Put{Key: k, Val: v}) })
}

// apply follows a committed put.
func (r *finishedKeys) apply(p store.Put) {
	r.parts = slices.DeleteFunc(r.parts, func(o store.Put) bool {
		if o.Key == p.Key {
			r.count -= len(o.Val) / 8
		}
		return o.Key == p.Key
	})
	if !p.Gone {
		r.parts = append(r.parts, p)
		r.count += len(p.Val) / 8
	}
}

// has tells whether a key's hash stands in a part, one of the same batch included.
func (r *finishedKeys) has(tx *Tx, sum uint64) bool {
	var want [8]byte
	binary.BigEndian.PutUint64(want[:], sum)
	in := func(p store.Put) bool {
		_, ok := sort.Find(len(p.Val)/8, func(i int) int { return bytes.Compare(want[:], p.Val[i*8:i*8+8]) })
		return ok
	}
	return slices.ContainsFunc(r.parts, in) || tx.hasFinishedKeys && slices.ContainsFunc(tx.puts, func(p store.Put) bool {
		return strings.HasPrefix(p.Key, finishedPrefix) && in(p)
	})
}

// putFinishedKeys adds a part to a batch.
func (s *Server) putFinishedKeys(tx *Tx, sums []uint64) {
	slices.Sort(sums)
	sums = slices.Compact(sums)
	raw := make([]byte, 0, 8*len(sums))
	for _, v := range sums {
		raw = binary.BigEndian.AppendUint64(raw, v)
	}
	s.finishedParts++
	tx.hasFinishedKeys = true
	tx.add(store.Put{Key: fmt.Sprintf("%s%016x-%x", finishedPrefix, tx.store.Seq()+1, s.finishedParts), Val: raw})
}

// maxFinishedKeys is how many keys that ran are kept at most, by the layout in force. It is asked for every claim, so
// the layout is not read anew for it.
func (s *Server) maxFinishedKeys() int {
	s.mu.Lock()
	sheet := s.config
	s.mu.Unlock()
	if doc := s.parsedConfig(sheet); doc != nil {
		return doc.Claims.MaxFinished
	}
	return defaultMaxFinishedKeys
}

// sweepClaims ends claims that have had their time. Of each whose query may have run the hash stays.
// Age is counted from when this run of this process first saw a claim or a part: a hand-over only
// makes them last longer.
func (s *Server) sweepClaims(lim ClaimLimits) {
	var gone []string
	now := s.claimsSweptAt
	aged := make(map[string]time.Time, len(s.claimsSeen))
	see := func(k string, keep time.Duration) bool {
		at, ok := s.claimsSeen[k]
		if !ok {
			at = now
		}
		aged[k] = at
		return now.Sub(at) > keep
	}
	s.store.Load().Each("claim/", func(k string, _ []byte) {
		keep := lim.Keep
		if strings.HasPrefix(k, "claim/"+StreamPrefix) {
			keep = max(keep, time.Hour) // a frozen router may ask late
		}
		if see(k, keep) {
			gone = append(gone, k)
		}
	})
	// In pieces: after a hand-over an hour's claims may end at once, and a batch has to fit a frame.
	for from, i, size := 0, 0, 0; i < len(gone); i++ {
		size += len(gone[i])
		if size >= maxEndedKeyBytes || i == len(gone)-1 {
			part := gone[from : i+1]
			s.submitLater(func(tx *Tx) error { return s.endClaims(tx, part) })
			from, size = i+1, 0
		}
	}
	var old []string
	for _, p := range s.finishedKeys.parts {
		if see(p.Key, lim.FinishedKeep) {
			old = append(old, p.Key)
		}
	}
	s.claimsSeen = aged
	s.dropLater(old)
	s.submitLater(s.mergeFinishedKeys)
}

// endClaims ends claims, and keeps that their keys ran.
func (s *Server) endClaims(tx *Tx, keys []string) error {
	var sums []uint64
	for _, k := range keys {
		raw, ok := tx.Get(k)
		if !ok {
			continue
		}
		var c Claim
		if _, err := c.UnmarshalMsg(raw); err != nil {
			return err
		}
		if c.State != ClaimFreed && !strings.HasPrefix(k, "claim/"+StreamPrefix) {
			sums = append(sums, keyHash(strings.TrimPrefix(k, "claim/")))
		}
		tx.Drop(k)
	}
	if len(sums) > 0 {
		s.putFinishedKeys(tx, sums)
	}
	return nil
}

// mergeFinishedKeys makes one part of the smallest once there are many small ones.
func (s *Server) mergeFinishedKeys(tx *Tx) error {
	var small []store.Put
	for _, p := range s.finishedKeys.parts {
		if len(p.Val)/8 < finishedPartSize/2 {
			small = append(small, p)
		}
	}
	if len(small) < finishedMergeAt {
		return nil
	}
	slices.SortFunc(small, func(a, b store.Put) int { return len(a.Val) - len(b.Val) })
	var sums []uint64
	for _, p := range small[:finishedMergeAt] {
		if len(sums)+len(p.Val)/8 > finishedPartSize {
			break
		}
		for i := 0; i < len(p.Val); i += 8 {
			sums = append(sums, binary.BigEndian.Uint64(p.Val[i:]))
		}
		tx.Drop(p.Key)
	}
	s.putFinishedKeys(tx, sums)
	return nil
}
