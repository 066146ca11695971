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

// openStore makes an empty committed state.
func openStore(t *testing.T) *store.Store {
	t.Helper()
	opened, err := store.Open(sim.NewDisk().Use(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// writer writes documents one by one into a store, as committed writes.
type writer struct {
	t         *testing.T
	committed *store.Store
	inForce   coreapi.StoredConfig
}

func newWriter(t *testing.T) *writer {
	t.Helper()
	return &writer{t: t, committed: openStore(t)}
}

func (w *writer) write(version uint64, size int, numbered bool, id string) {
	w.t.Helper()
	tx := transaction.New(w.committed)
	next := coreapi.StoredConfig{Version: version, Raw: bytes.Repeat([]byte("x"), size)}
	if err := recordWrite(tx, w.inForce, next, numbered, id, "hash"); err != nil {
		w.t.Fatal(err)
	}
	if err := w.committed.Append(store.Batch{Version: w.committed.Version() + 1, Mutations: tx.Mutations()}); err != nil {
		w.t.Fatal(err)
	}
	w.inForce = next
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

// Documents that the core numbers leave on disk what they always left: sixteen copies and a thousand write IDs, keyed by
// version, and no count beside them.
func TestHistoryOfCountedVersions(t *testing.T) {
	w := newWriter(t)
	for i := uint64(1); i <= 1100; i++ {
		w.write(i, 10, false, fmt.Sprint("w", i))
	}
	if n := w.count("past/"); n != maxVersions || !w.has(versionKey(1085)) || w.has(versionKey(1084)) {
		t.Errorf("got %d copies, want the newest %d", n, maxVersions)
	}
	if n, m := w.count("mark/"), w.count("marked/"); n != maxWriteIDs || m != maxWriteIDs || !w.has("mark/w101") || w.has("mark/w100") || !w.has("marked/101") {
		t.Errorf("got %d write IDs and %d counts, want the newest %d of each", n, m, maxWriteIDs)
	}
	if w.has(historyKey) {
		t.Error("got a history record, want none where the core numbers the documents")
	}
}

// However uneven the versions are that documents give themselves, as many copies and write IDs are kept.
func TestHistoryOfUnevenVersionsIsBounded(t *testing.T) {
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
		t.Errorf("got %d write IDs and %d counts, want the newest %d of each", n, m, maxWriteIDs)
	}
}

// A fleet that counted before goes over to documents that number themselves, and back.
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
		t.Errorf("got %d copies after counting again, want the newest %d", n, maxVersions)
	}
}

// Few copies are kept of large documents, and none of those that would not fit one frame twice.
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
		t.Error("a copy of a very large document is kept, or an older one is not")
	}
	w.write(3000, 100, true, "")
	if !w.has(versionKey(3000)) {
		t.Error("no copy of a small document after a large one")
	}
}
