package coreclient

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

// Time-outs for a primary that does not respond.
const (
	// hedgeDelay is how long a call is in progress before the client concurrently searches for another primary. It is much
	// shorter than the deadline of a typical caller, so that a call does not spend all of its time on a machine that is gone.
	hedgeDelay = 300 * time.Millisecond
	// maxAttemptTimeout bounds one attempt of an idempotent call, so that a primary that hangs does not use up all of the time
	// of a call with a longer deadline.
	maxAttemptTimeout = 1500 * time.Millisecond
)

// Call calls the primary. It searches for the primary and retries until the call succeeds, is rejected or ctx ends. idempotent
// means that the call may be repeated while its outcome is unknown, since the request carries its own sequence number, ID or
// version.
//
// The error has one of the three outcomes in the package comment. If attempts ended differently, it is the worst of them: the
// outcome is unknown if that of any attempt is.
func (c *Client) Call(ctx context.Context, kind string, request msgp.Marshaler, response msgp.Unmarshaler, idempotent bool) error {
	var last error
	for {
		v := c.View()
		if primary := v.Addr(v.Primary); primary != "" {
			err := c.callPrimary(ctx, primary, kind, request, response, idempotent)
			if err == nil {
				c.recordSuccess()
				return nil
			}
			if !isRetryable(err, idempotent) {
				return err
			}
			last = worstError(last, err)
			if wire.HasCode(err, coreapi.CodeOverloaded) {
				if !runloop.Sleep(ctx, c.backoff.afterOverload()) {
					break
				}
				continue // no search is needed, since the primary responded
			}
		}
		if next := c.View(); ctx.Err() == nil && next.Addr(next.Primary) != v.Addr(v.Primary) {
			continue // another primary was found in the meantime
		}
		if ctx.Err() != nil || !c.waitToRetry(ctx) {
			break
		}
	}
	if last == nil {
		last = eris.Wrapf(wire.ErrUnsent, "%s: no primary found", kind)
	}
	return last
}

// worstError returns the error to report to the caller: the first one that leaves the outcome unknown, or else the newest.
func worstError(last, newest error) error {
	if last != nil && coreapi.IsOutcomeUnknown(last) {
		return last
	}
	return newest
}

// isRetryable reports whether a call that returned err may be repeated and could then end differently.
func isRetryable(err error, idempotent bool) bool {
	if wire.HasCode(err, coreapi.CodeOverloaded) || wire.HasCode(err, coreapi.CodeNotPrimary) || wire.HasCode(err, coreapi.CodeNotReady) || errors.Is(err, wire.ErrUnsent) {
		return true
	}
	return coreapi.IsOutcomeUnknown(err) && idempotent
}

// callPrimary makes one attempt to call the known primary. After hedgeDelay it concurrently searches for another primary. An
// attempt of an idempotent call is cancelled once another primary is found.
func (c *Client) callPrimary(ctx context.Context, primary, kind string, request msgp.Marshaler, response msgp.Unmarshaler, idempotent bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if idempotent {
		var cancelTimeout context.CancelFunc
		ctx, cancelTimeout = context.WithTimeout(ctx, maxAttemptTimeout)
		defer cancelTimeout()
	}
	hedgedSearch := time.AfterFunc(hedgeDelay, func() {
		if next := c.searchView(ctx); idempotent && next.Addr(next.Primary) != primary {
			cancel()
		}
	})
	defer hedgedSearch.Stop()
	return c.caller.Call(ctx, primary, kind, request, response)
}
