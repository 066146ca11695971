package core

import (
	"log/slog"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/leadership"
	"yarrowridge/internal/controlplane/store"
)

// newIdleServer makes a core with an empty store and no run loop, as far as tests of its state need one.
func newIdleServer(t *testing.T) (*Server, *store.Store) {
	t.Helper()
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	opened, err := store.Open(disk, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{leadership: leadership.New(time.Second, 1, 0)}
	s.store.Store(opened)
	return s, opened
}
