package replication

import (
	"testing"
	"time"

	"yarrowridge/internal/controlplane/store"
)

// The time to send a batch over a slow link, during which a ping is queued behind it, is proportional to its size.
func TestSendTime(t *testing.T) {
	for size, want := range map[int]time.Duration{0: 0, 1 << 19: 500 * time.Millisecond, 1 << 20: time.Second} {
		batch := store.Batch{Mutations: []store.Mutation{{Value: make([]byte, size/2)}, {Value: make([]byte, size/2)}}}
		if got := sendTime(batch); got != want {
			t.Errorf("sendTime of %d bytes: got %s, want %s", size, got, want)
		}
	}
}
