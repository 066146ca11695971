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
	// partitionedAfter is how long after its last call that reached the primary a core is considered partitioned. It is longer
	// than the replacement of a primary takes.
	partitionedAfter = 2500 * time.Millisecond
	// partitionedCallTimeout bounds a call while the core is considered partitioned.
	partitionedCallTimeout = 150 * time.Millisecond
)

// Forwarder forwards calls from operators and runners to the primary. Calls wait while a primary is being replaced, but a core
// that is partitioned from the majority fails them early, so that their callers can try another core. Its methods are safe for
// concurrent use.
type Forwarder struct {
	client    *Client
	localView func() view.View

	mu        sync.Mutex
	reachedAt time.Time // when a call last reached the primary; at first, when the forwarder was created
}

// NewForwarder returns a forwarder that calls the primary through client. localView returns the view of this process's core,
// from which the client learns the primary. It is called once for each call, concurrently.
func NewForwarder(client *Client, localView func() view.View) *Forwarder {
	return &Forwarder{client: client, localView: localView, reachedAt: time.Now()}
}

// Call is like Client.Call, with a shorter time-out while this core is partitioned.
func (f *Forwarder) Call(ctx context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, idempotent bool) error {
	return f.forward(ctx, func(ctx context.Context) error { return f.client.Call(ctx, kind, request, response, idempotent) })
}

// SendRunnerHeartbeat is like Client.SendRunnerHeartbeat, with a shorter time-out while this core is partitioned.
func (f *Forwarder) SendRunnerHeartbeat(ctx context.Context, runner routing.Runner) error {
	return f.forward(ctx, func(ctx context.Context) error { return f.client.SendRunnerHeartbeat(ctx, runner) })
}

// forward makes a call and records whether it reached the primary, which it did if it succeeded or was rejected permanently.
func (f *Forwarder) forward(ctx context.Context, call func(context.Context) error) error {
	if f.isPartitioned() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, partitionedCallTimeout)
		defer cancel()
	}
	f.client.Learn(f.localView())
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
