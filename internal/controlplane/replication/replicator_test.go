package replication

import (
	"testing"
	"time"

	"yarrowridge/internal/controlplane/store"
)

// A small batch is sent at once; a large one keeps a ping behind it waiting on a slow link.
func TestSendTime(t *testing.T) {
	for size, want := range map[int]time.Duration{0: 0, 1 << 19: 500 * time.Millisecond, 1 << 20: time.Second} {
		batch := store.Batch{Mutations: []store.Mutation{{Value: make([]byte, size/2)}, {Value: make([]byte, size/2)}}}
		if got := sendTime(batch); got != want {
			t.Errorf("%d bytes: got %s, want %s", size, got, want)
		}
	}
}
