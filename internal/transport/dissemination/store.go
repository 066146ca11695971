package dissemination

import (
	"strings"
	"sync"
	"time"
)

// ShardCount is how many shards a store has. Nodes compare their stores shard by shard, so it is the same on all of them
// and never changes.
const ShardCount = 64

// Store is one node's replica of the records. Its methods may be called concurrently.
//
// Each shard has a lock of its own, and no method holds two of them at a time: what spans shards (ForEachWithPrefix,
// Digests, Compare) is no snapshot. Anti-entropy tolerates that, since a repair only ever replaces older records.
type Store struct {
	shards   [ShardCount]shard
	onRecord func(Record)
}

// shard holds the records whose keys hash to its index. A key has a record or a tombstone, or for a newer record both.
type shard struct {
	mu         sync.RWMutex // guards what follows
	records    map[string]storedRecord
	tombstones map[string]tombstone
}

// storedRecord is a record and when it came.
type storedRecord struct {
	record     Record
	receivedAt time.Time
}

// tombstone stands for a record that has expired here. A node that still has that version must not bring it back.
type tombstone struct {
	generation, version uint64
	createdAt           time.Time
}

// NewStore returns an empty store. onRecord, which may be nil, is called for every record that Merge takes: for one key
// from the older to the newer, between keys in no order and concurrently. It runs under a shard's lock, so it must not
// block nor call the store.
func NewStore(onRecord func(Record)) *Store {
	s := &Store{onRecord: onRecord}
	for i := range s.shards {
		s.shards[i].records = map[string]storedRecord{}
		s.shards[i].tombstones = map[string]tombstone{}
	}
	return s
}

// shardOf returns the shard of a key.
func (s *Store) shardOf(key string) *shard { return &s.shards[shardIndex(key)] }

// Merge takes the records that are newer than those in the store, and returns them. A version that has expired here is
// not taken.
func (s *Store) Merge(records []Record) []Record {
	var merged []Record
	for _, record := range records {
		if s.merge(record) {
			merged = append(merged, record)
		}
	}
	return merged
}

// merge takes a record if it is newer, and reports whether it was.
func (s *Store) merge(record Record) bool {
	shard := s.shardOf(record.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	expired, ok := shard.tombstones[record.Key]
	if ok && expired.generation == record.Generation && expired.version == record.Version {
		return false
	}
	if current, ok := shard.records[record.Key]; ok && !record.newerThan(&current.record) {
		return false
	}
	shard.records[record.Key] = storedRecord{record, time.Now()}
	if s.onRecord != nil {
		s.onRecord(record)
	}
	return true
}

// Get returns the record of a key and its age, which is the time since it came here. It reports false where there is
// none.
func (s *Store) Get(key string) (record Record, age time.Duration, ok bool) {
	shard := s.shardOf(key)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	stored, ok := shard.records[key]
	return stored.record, time.Since(stored.receivedAt), ok
}

// Select returns the records of keys, without those that the store does not have.
func (s *Store) Select(keys []string) []Record {
	var records []Record
	for _, key := range keys {
		if record, _, ok := s.Get(key); ok {
			records = append(records, record)
		}
	}
	return records
}

// ForEachWithPrefix visits the records whose key begins with a prefix, with their age, in no order. visit runs under a
// shard's lock, so it must not block nor call the store.
func (s *Store) ForEachWithPrefix(prefix string, visit func(record Record, age time.Duration)) {
	for i := range s.shards {
		s.shards[i].forEach(func(key string, stored storedRecord) {
			if strings.HasPrefix(key, prefix) {
				visit(stored.record, time.Since(stored.receivedAt))
			}
		})
	}
}

// forEach visits the records of a shard in no order, under its lock.
func (s *shard) forEach(visit func(key string, stored storedRecord)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, stored := range s.records {
		visit(key, stored)
	}
}

// Expire replaces records that are older than maxAge by tombstones, and drops tombstones that are: their writer is long
// gone. The fleet configuration's record stays.
func (s *Store) Expire(maxAge time.Duration) {
	for i := range s.shards {
		s.shards[i].expire(maxAge)
	}
}

// expire does the work of Expire for one shard.
func (s *shard) expire(maxAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, stored := range s.records {
		if key != ConfigKey && time.Since(stored.receivedAt) > maxAge {
			delete(s.records, key)
			s.tombstones[key] = tombstone{stored.record.Generation, stored.record.Version, time.Now()}
		}
	}
	for key, expired := range s.tombstones {
		if time.Since(expired.createdAt) > maxAge {
			delete(s.tombstones, key)
		}
	}
}
