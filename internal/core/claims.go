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

func (s *Server) take(ctx context.Context, in *ClaimRequest) (*ClaimResponse, error) {
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
			case !ok && s.ran.has(tx, ranSum(in.Key)):
				out.AlreadyRan = true
				return nil
			case s.ran.n >= s.most():
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
			out.Running = old.State == ClaimRuns && (n != nil && n.node.Run == old.NodeRun && time.Since(n.at) < nodeTerm || time.Since(s.since) < nodeTerm)
			s.mu.Unlock()
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

func (s *Server) settle(ctx context.Context, in *SettleRequest) (*Empty, error) {
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

// StreamHead begins the keys under which the right to carry a stream on is claimed. No tenant's key
// begins so: a tenant's name is not empty.
const StreamHead = "/stream/"

// A claim with its answer is kept for claim_keep_s. That its key ran is kept far longer, as eight
// bytes of the key's hash: in parts, each the sorted hashes of one sweep, merged as they become many.
const (
	ranHead  = "ran/"
	ranPart  = 1 << 17 // hashes in one part, so that a part fits into a frame many times over
	ranSmall = 16      // parts of less than half that before they are merged
	goneMost = 1 << 19 // bytes of the keys of claims that end in one batch
)

// ranSum is what is kept of a key that ran.
func ranSum(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:])
}

// ran is the parts, as committed. Only the run loop touches it.
type ran struct {
	parts []store.Put
	n     int // hashes
}

// load reads all parts anew.
func (r *ran) load(st *store.Store) {
	*r = ran{}
	st.Each(ranHead, func(k string, v []byte) { r.take(store.Put{Key: k, Val: v}) })
}

// take follows a committed put.
func (r *ran) take(p store.Put) {
	r.parts = slices.DeleteFunc(r.parts, func(o store.Put) bool {
		if o.Key == p.Key {
			r.n -= len(o.Val) / 8
		}
		return o.Key == p.Key
	})
	if !p.Gone {
		r.parts = append(r.parts, p)
		r.n += len(p.Val) / 8
	}
}

// has tells whether a key's hash stands in a part, one of the same batch included.
func (r *ran) has(tx *Tx, sum uint64) bool {
	var want [8]byte
	binary.BigEndian.PutUint64(want[:], sum)
	in := func(p store.Put) bool {
		_, ok := sort.Find(len(p.Val)/8, func(i int) int { return bytes.Compare(want[:], p.Val[i*8:i*8+8]) })
		return ok
	}
	return slices.ContainsFunc(r.parts, in) || tx.ran && slices.ContainsFunc(tx.puts, func(p store.Put) bool {
		return strings.HasPrefix(p.Key, ranHead) && in(p)
	})
}

// ranPut adds a part to a batch.
func (s *Server) ranPut(tx *Tx, sums []uint64) {
	slices.Sort(sums)
	sums = slices.Compact(sums)
	raw := make([]byte, 0, 8*len(sums))
	for _, v := range sums {
		raw = binary.BigEndian.AppendUint64(raw, v)
	}
	s.ranTurn++
	tx.ran = true
	tx.add(store.Put{Key: fmt.Sprintf("%s%016x-%x", ranHead, tx.st.Seq()+1, s.ranTurn), Val: raw})
}

// most is how many keys that ran are kept at most, by the layout in force. It is asked for every claim, so
// the layout is not read anew for it.
func (s *Server) most() int {
	s.mu.Lock()
	sheet := s.sheet
	s.mu.Unlock()
	if doc := s.parsed(sheet); doc != nil {
		return doc.Claims.RanMost
	}
	return defaultRanMost
}

// sweepClaims ends claims that have had their time. Of each whose query may have run the hash stays.
// Age is counted from when this run of this process first saw a claim or a part: a hand-over only
// makes them last longer.
func (s *Server) sweepClaims(lim ClaimLimits) {
	var gone []string
	now := s.swept10
	aged := make(map[string]time.Time, len(s.claims))
	see := func(k string, keep time.Duration) bool {
		at, ok := s.claims[k]
		if !ok {
			at = now
		}
		aged[k] = at
		return now.Sub(at) > keep
	}
	s.st.Load().Each("claim/", func(k string, _ []byte) {
		keep := lim.Keep
		if strings.HasPrefix(k, "claim/"+StreamHead) {
			keep = max(keep, time.Hour) // a frozen router may ask late
		}
		if see(k, keep) {
			gone = append(gone, k)
		}
	})
	// In pieces: after a hand-over an hour's claims may end at once, and a batch has to fit a frame.
	for from, i, size := 0, 0, 0; i < len(gone); i++ {
		size += len(gone[i])
		if size >= goneMost || i == len(gone)-1 {
			part := gone[from : i+1]
			s.later(func(tx *Tx) error { return s.forget(tx, part) })
			from, size = i+1, 0
		}
	}
	var old []string
	for _, p := range s.ran.parts {
		if see(p.Key, lim.RanKeep) {
			old = append(old, p.Key)
		}
	}
	s.claims = aged
	s.dropLater(old)
	s.later(s.merge)
}

// forget ends claims, and keeps that their keys ran.
func (s *Server) forget(tx *Tx, keys []string) error {
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
		if c.State != ClaimFreed && !strings.HasPrefix(k, "claim/"+StreamHead) {
			sums = append(sums, ranSum(strings.TrimPrefix(k, "claim/")))
		}
		tx.Drop(k)
	}
	if len(sums) > 0 {
		s.ranPut(tx, sums)
	}
	return nil
}

// merge makes one part of the smallest once there are many small ones.
func (s *Server) merge(tx *Tx) error {
	var small []store.Put
	for _, p := range s.ran.parts {
		if len(p.Val)/8 < ranPart/2 {
			small = append(small, p)
		}
	}
	if len(small) < ranSmall {
		return nil
	}
	slices.SortFunc(small, func(a, b store.Put) int { return len(a.Val) - len(b.Val) })
	var sums []uint64
	for _, p := range small[:ranSmall] {
		if len(sums)+len(p.Val)/8 > ranPart {
			break
		}
		for i := 0; i < len(p.Val); i += 8 {
			sums = append(sums, binary.BigEndian.Uint64(p.Val[i:]))
		}
		tx.Drop(p.Key)
	}
	s.ranPut(tx, sums)
	return nil
}
