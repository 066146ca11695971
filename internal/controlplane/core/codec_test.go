package core

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/testing/sim"
)

// records puts documents one by one into a store, as committed writes.
type records struct {
	t   *testing.T
	st  *store.Store
	cur coreapi.StoredConfig
}

func newRecords(t *testing.T) *records {
	opened, err := store.Open(sim.NewDisk().Use(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return &records{t: t, st: opened}
}

func (r *records) put(version uint64, size int, numbered bool, id string) {
	tx := transaction.New(r.st)
	next := coreapi.StoredConfig{Version: version, Raw: bytes.Repeat([]byte("x"), size)}
	if err := recordWrite(tx, r.cur, next, numbered, id, "hash"); err != nil {
		r.t.Fatal(err)
	}
	if err := r.st.Append(store.Batch{Version: r.st.Version() + 1, Mutations: tx.Mutations()}); err != nil {
		r.t.Fatal(err)
	}
	r.cur = next
}

func (r *records) count(head string) int {
	n := 0
	r.st.ForEachWithPrefix(head, func(string, []byte) { n++ })
	return n
}

func (r *records) has(key string) bool {
	_, ok := r.st.Get(key)
	return ok
}

// Layouts leave on disk what they always left: sixteen copies and a thousand ids, keyed by sequence, and
// no count beside them.
func TestLayoutsAreKeptAsBefore(t *testing.T) {
	r := newRecords(t)
	for i := uint64(1); i <= 1100; i++ {
		r.put(i, 10, false, fmt.Sprint("w", i))
	}
	if n := r.count("past/"); n != maxVersions || !r.has(versionKey(1085)) || r.has(versionKey(1084)) {
		t.Errorf("%d copies", n)
	}
	if n, m := r.count("mark/"), r.count("marked/"); n != maxWriteIDs || m != maxWriteIDs || !r.has("mark/w101") || r.has("mark/w100") || !r.has("marked/101") {
		t.Errorf("%d ids, %d counts", n, m)
	}
	if r.has(historyKey) {
		t.Error("writes of layouts are counted on disk")
	}
}

// However uneven sequences are, as many copies and ids are kept.
func TestUnevenSequencesAreBounded(t *testing.T) {
	r := newRecords(t)
	version := uint64(0)
	for i := range uint64(1100) {
		version += 1 + i*i%977*1000
		r.put(version, 10, true, fmt.Sprint("w", i))
	}
	if n := r.count("past/"); n != maxVersions || !r.has(versionKey(version)) {
		t.Errorf("%d copies", n)
	}
	if n, m := r.count("mark/"), r.count("marked/"); n != maxWriteIDs || m != maxWriteIDs || !r.has("mark/w100") || r.has("mark/w99") {
		t.Errorf("%d ids, %d counts", n, m)
	}
}

// A fleet that counted before takes up documents that number themselves, and the other way.
func TestNumberingBeginsLater(t *testing.T) {
	r := newRecords(t)
	for i := uint64(1); i <= 20; i++ {
		r.put(i, 10, false, fmt.Sprint("w", i))
	}
	for i := uint64(1); i <= 10; i++ {
		r.put(i*1000, 10, true, "")
	}
	if n := r.count("past/"); n != maxVersions || !r.has(versionKey(20)) || !r.has(versionKey(15)) || r.has(versionKey(14)) {
		t.Errorf("%d copies", n)
	}
	for i := uint64(1); i <= 30; i++ {
		r.put(10_000+i, 10, false, "")
	}
	if n := r.count("past/"); n != maxVersions || !r.has(versionKey(10_015)) || r.has(versionKey(10_014)) {
		t.Errorf("%d copies after counting again", n)
	}
}

// Few copies are kept of large documents, and none of those that would not fit one frame twice.
func TestFewCopiesOfLargeDocuments(t *testing.T) {
	r := newRecords(t)
	for i := uint64(1); i <= 10; i++ {
		r.put(i*7, 100, true, "")
	}
	r.put(1000, 150_000, true, "")
	if n := r.count("past/"); n != maxLargeVersions {
		t.Errorf("%d copies of large documents", n)
	}
	r.put(2000, 4<<20, true, "")
	if r.has(versionKey(2000)) || !r.has(versionKey(1000)) {
		t.Error("a copy of a very large document is kept, or an older one is not")
	}
	r.put(3000, 100, true, "")
	if !r.has(versionKey(3000)) {
		t.Error("no copy of a small document after a large one")
	}
}

// A layout tells the core what it read from it before.
func TestLayoutCodec(t *testing.T) {
	codec := Settings{}.WithDefaults().Codec
	document, configErrors := codec.Check([]byte(`{"tenants":{"a":{"quota":{"units":7,"window_s":3}},"b":{}},"limits":{"claim_keep_s":60}}`))
	if len(configErrors) > 0 {
		t.Fatalf("flaws %v", configErrors)
	}
	if document.Version != 0 || document.Quotas["a"] != 7 || document.Windows["a"].Seconds() != 3 || document.Claims.Keep.Seconds() != 60 || document.Claims.MaxFinished != defaultMaxFinishedKeys {
		t.Errorf("read %+v", document)
	}
	if _, configErrors := codec.Check([]byte(`{"lanes":7}`)); len(configErrors) == 0 || !strings.Contains(configErrors[0].Path, "lanes") {
		t.Errorf("flaws %v", configErrors)
	}
	if got := (ClaimLimits{}).withDefaults(); got.Keep.Hours() != 1 || got.FinishedKeep.Hours() != 48 || got.MaxFinished != defaultMaxFinishedKeys {
		t.Errorf("defaults %+v", got)
	}
}

// wary fails the test where the core shows it nothing.
type wary struct {
	fleetConfigCodec
	t *testing.T
}

func (w wary) Check(raw []byte) (Document, []coreapi.ConfigError) {
	if len(raw) == 0 {
		w.t.Error("the codec was shown an empty document")
	}
	return Document{}, nil
}

// Before the first configuration there is none to read.
func TestNothingToReadBeforeTheFirst(t *testing.T) {
	s := &Server{settings: Settings{Codec: wary{t: t}}.WithDefaults()}
	if document := s.parsedConfig(coreapi.StoredConfig{}); document != nil {
		t.Errorf("read %+v from nothing", document)
	}
	if got := s.maxFinishedKeys(); got != defaultMaxFinishedKeys {
		t.Errorf("%d keys that ran are kept", got)
	}
	if document := s.parsedConfig(coreapi.StoredConfig{Version: 1, Raw: []byte("x")}); document == nil || document.Claims.Keep == 0 {
		t.Errorf("read %+v from a document", document)
	}
}
