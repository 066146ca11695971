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

	"github.com/rotisserie/eris"

	"yarrowridge/internal/env"
)

// ErrBroken means a version that was once whole on disk no longer is.
var ErrBroken = errors.New("store: a version is damaged or missing")

// ErrGap means a batch does not follow on from the state held.
var ErrGap = errors.New("store: batch does not follow")

// Seal adds a checksum so that a damaged file is known for what it is.
//
//	d.Write("ballot", store.Seal(raw))
func Seal(raw []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(raw), crc32.ChecksumIEEE(raw))
}

// Unseal checks and strips the checksum.
//
//	raw, ok := store.Unseal(file)
func Unseal(file []byte) ([]byte, bool) {
	if len(file) < 4 {
		return nil, false
	}
	raw, sum := file[:len(file)-4], binary.BigEndian.Uint32(file[len(file)-4:])
	return raw, crc32.ChecksumIEEE(raw) == sum
}

// Tidy sets aside what a broken write left behind, and says so.
//
//	err := store.Tidy(d, log)
func Tidy(disk Disk, log *slog.Logger) error {
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
	foldedUpTo    uint64 // the newest version that lies in a fold or base
	sizeSinceBase int    // bytes put since the base
	baseSize      int    // bytes of the base
	unfolded      []Put  // put since the fold
	folds         int    // folds since the base
	writing       env.Gate
	closed        bool
}

// fileName names the file of a version.
func fileName(version uint64) string { return fmt.Sprintf("v-%016x", version) }

// Open reads all versions. ErrBroken is returned where a sealed version is damaged or missing:
// the caller must then count this disk as blank.
//
//	s, err := store.Open(disk, log)
func Open(disk Disk, log *slog.Logger) (*Store, error) {
	s := &Store{writing: env.NewGate(), disk: disk, values: map[string][]byte{}}
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
			first = batch.Seq
		}
		if !batch.Base && first != s.version+1 {
			return nil, eris.Wrapf(ErrBroken, "version %d missing", s.version+1)
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
		raw, ok := Unseal(file)
		var batch Batch
		if ok {
			_, err = batch.UnmarshalMsg(raw)
		}
		if !ok || err != nil || fileName(batch.Seq) != name {
			log.Error("Version is damaged.", "file", name)
			return nil, eris.Wrap(ErrBroken, name)
		}
		batches = append(batches, batch)
	}
	sort.Slice(batches, func(i, j int) bool { return batches[i].Seq < batches[j].Seq })
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
		if n := len(needed); n > 0 && needed[n-1].From > 0 && batch.Seq >= needed[n-1].From && !batch.Base {
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
		s.foldedUpTo, s.unfolded = batch.Seq, nil
	} else {
		s.unfolded = append(s.unfolded, batch.Puts...)
	}
	for _, change := range batch.Puts {
		s.sizeSinceBase += len(change.Key) + len(change.Val)
		if change.Gone {
			delete(s.values, change.Key)
		} else {
			s.values[change.Key] = change.Val
		}
	}
	if batch.Base {
		s.baseSize, s.sizeSinceBase = s.sizeSinceBase, 0
	}
	s.version = batch.Seq
}

// Seq is the newest version held.
//
//	n := s.Seq()
func (s *Store) Seq() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Get reads a key.
//
//	raw, ok := s.Get("layout")
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.values[key]
	return v, ok
}

// Each visits all keys with a prefix, in no order.
//
//	s.Each("share/", func(k string, v []byte) { ... })
func (s *Store) Each(head string, do func(string, []byte)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, v := range s.values {
		if strings.HasPrefix(k, head) {
			do(k, v)
		}
	}
}

// Whole gives the state as a base batch.
//
//	b := s.Whole()
func (s *Store) Whole() Batch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	batch := Batch{Seq: s.version, Base: true}
	for k, v := range s.values {
		batch.Puts = append(batch.Puts, Put{Key: k, Val: v})
	}
	sort.Slice(batch.Puts, func(i, j int) bool { return batch.Puts[i].Key < batch.Puts[j].Key })
	return batch
}

// Add writes and syncs one batch, then takes it. A batch must follow the one before,
// or be a base, which replaces all. After an error the disk's word can't be relied on:
// the caller must stop leading.
//
//	err := s.Add(store.Batch{Seq: s.Seq() + 1, Puts: puts})
func (s *Store) Add(batch Batch) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.closed {
		return eris.New("store: closed")
	}
	if !batch.Base && batch.Seq != s.Seq()+1 {
		return eris.Wrapf(ErrGap, "have %d, got %d", s.Seq(), batch.Seq)
	}
	raw, err := batch.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if !batch.Base {
		if err := s.disk.Write(fileName(batch.Seq), Seal(raw)); err != nil {
			return err
		}
		s.apply(batch)
		return nil
	}
	// A base replaces all. It lies whole beside what it replaces before any of that goes: a fold may
	// hold what was acknowledged together with what never was.
	if err := s.disk.Write(basePrefix+fileName(batch.Seq), Seal(raw)); err != nil {
		return err
	}
	if err := settleBase(s.disk, batch.Seq); err != nil {
		return err
	}
	s.apply(batch)
	return removeVersions(s.disk, func(name string) bool { return name < fileName(batch.Seq) })
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
//
//	s.Close()
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

// Tidy keeps the files few, since each costs time when a process starts: some versions are folded into one file,
// the more the more folds there are, and once as much has been put since the last base as the base holds, a new
// one is written. So what is written stays within a few times what is put, however much is kept, and the number
// of files grows as the root of the number of versions. It may take a while: call it after answering.
//
//	err := s.Tidy()
func (s *Store) Tidy() error {
	s.mu.RLock()
	base, fold := s.sizeSinceBase > max(8<<20, s.baseSize), s.version-s.foldedUpTo >= uint64(foldLeast+s.folds)
	s.mu.RUnlock()
	switch {
	case base:
		return s.Rebase()
	case fold:
		return s.Fold()
	}
	return nil
}

// foldLeast is the fewest versions that are folded into one.
const foldLeast = 64

// Rebase writes the state as a base in place of the newest version and drops what is older.
//
//	err := s.Rebase()
func (s *Store) Rebase() error { return s.Add(s.Whole()) }

// Fold writes the versions since the last fold or base as one, in place of the newest of them.
//
//	err := s.Fold()
func (s *Store) Fold() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.RLock()
	batch := Batch{Seq: s.version, From: s.foldedUpTo + 1, Puts: s.unfolded}
	s.mu.RUnlock()
	if s.closed || batch.From >= batch.Seq {
		return nil
	}
	raw, err := batch.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if err := s.disk.Write(fileName(batch.Seq), Seal(raw)); err != nil {
		return err
	}
	s.mu.Lock()
	s.foldedUpTo, s.unfolded = batch.Seq, nil
	s.folds++
	s.mu.Unlock()
	return removeVersions(s.disk, func(name string) bool { return name >= fileName(batch.From) && name < fileName(batch.Seq) })
}
