// Package dissemination brings news to every node: a store of records on each, a tree over which new ones
// flow, and a repair by digests over ranges that mends copies from the newer.
package dissemination

import (
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"
)

// RangeCount is how many ranges of keys have a digest of their own.
const RangeCount = 64

// ConfigKey is the key of the layout's record.
const ConfigKey = "layout"

// ConfigRecord makes the record of a layout.
func ConfigRecord(seq uint64, raw []byte) Record {
	return Record{Key: ConfigKey, Version: seq, Body: raw}
}

// RunnerPrefix begins the key of a registered runner's record; its ID follows.
const RunnerPrefix = "runners/"

// Newer reports whether a is newer than b.
func Newer(a, b Record) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return string(a.Body) > string(b.Body)
}

type heldRecord struct {
	record Record
	at     time.Time
}

// forgotten is a record that was forgotten. A neighbour that still has it must not bring it back.
type forgotten struct {
	generation, version uint64
	at                  time.Time
}

// Store is one node's copy of the news, in shards with a lock each.
type Store struct {
	shards [RangeCount]struct {
		mu  sync.RWMutex
		all map[string]heldRecord
		old map[string]forgotten
	}
	onRecord func(Record)
}

// NewStore makes an empty store. onRecord is called for every record that is taken, in no fixed order
// between keys, and for one key from the older to the newer.
func NewStore(onRecord func(Record)) *Store {
	b := &Store{onRecord: onRecord}
	for i := range b.shards {
		b.shards[i].all = map[string]heldRecord{}
		b.shards[i].old = map[string]forgotten{}
	}
	return b
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

func rangeOf(key string) int { return int(hash(key) % RangeCount) }

// Merge takes the records that are newer than what stands here, and returns those.
func (s *Store) Merge(records []Record) []Record {
	var fresh []Record
	for _, r := range records {
		shard := &s.shards[rangeOf(r.Key)]
		shard.mu.Lock()
		old, ok := shard.all[r.Key]
		gone, was := shard.old[r.Key]
		if was && gone.generation == r.Generation && gone.version == r.Version {
			shard.mu.Unlock()
			continue
		}
		if !ok || Newer(r, old.record) {
			shard.all[r.Key] = heldRecord{r, time.Now()}
			fresh = append(fresh, r)
			if s.onRecord != nil {
				s.onRecord(r)
			}
		}
		shard.mu.Unlock()
	}
	return fresh
}

// Get reads one record and how long ago it came.
func (s *Store) Get(key string) (Record, time.Duration, bool) {
	shard := &s.shards[rangeOf(key)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	h, ok := shard.all[key]
	return h.record, time.Since(h.at), ok
}

// ForEachWithPrefix visits the records whose key begins with a prefix.
func (s *Store) ForEachWithPrefix(prefix string, do func(Record, time.Duration)) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.RLock()
		for k, h := range shard.all {
			if strings.HasPrefix(k, prefix) {
				do(h.record, time.Since(h.at))
			}
		}
		shard.mu.RUnlock()
	}
}

// Expire forgets records untouched for longer than d: their owner is long gone. The layout stays.
func (s *Store) Expire(d time.Duration) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for k, h := range shard.all {
			if k != ConfigKey && time.Since(h.at) > d {
				delete(shard.all, k)
				shard.old[k] = forgotten{h.record.Generation, h.record.Version, time.Now()}
			}
		}
		for k, gone := range shard.old {
			if time.Since(gone.at) > d {
				delete(shard.old, k)
			}
		}
		shard.mu.Unlock()
	}
}

func littleEndian(n uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return string(b[:])
}

// Digests digests every range.
func (s *Store) Digests(from string) Digests {
	out := Digests{From: from, Ranges: make([]uint64, RangeCount)}
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.RLock()
		for k, h := range shard.all {
			out.Ranges[i] ^= hash(k, littleEndian(h.record.Generation), littleEndian(h.record.Version))
		}
		shard.mu.RUnlock()
	}
	return out
}

// Compare names what stands in the ranges whose digest differs from the far side's.
func (s *Store) Compare(far Digests) Difference {
	var out Difference
	mine := s.Digests("")
	for i := range s.shards {
		if i < len(far.Ranges) && far.Ranges[i] == mine.Ranges[i] {
			continue
		}
		out.Ranges = append(out.Ranges, i)
		shard := &s.shards[i]
		shard.mu.RLock()
		for _, h := range shard.all {
			out.Records = append(out.Records, RecordVersion{h.record.Key, h.record.Generation, h.record.Version})
		}
		shard.mu.RUnlock()
	}
	return out
}

// Repair works out, from the far side's names, what to hand over and what to ask for.
func (s *Store) Repair(from string, diff Difference) Repair {
	out := Repair{From: from}
	far := map[string]RecordVersion{}
	for _, n := range diff.Records {
		far[n.Key] = n
		mine, _, ok := s.Get(n.Key)
		if !ok || n.Generation > mine.Generation || n.Generation == mine.Generation && n.Version > mine.Version {
			out.Wanted = append(out.Wanted, n.Key)
		}
	}
	for _, i := range diff.Ranges {
		if i < 0 || i >= RangeCount {
			continue
		}
		shard := &s.shards[i]
		shard.mu.RLock()
		for k, h := range shard.all {
			n, ok := far[k]
			if !ok || h.record.Generation > n.Generation || h.record.Generation == n.Generation && h.record.Version > n.Version {
				out.Records = append(out.Records, h.record)
			}
		}
		shard.mu.RUnlock()
	}
	sort.Slice(out.Records, func(i, j int) bool { return out.Records[i].Key < out.Records[j].Key })
	return out
}

// Select gives the records asked for.
func (s *Store) Select(keys []string) []Record {
	var out []Record
	for _, k := range keys {
		if r, _, ok := s.Get(k); ok {
			out = append(out, r)
		}
	}
	return out
}
