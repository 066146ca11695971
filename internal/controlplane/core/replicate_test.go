package core

import (
	"testing"
	"time"

	"yarrowridge/internal/controlplane/store"
)

// A small batch is on its way at once; a large one keeps whatever is asked after it waiting on a slow link.
func TestSendTime(t *testing.T) {
	for size, want := range map[int]time.Duration{0: 0, 1 << 19: 500 * time.Millisecond, 1 << 20: time.Second} {
		batch := store.Batch{Mutations: []store.Mutation{{Value: make([]byte, size/2)}, {Value: make([]byte, size/2)}}}
		if got := sendTime(batch); got != want {
			t.Errorf("%d bytes: %s, %s expected", size, got, want)
		}
	}
}
