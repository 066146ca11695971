// Package store keeps versions of a key-value state on disk: one file a version, each holding the changes that were
// synced together, with a base version now and then so that old files can go.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"slices"
	"sort"
	"strings"
	"sync"
	"yarrowridge/internal/lib/runloop"

	"github.com/rotisserie/eris"
)

// ErrBroken means a version that was once whole on disk no longer is.
var ErrCorrupt = errors.New("store: a version is damaged or missing")

// ErrGap means a batch does not follow on from the state held.
var ErrGap = errors.New("store: batch does not follow")

// AddChecksum adds a checksum so that a damaged file is known for what it is.
func AddChecksum(raw []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(raw), crc32.ChecksumIEEE(raw))
}

// VerifyChecksum checks and strips the checksum.
func VerifyChecksum(file []byte) ([]byte, bool) {
	if len(file) < 4 {
		return nil, false
	}
	raw, sum := file[:len(file)-4], binary.BigEndian.Uint32(file[len(file)-4:])
	return raw, crc32.ChecksumIEEE(raw) == sum
}

// RemoveIncompleteWrites sets aside what a broken write left behind, and says so.
func RemoveIncompleteWrites(disk Disk, log *slog.Logger) error {
	all, err := disk.List()
	if err != nil {
		return err
	}
	for _, name := range all {
		if strings.HasSuffix(name, ".aside") {
			log.Warn("Unfinished file removed.", "file", name)
			if err := disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// Store is the state held on one disk.
type Store struct {
	disk          Disk
	mu            sync.RWMutex
	version       uint64
	values        map[string][]byte
	foldedUpTo    uint64     // the newest version that lies in a fold or base
	sizeSinceBase int        // bytes put since the base
	baseSize      int        // bytes of the base
	unfolded      []Mutation // put since the fold
	folds         int        // folds since the base
	writing       runloop.Mutex
	closed        bool
}

// fileName names the file of a version.
func fileName(version uint64) string { return fmt.Sprintf("v-%016x", version) }

// Open reads all versions. ErrBroken is returned where a sealed version is damaged or missing:
// the caller must then count this disk as blank.
func Open(disk Disk, log *slog.Logger) (*Store, error) {
	s := &Store{writing: runloop.NewMutex(), disk: disk, values: map[string][]byte{}}
	names, err := finishBases(disk)
	if err != nil {
		return nil, err
	}
	batches, err := readBatches(disk, names, log)
	if err != nil {
		return nil, err
	}
	for _, batch := range withoutReplaced(batches) {
		first := batch.From
		if first == 0 {
			first = batch.Version
		}
		if !batch.Base && first != s.version+1 {
			return nil, eris.Wrapf(ErrCorrupt, "version %d missing", s.version+1)
		}
		s.apply(batch)
	}
	return s, nil
}

// finishBases puts bases in their places whose writer was cut short, and lists the files.
func finishBases(disk Disk) ([]string, error) {
	names, err := disk.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		var version uint64
		if _, err := fmt.Sscanf(name, basePrefix+"v-%016x", &version); err == nil && name == basePrefix+fileName(version) {
			if err := settleBase(disk, version); err != nil {
				return nil, err
			}
			names, err = disk.List()
			if err != nil {
				return nil, err
			}
		}
	}
	return names, nil
}

// readBatches reads the versions among the files, in their order.
func readBatches(disk Disk, names []string, log *slog.Logger) ([]Batch, error) {
	var batches []Batch
	for _, name := range names {
		if !strings.HasPrefix(name, "v-") || strings.HasSuffix(name, ".aside") {
			continue
		}
		file, err := disk.Read(name)
		if err != nil {
			return nil, err
		}
		raw, ok := VerifyChecksum(file)
		var batch Batch
		if ok {
			_, err = batch.UnmarshalMsg(raw)
		}
		if !ok || err != nil || fileName(batch.Version) != name {
			log.Error("Version is damaged.", "file", name)
			return nil, eris.Wrap(ErrCorrupt, name)
		}
		batches = append(batches, batch)
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Version < batches[j].Version })
	return batches, nil
}

// withoutReplaced leaves out what the last base, or a fold, stands for. Where the removal of such versions
// was cut short, some still lie there.
func withoutReplaced(batches []Batch) []Batch {
	from := 0
	for i, batch := range batches {
		if batch.Base {
			from = i
		}
	}
	var needed []Batch // the newest first
	for _, batch := range slices.Backward(batches[from:]) {
		if n := len(needed); n > 0 && needed[n-1].From > 0 && batch.Version >= needed[n-1].From && !batch.Base {
			continue
		}
		needed = append(needed, batch)
	}
	slices.Reverse(needed)
	return needed
}

// apply takes a batch into the state.
func (s *Store) apply(batch Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Base {
		s.values = map[string][]byte{}
		s.sizeSinceBase, s.folds = 0, 0
	}
	if batch.From > 0 {
		s.folds++
	}
	if batch.Base || batch.From > 0 {
		s.foldedUpTo, s.unfolded = batch.Version, nil
	} else {
		s.unfolded = append(s.unfolded, batch.Mutations...)
	}
	for _, change := range batch.Mutations {
		s.sizeSinceBase += len(change.Key) + len(change.Value)
		if change.Deleted {
			delete(s.values, change.Key)
		} else {
			s.values[change.Key] = change.Value
		}
	}
	if batch.Base {
		s.baseSize, s.sizeSinceBase = s.sizeSinceBase, 0
	}
	s.version = batch.Version
}

// Version is the newest version held.
func (s *Store) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Get reads a key.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.values[key]
	return v, ok
}

// ForEachWithPrefix visits all keys with a prefix, in no order.
func (s *Store) ForEachWithPrefix(head string, do func(string, []byte)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, v := range s.values {
		if strings.HasPrefix(k, head) {
			do(k, v)
		}
	}
}

// Snapshot gives the state as a base batch.
func (s *Store) Snapshot() Batch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	batch := Batch{Version: s.version, Base: true}
	for k, v := range s.values {
		batch.Mutations = append(batch.Mutations, Mutation{Key: k, Value: v})
	}
	sort.Slice(batch.Mutations, func(i, j int) bool { return batch.Mutations[i].Key < batch.Mutations[j].Key })
	return batch
}

// Append writes and syncs one batch, then takes it. A batch must follow the one before,
// or be a base, which replaces all. After an error the disk's word can't be relied on:
// the caller must stop leading.
func (s *Store) Append(batch Batch) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.closed {
		return eris.New("store: closed")
	}
	if !batch.Base && batch.Version != s.Version()+1 {
		return eris.Wrapf(ErrGap, "have %d, got %d", s.Version(), batch.Version)
	}
	raw, err := batch.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if !batch.Base {
		if err := s.disk.Write(fileName(batch.Version), AddChecksum(raw)); err != nil {
			return err
		}
		s.apply(batch)
		return nil
	}
	// A base replaces all. It lies whole beside what it replaces before any of that goes: a fold may
	// hold what was acknowledged together with what never was.
	if err := s.disk.Write(basePrefix+fileName(batch.Version), AddChecksum(raw)); err != nil {
		return err
	}
	if err := settleBase(s.disk, batch.Version); err != nil {
		return err
	}
	s.apply(batch)
	return removeVersions(s.disk, func(name string) bool { return name < fileName(batch.Version) })
}

// basePrefix begins the name of a base that has not taken its place yet.
const basePrefix = "base-"

// settleBase puts a base in its place. Versions above it belong to a history that was never acknowledged. They are gone
// for good before the base has its name: beside it they would count as what followed, or as a gap.
func settleBase(disk Disk, version uint64) error {
	if err := removeVersions(disk, func(name string) bool { return name > fileName(version) }); err != nil {
		return err
	}
	if err := disk.Sync(); err != nil {
		return err
	}
	return disk.Rename(basePrefix+fileName(version), fileName(version))
}

// Close waits for a write that is under way and rejects all later ones.
func (s *Store) Close() {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.closed = true
}

// removeVersions removes the files of some versions.
func removeVersions(disk Disk, which func(string) bool) error {
	all, err := disk.List()
	if err != nil {
		return err
	}
	for _, name := range all {
		if strings.HasPrefix(name, "v-") && which(name) {
			if err := disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// CompactIfNeeded keeps the files few, since each costs time when a process starts: some versions are folded into one file,
// the more the more folds there are, and once as much has been put since the last base as the base holds, a new
// one is written. So what is written stays within a few times what is put, however much is kept, and the number
// of files grows as the root of the number of versions. It may take a while: call it after answering.
func (s *Store) CompactIfNeeded() error {
	s.mu.RLock()
	base, fold := s.sizeSinceBase > max(8<<20, s.baseSize), s.version-s.foldedUpTo >= uint64(foldLeast+s.folds)
	s.mu.RUnlock()
	switch {
	case base:
		return s.WriteSnapshot()
	case fold:
		return s.Compact()
	}
	return nil
}

// foldLeast is the fewest versions that are folded into one.
const foldLeast = 64

// WriteSnapshot writes the state as a base in place of the newest version and drops what is older.
func (s *Store) WriteSnapshot() error { return s.Append(s.Snapshot()) }

// Compact writes the versions since the last fold or base as one, in place of the newest of them.
func (s *Store) Compact() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.RLock()
	batch := Batch{Version: s.version, From: s.foldedUpTo + 1, Mutations: s.unfolded}
	s.mu.RUnlock()
	if s.closed || batch.From >= batch.Version {
		return nil
	}
	raw, err := batch.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if err := s.disk.Write(fileName(batch.Version), AddChecksum(raw)); err != nil {
		return err
	}
	s.mu.Lock()
	s.foldedUpTo, s.unfolded = batch.Version, nil
	s.folds++
	s.mu.Unlock()
	return removeVersions(s.disk, func(name string) bool { return name >= fileName(batch.From) && name < fileName(batch.Version) })
}
