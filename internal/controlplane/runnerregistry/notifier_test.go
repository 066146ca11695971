package runnerregistry

import (
	"testing"

	"yarrowridge/internal/transport/dissemination"
)

// Every change is pushed, and it is acknowledged only after its push has ended.
func TestNotifierBatchesChanges(t *testing.T) {
	pushes := make(chan int, 100)
	notifier := NewNotifier(func(records ...dissemination.Record) { pushes <- len(records) })
	var pushed []<-chan struct{}
	for range 50 {
		pushed = append(pushed, notifier.add(dissemination.Record{}))
	}
	for _, done := range pushed {
		<-done
	}
	sum := 0
	for len(pushes) > 0 {
		sum += <-pushes
	}
	if sum != 50 {
		t.Errorf("got %d records pushed, want 50", sum)
	}
}
