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

// How long a primary that does not respond is waited for.
const (
	// primaryTimeout is when the fleet is asked, beside the call, whether there is another primary: long before the usual
	// caller's deadline, so that not each call in turn spends all its time on a machine that has gone.
	primaryTimeout = 300 * time.Millisecond
	// maxAttemptTimeout bounds one attempt at an idempotent call: a frozen primary must not use up the whole time of a
	// longer one.
	maxAttemptTimeout = 1500 * time.Millisecond
)

// Call calls the primary, and searches for it and retries until the call succeeds, is rejected or ctx ends. idempotent says
// that the call may be made again while its outcome is unknown: it names its own turn, ID or version.
//
// The error is one of the package comment's three. Where attempts ended differently it is the worst of them: outcome
// unknown as soon as one attempt's was.
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
				continue // no search: the primary is there
			}
		}
		if next := c.View(); ctx.Err() == nil && next.Addr(next.Primary) != v.Addr(v.Primary) {
			continue // another primary was found meanwhile
		}
		if ctx.Err() != nil || !c.waitForSearch(ctx) {
			break
		}
	}
	if last == nil {
		last = eris.Wrapf(wire.ErrUnsent, "%s: no primary found", kind)
	}
	return last
}

// worstError gives the error that the caller must know of: the first that leaves the outcome unknown, or else the newest.
func worstError(last, newest error) error {
	if last != nil && coreapi.IsOutcomeUnknown(last) {
		return last
	}
	return newest
}

// isRetryable reports whether a call that ended in err may be made again and may end otherwise.
func isRetryable(err error, idempotent bool) bool {
	if wire.HasCode(err, coreapi.CodeOverloaded) || wire.HasCode(err, coreapi.CodeNotPrimary) || wire.HasCode(err, coreapi.CodeNotReady) || errors.Is(err, wire.ErrUnsent) {
		return true
	}
	return coreapi.IsOutcomeUnknown(err) && idempotent
}

// callPrimary makes one attempt at the primary that is known. After primaryTimeout it searches for another one beside the
// attempt; an idempotent call is given up once there is one.
func (c *Client) callPrimary(ctx context.Context, primary, kind string, request msgp.Marshaler, response msgp.Unmarshaler, idempotent bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if idempotent {
		var cancelTimeout context.CancelFunc
		ctx, cancelTimeout = context.WithTimeout(ctx, maxAttemptTimeout)
		defer cancelTimeout()
	}
	hedgedSearch := time.AfterFunc(primaryTimeout, func() {
		if next := c.searchView(ctx); idempotent && next.Addr(next.Primary) != primary {
			cancel()
		}
	})
	defer hedgedSearch.Stop()
	return c.caller.Call(ctx, primary, kind, request, response)
}
