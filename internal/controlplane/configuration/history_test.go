package configuration

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/testing/sim"
)

// openStore returns an empty committed state.
func openStore(t *testing.T) *store.Store {
	t.Helper()
	opened, err := store.Open(sim.NewDisk().Open(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// writer commits one document after another to a store.
type writer struct {
	t         *testing.T
	committed *store.Store
	current   coreapi.StoredConfig
}

func newWriter(t *testing.T) *writer {
	t.Helper()
	return &writer{t: t, committed: openStore(t)}
}

func (w *writer) write(version uint64, size int, hasOwnVersion bool, id string) {
	w.t.Helper()
	tx := transaction.New(w.committed)
	next := coreapi.StoredConfig{Version: version, Raw: bytes.Repeat([]byte("x"), size)}
	if err := recordWrite(tx, w.current, next, hasOwnVersion, id, "hash"); err != nil {
		w.t.Fatal(err)
	}
	if err := w.committed.Append(store.Batch{Version: w.committed.Version() + 1, Mutations: tx.Mutations()}); err != nil {
		w.t.Fatal(err)
	}
	w.current = next
}

func (w *writer) count(prefix string) int {
	n := 0
	w.committed.ForEachWithPrefix(prefix, func(string, []byte) { n++ })
	return n
}

func (w *writer) has(key string) bool {
	_, ok := w.committed.Get(key)
	return ok
}

// For documents whose version the core assigns, the format on disk is as in earlier releases: sixteen copies and a thousand
// write IDs, keyed by version, and no history record.
func TestHistoryOfAssignedVersions(t *testing.T) {
	w := newWriter(t)
	for i := uint64(1); i <= 1100; i++ {
		w.write(i, 10, false, fmt.Sprint("w", i))
	}
	if n := w.count("past/"); n != maxVersions || !w.has(versionKey(1085)) || w.has(versionKey(1084)) {
		t.Errorf("got %d copies, want the newest %d", n, maxVersions)
	}
	if n, m := w.count("mark/"), w.count("marked/"); n != maxWriteIDs || m != maxWriteIDs || !w.has("mark/w101") || w.has("mark/w100") || !w.has("marked/101") {
		t.Errorf("got %d write IDs and %d write numbers, want the newest %d of each", n, m, maxWriteIDs)
	}
	if w.has(historyKey) {
		t.Error("got a history record, want none if the core assigns the versions")
	}
}

// The numbers of stored copies and write IDs do not depend on how many versions are skipped by documents that carry their own.
func TestHistoryWithSkippedVersionsIsBounded(t *testing.T) {
	w := newWriter(t)
	version := uint64(0)
	for i := range uint64(1100) {
		version += 1 + i*i%977*1000
		w.write(version, 10, true, fmt.Sprint("w", i))
	}
	if n := w.count("past/"); n != maxVersions || !w.has(versionKey(version)) {
		t.Errorf("got %d copies, want the newest %d", n, maxVersions)
	}
	if n, m := w.count("mark/"), w.count("marked/"); n != maxWriteIDs || m != maxWriteIDs || !w.has("mark/w100") || w.has("mark/w99") {
		t.Errorf("got %d write IDs and %d write numbers, want the newest %d of each", n, m, maxWriteIDs)
	}
}

// The limits hold when a fleet changes from versions assigned by the core to documents that carry their own, and back.
func TestHistoryWhenNumberingChanges(t *testing.T) {
	w := newWriter(t)
	for i := uint64(1); i <= 20; i++ {
		w.write(i, 10, false, fmt.Sprint("w", i))
	}
	for i := uint64(1); i <= 10; i++ {
		w.write(i*1000, 10, true, "")
	}
	if n := w.count("past/"); n != maxVersions || !w.has(versionKey(20)) || !w.has(versionKey(15)) || w.has(versionKey(14)) {
		t.Errorf("got %d copies, want the newest %d", n, maxVersions)
	}
	for i := uint64(1); i <= 30; i++ {
		w.write(10_000+i, 10, false, "")
	}
	if n := w.count("past/"); n != maxVersions || !w.has(versionKey(10_015)) || w.has(versionKey(10_014)) {
		t.Errorf("got %d copies after returning to assigned versions, want the newest %d", n, maxVersions)
	}
}

// Fewer copies are stored of large documents, and none of documents that don't fit into one frame together with their copy.
func TestHistoryOfLargeDocuments(t *testing.T) {
	w := newWriter(t)
	for i := uint64(1); i <= 10; i++ {
		w.write(i*7, 100, true, "")
	}
	w.write(1000, 150_000, true, "")
	if n := w.count("past/"); n != maxLargeVersions {
		t.Errorf("got %d copies of large documents, want %d", n, maxLargeVersions)
	}
	w.write(2000, 4<<20, true, "")
	if w.has(versionKey(2000)) || !w.has(versionKey(1000)) {
		t.Error("a copy of a very large document is stored, or an older copy is not")
	}
	w.write(3000, 100, true, "")
	if !w.has(versionKey(3000)) {
		t.Error("no copy of a small document is stored after a large one")
	}
}
