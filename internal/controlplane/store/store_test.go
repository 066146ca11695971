package store_test

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/testing/sim"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// The store agrees with a map through batches, snapshots, compactions, full disks, crashes during compactions and recoveries:
// it has all acknowledged mutations, and none of a rejected batch.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := sim.NewDisk()
		open := func() *store.Store {
			handle := disk.Open()
			if err := store.RemoveIncompleteWrites(handle, discardLog); err != nil {
				t.Fatal(err)
			}
			s, err := store.Open(handle, discardLog)
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		s := open()
		model, version := map[string]string{}, uint64(0)
		keys := []string{"a", "b", "c/1", "c/2"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				batch := store.Batch{Version: version + 1}
				next := maps.Clone(model)
				for range rapid.IntRange(1, 3).Draw(t, "puts") {
					k, v := rapid.SampledFrom(keys).Draw(t, "key"), rapid.StringN(0, 8, 8).Draw(t, "val")
					if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
						batch.Mutations = append(batch.Mutations, store.Mutation{Key: k, Deleted: true})
						delete(next, k)
					} else {
						batch.Mutations = append(batch.Mutations, store.Mutation{Key: k, Value: []byte(v)})
						next[k] = v
					}
				}
				if err := s.Append(batch); err != nil {
					t.Fatal(err)
				}
				model, version = next, version+1
			case 3:
				if rapid.Bool().Draw(t, "foreign") { // a snapshot of another process's state replaces the whole state
					version++
					model = map[string]string{"c/1": "copied"}
					if err := s.Append(store.Batch{Version: version, IsSnapshot: true, Mutations: []store.Mutation{{Key: "c/1", Value: []byte("copied")}}}); err != nil {
						t.Fatal(err)
					}
				} else if rapid.Bool().Draw(t, "base") {
					if err := s.WriteSnapshot(); err != nil {
						t.Fatal(err)
					}
				} else if err := s.Compact(); err != nil {
					t.Fatal(err)
				}
			case 4:
				disk.SetFull(true)
				if s.Append(store.Batch{Version: version + 1, Mutations: []store.Mutation{{Key: "a", Value: []byte("lost")}}}) == nil {
					t.Fatal("Append on a full disk: got no error, want one")
				}
				disk.SetFull(false)
				s = open() // the core also reopens the store after a failed write
			case 5:
				if !errors.Is(s.Append(store.Batch{Version: version + 2}), store.ErrGap) {
					t.Fatal("Append of a version after a gap: want ErrGap")
				}
			case 6:
				s = open()
			case 7: // the process crashes after the new file is written and before the old ones are removed
				disk.FailRemovals(true)
				replace := s.Compact
				if rapid.Bool().Draw(t, "snapshot") {
					replace = s.WriteSnapshot
				}
				if err := replace(); err != nil && !errors.Is(err, sim.ErrCrashed) {
					t.Fatal(err)
				}
				disk.FailRemovals(false)
				s = open()
			}
			if s.Version() != version {
				t.Fatalf("got version %d, want %d", s.Version(), version)
			}
			got := map[string]string{}
			s.ForEachWithPrefix("", func(k string, v []byte) { got[k] = string(v) })
			if !maps.Equal(got, model) {
				t.Fatalf("got %v, want %v", got, model)
			}
		}
	})
}

// Open detects a damaged version, and a missing one unless it is the newest.
func TestDamageIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := sim.NewDisk()
		s, err := store.Open(disk.Open(), discardLog)
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.IntRange(2, 8).Draw(t, "batches")
		for i := range n {
			if err := s.Append(store.Batch{Version: uint64(i + 1), Mutations: []store.Mutation{{Key: "k", Value: []byte{byte(i)}}}}); err != nil {
				t.Fatal(err)
			}
		}
		names := disk.Names()
		index := rapid.IntRange(0, len(names)-1).Draw(t, "which")
		handle := disk.Open()
		if rapid.Bool().Draw(t, "spoil") {
			disk.FlipBit(names[index], rapid.IntRange(0, 200).Draw(t, "at"))
		} else if index < len(names)-1 { // a missing newest version looks like one that was never written
			if err := handle.Remove(names[index]); err != nil {
				t.Fatal(err)
			}
		} else {
			return
		}
		if _, err := store.Open(handle, discardLog); !errors.Is(err, store.ErrCorrupt) {
			t.Fatalf("version %s damaged or missing: got error %v, want ErrCorrupt", names[index], err)
		}
	})
}

// A store in a folder of the real file system recovers its state, and the folder can be locked only once.
func TestFolder(t *testing.T) {
	d, err := store.OpenFolder(t.TempDir() + "/data")
	if err != nil {
		t.Fatal(err)
	}
	lock, err := store.Lock(d.Path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := lock.Close(); err != nil {
			t.Error(err)
		}
	})
	if _, err := store.Lock(d.Path); err == nil {
		t.Error("second Lock of a folder: got no error, want one")
	}
	s, err := store.Open(d, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if err := s.Append(store.Batch{Version: uint64(i + 1), Mutations: []store.Mutation{{Key: "k", Value: []byte{byte(i)}}}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WriteSnapshot(); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(store.Batch{Version: 4, Mutations: []store.Mutation{{Key: "j"}}}); err != nil {
		t.Fatal(err)
	}
	reopened, err := store.Open(d, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := reopened.Get("k"); reopened.Version() != 4 || !ok || v[0] != 2 {
		t.Errorf("got version %d with k = %v, want version 4 with k = [2]", reopened.Version(), v)
	}
}

// Limits the cost of storing an hour of claims: the bytes written for each byte of the mutations, and the number of files.
func TestWriteAmplification(t *testing.T) {
	disk := sim.NewDisk()
	s, err := store.Open(disk.Open(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	val := make([]byte, 200)
	put, files := 0, 0
	for i := range 60000 {
		change := store.Mutation{Key: fmt.Sprintf("claim/tenant/%d", i), Value: val}
		put += len(change.Key) + len(change.Value)
		if err := s.Append(store.Batch{Version: uint64(i + 1), Mutations: []store.Mutation{change}}); err != nil {
			t.Fatal(err)
		}
		if err := s.CompactIfNeeded(); err != nil {
			t.Fatal(err)
		}
		if i%1000 == 999 {
			files = max(files, len(disk.Names()))
		}
	}
	cost := float64(disk.Bytes) / float64(put)
	t.Logf("60,000 claims: %.1f bytes written for each byte of the mutations, at most %d files", cost, files)
	if cost > 5 || files > 2000 {
		t.Errorf("got %.1f bytes written for each byte of the mutations and %d files, want at most 5 and 2000", cost, files)
	}
	reopened, err := store.Open(disk.Open(), discardLog)
	if err != nil || reopened.Version() != 60000 {
		t.Fatalf("reopened: got error %v, want none and version 60000", err)
	}
	n := 0
	reopened.ForEachWithPrefix("claim/", func(string, []byte) { n++ })
	if n != 60000 {
		t.Errorf("got %d claims, want 60000", n)
	}
}

// Compaction limits the number of files, however many versions are written, because recovery takes time for each of them.
func TestCompactionKeepsFilesFew(t *testing.T) {
	disk := sim.NewDisk()
	handle := disk.Open()
	s, err := store.Open(handle, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	maxFiles := 0
	for version := uint64(1); version <= 6000; version++ {
		put := store.Mutation{Key: fmt.Sprintf("k%d", version%50), Value: []byte(fmt.Sprint(version))}
		if err := s.Append(store.Batch{Version: version, Mutations: []store.Mutation{put}}); err != nil {
			t.Fatal(err)
		}
		if err := s.CompactIfNeeded(); err != nil {
			t.Fatal(err)
		}
		names, err := handle.List()
		if err != nil {
			t.Fatal(err)
		}
		maxFiles = max(maxFiles, len(names))
	}
	if maxFiles > 200 {
		t.Errorf("got %d files, want at most 200", maxFiles)
	}
	reopened, err := store.Open(disk.Open(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if raw, _ := reopened.Get("k0"); reopened.Version() != 6000 || string(raw) != "6000" {
		t.Errorf("got version %d with k0 = %q after recovery, want version 6000 with 6000", reopened.Version(), raw)
	}
}
