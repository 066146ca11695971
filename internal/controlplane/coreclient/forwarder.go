package coreclient

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/model/routing"
)

const (
	// partitionedAfter is how long after the last call that reached the primary a core counts as partitioned from it:
	// longer than a primary's replacement takes.
	partitionedAfter = 2500 * time.Millisecond
	// partitionedCallTimeout is how long a call may take while a core counts as partitioned.
	partitionedCallTimeout = 150 * time.Millisecond
)

// Forwarder forwards the calls of operators and runners to the primary. They wait while a primary is being replaced; but a
// core that is partitioned from the majority soon fails them, since their callers try another core then. Its methods may be
// called concurrently.
type Forwarder struct {
	client  *Client
	ownView func() view.View

	mu        sync.Mutex
	reachedAt time.Time // when a call last reached the primary, or the forwarder was made
}

// NewForwarder makes a forwarder to the primary that the client finds, or that the core of this process knows: ownView
// gives that core's view. It is called for each call, concurrently.
func NewForwarder(client *Client, ownView func() view.View) *Forwarder {
	return &Forwarder{client: client, ownView: ownView, reachedAt: time.Now()}
}

// Call is Client.Call with a shorter time while this core is partitioned.
func (f *Forwarder) Call(ctx context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, idempotent bool) error {
	return f.forward(ctx, func(ctx context.Context) error { return f.client.Call(ctx, kind, request, response, idempotent) })
}

// SendRunnerHeartbeat is Client.SendRunnerHeartbeat with a shorter time while this core is partitioned.
func (f *Forwarder) SendRunnerHeartbeat(ctx context.Context, runner routing.Runner) error {
	return f.forward(ctx, func(ctx context.Context) error { return f.client.SendRunnerHeartbeat(ctx, runner) })
}

// forward makes a call and records whether it reached the primary: it did where it succeeded or was rejected for good.
func (f *Forwarder) forward(ctx context.Context, call func(context.Context) error) error {
	if f.isPartitioned() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, partitionedCallTimeout)
		defer cancel()
	}
	f.client.Learn(f.ownView())
	err := call(ctx)
	if err == nil || !isRetryable(err, true) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reachedAt = time.Now()
	}
	return err
}

// isPartitioned reports whether no call has reached the primary for partitionedAfter.
func (f *Forwarder) isPartitioned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.reachedAt) > partitionedAfter
}
