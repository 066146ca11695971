package coreclient

import (
	"context"
	"sync"
	"time"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/model/routing"

	"github.com/tinylib/msgp/msgp"
)

const (
	// cutOffAfter is how long no call has got through before a core counts as cut off from the primary: longer
	// than a primary's replacement takes.
	cutOffAfter = 2500 * time.Millisecond
	// cutOffTimeout is how long a call may take meanwhile.
	cutOffTimeout = 150 * time.Millisecond
)

// Forwarder passes the calls of operators and runners on to the primary. They wait while a primary is being replaced;
// but a core that is cut off from the majority tells them soon that it cannot serve, since they try another core then.
type Forwarder struct {
	client *Client
	view   func() view.View // as the core of this process has it

	mu          sync.Mutex
	lastThrough time.Time // when a call last got through to the primary, or when we began
}

// NewForwarder makes a forwarder to the primary that the client finds, or that the core of this process knows.
func NewForwarder(client *Client, known func() view.View) *Forwarder {
	return &Forwarder{client: client, view: known, lastThrough: time.Now()}
}

// Call is Client.Call.
func (f *Forwarder) Call(ctx context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, repeatable bool) error {
	return f.forward(ctx, func(ctx context.Context) error { return f.client.Call(ctx, kind, request, response, repeatable) })
}

// SendRunnerHeartbeat is Client.SendRunnerHeartbeat.
func (f *Forwarder) SendRunnerHeartbeat(ctx context.Context, runner routing.Runner) error {
	return f.forward(ctx, func(ctx context.Context) error { return f.client.SendRunnerHeartbeat(ctx, runner) })
}

func (f *Forwarder) forward(ctx context.Context, call func(context.Context) error) error {
	if f.isCutOff() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cutOffTimeout)
		defer cancel()
	}
	f.client.Learn(f.view())
	err := call(ctx)
	if err == nil || !isWorthRepeating(err, true) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lastThrough = time.Now()
	}
	return err
}

// isCutOff reports whether no call has got through for long.
func (f *Forwarder) isCutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastThrough) > cutOffAfter
}
