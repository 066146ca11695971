// Package store keeps versions on disk: one file a version, each holding the changes that were
// synced together, with a base version now and then so that old files can go.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
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
func Tidy(d Disk, log *slog.Logger) error {
	all, err := d.List()
	if err != nil {
		return err
	}
	for _, n := range all {
		if strings.HasSuffix(n, ".aside") {
			log.Warn("Unfinished file removed.", "file", n)
			if err := d.Remove(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// Store is the state held on one disk.
type Store struct {
	disk  Disk
	mu    sync.RWMutex
	seq   uint64
	all   map[string][]byte
	fold  uint64 // the newest version that lies in a fold or base
	size  int    // bytes put since the base
	whole int    // bytes of the base
	loose []Put  // put since the fold
	sync  env.Gate
	shut  bool
}

func name(seq uint64) string { return fmt.Sprintf("v-%016x", seq) }

// Open reads all versions. ErrBroken is returned where a sealed version is damaged or missing:
// the caller must then count this disk as blank.
//
//	s, err := store.Open(d, log)
func Open(d Disk, log *slog.Logger) (*Store, error) {
	s := &Store{sync: env.NewGate(), disk: d, all: map[string][]byte{}}
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	for _, n := range names {
		var seq uint64
		if _, err := fmt.Sscanf(n, baseHead+"v-%016x", &seq); err == nil && n == baseHead+name(seq) {
			if err := settle(d, seq); err != nil {
				return nil, err
			}
			names, err = d.List()
			if err != nil {
				return nil, err
			}
		}
	}
	var got []Batch
	for _, n := range names {
		if !strings.HasPrefix(n, "v-") || strings.HasSuffix(n, ".aside") {
			continue
		}
		file, err := d.Read(n)
		if err != nil {
			return nil, err
		}
		raw, ok := Unseal(file)
		var b Batch
		if ok {
			_, err = b.UnmarshalMsg(raw)
		}
		if !ok || err != nil || name(b.Seq) != n {
			log.Error("Version is damaged.", "file", n)
			return nil, eris.Wrap(ErrBroken, n)
		}
		got = append(got, b)
	}
	sort.Slice(got, func(i, j int) bool { return got[i].Seq < got[j].Seq })
	from := -1
	for i, b := range got {
		if b.Base {
			from = i
		}
	}
	got = got[max(from, 0):]
	// A fold stands for the versions before it. Where their removal was cut short, some still lie there.
	var need []Batch
	for i := len(got) - 1; i >= 0; i-- {
		b := got[i]
		if n := len(need); n > 0 && need[n-1].From > 0 && b.Seq >= need[n-1].From && !b.Base {
			continue
		}
		need = append(need, b)
	}
	for i := len(need) - 1; i >= 0; i-- {
		b := need[i]
		first := b.From
		if first == 0 {
			first = b.Seq
		}
		if !b.Base && first != s.seq+1 {
			return nil, eris.Wrapf(ErrBroken, "version %d missing", s.seq+1)
		}
		s.take(b)
	}
	return s, nil
}

func (s *Store) take(b Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Base {
		s.all = map[string][]byte{}
		s.size = 0
	}
	if b.Base || b.From > 0 {
		s.fold, s.loose = b.Seq, nil
	} else {
		s.loose = append(s.loose, b.Puts...)
	}
	for _, p := range b.Puts {
		s.size += len(p.Key) + len(p.Val)
		if p.Gone {
			delete(s.all, p.Key)
		} else {
			s.all[p.Key] = p.Val
		}
	}
	if b.Base {
		s.whole, s.size = s.size, 0
	}
	s.seq = b.Seq
}

// Seq is the newest version held.
//
//	n := s.Seq()
func (s *Store) Seq() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.seq
}

// Get reads a key.
//
//	raw, ok := s.Get("layout")
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.all[key]
	return v, ok
}

// Each visits all keys with a prefix, in no order.
//
//	s.Each("share/", func(k string, v []byte) { ... })
func (s *Store) Each(head string, do func(string, []byte)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, v := range s.all {
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
	b := Batch{Seq: s.seq, Base: true}
	for k, v := range s.all {
		b.Puts = append(b.Puts, Put{Key: k, Val: v})
	}
	sort.Slice(b.Puts, func(i, j int) bool { return b.Puts[i].Key < b.Puts[j].Key })
	return b
}

// Add writes and syncs one batch, then takes it. A batch must follow the one before,
// or be a base, which replaces all. After an error the disk's word can't be relied on:
// the caller must stop leading.
//
//	err := s.Add(store.Batch{Seq: s.Seq() + 1, Puts: puts})
func (s *Store) Add(b Batch) error {
	s.sync.Lock()
	defer s.sync.Unlock()
	if s.shut {
		return eris.New("store: closed")
	}
	if !b.Base && b.Seq != s.Seq()+1 {
		return eris.Wrapf(ErrGap, "have %d, got %d", s.Seq(), b.Seq)
	}
	raw, err := b.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if !b.Base {
		if err := s.disk.Write(name(b.Seq), Seal(raw)); err != nil {
			return err
		}
		s.take(b)
		return nil
	}
	// A base replaces all. It lies whole beside what it replaces before any of that goes: a fold may
	// hold what was acknowledged together with what never was.
	if err := s.disk.Write(baseHead+name(b.Seq), Seal(raw)); err != nil {
		return err
	}
	if err := settle(s.disk, b.Seq); err != nil {
		return err
	}
	s.take(b)
	return drop(s.disk, func(n string) bool { return n < name(b.Seq) })
}

// baseHead begins the name of a base that has not taken its place yet.
const baseHead = "base-"

// settle puts a base in its place. Versions above it belong to a history that was never acknowledged.
func settle(d Disk, seq uint64) error {
	if err := drop(d, func(n string) bool { return n > name(seq) }); err != nil {
		return err
	}
	return d.Rename(baseHead+name(seq), name(seq))
}

// Close waits for a write that is under way and bounces all later ones.
//
//	s.Close()
func (s *Store) Close() {
	s.sync.Lock()
	defer s.sync.Unlock()
	s.shut = true
}

func drop(d Disk, which func(string) bool) error {
	all, err := d.List()
	if err != nil {
		return err
	}
	for _, n := range all {
		if strings.HasPrefix(n, "v-") && which(n) {
			if err := d.Remove(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// Tidy keeps the files few: every foldAt versions are folded into one file, and once as much has
// been put since the last base as the base holds, a new one is written. So what is written stays
// within a few times what is put, however much is kept. It may take a while: call it after answering.
//
//	err := s.Tidy()
func (s *Store) Tidy() error {
	s.mu.RLock()
	base, fold := s.size > max(8<<20, s.whole), s.seq-s.fold >= foldAt
	s.mu.RUnlock()
	switch {
	case base:
		return s.Rebase()
	case fold:
		return s.Fold()
	}
	return nil
}

const foldAt = 512

// Rebase writes the state as a base in place of the newest version and drops what is older.
//
//	err := s.Rebase()
func (s *Store) Rebase() error { return s.Add(s.Whole()) }

// Fold writes the versions since the last fold or base as one, in place of the newest of them.
//
//	err := s.Fold()
func (s *Store) Fold() error {
	s.sync.Lock()
	defer s.sync.Unlock()
	s.mu.RLock()
	b := Batch{Seq: s.seq, From: s.fold + 1, Puts: s.loose}
	s.mu.RUnlock()
	if s.shut || b.From >= b.Seq {
		return nil
	}
	raw, err := b.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if err := s.disk.Write(name(b.Seq), Seal(raw)); err != nil {
		return err
	}
	s.mu.Lock()
	s.fold, s.loose = b.Seq, nil
	s.mu.Unlock()
	return drop(s.disk, func(n string) bool { return n >= name(b.From) && n < name(b.Seq) })
}
