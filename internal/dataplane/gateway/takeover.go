package gateway

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"yarrowridge/internal/dataplane/balance"
)

// errRunnerStalled is the cause with which a takeover cancels the present attempt.
var errRunnerStalled = errors.New("the runner has stalled")

// stallCheckInterval is the interval of stall checks while no event arrives.
const stallCheckInterval = 200 * time.Millisecond

// takeover resumes a stream at another runner when the runner of the present attempt stalls.
//
// Invariant: once the request has been sent, the present attempt is cancelled only after another runner has sent the next event.
// Until then the client gets the events of whichever runner sends them first. A stream whose request no other runner takes
// stays where it is, however long its runner is silent.
//
// Its timer and at most one try run concurrently with the request's goroutine, which calls the methods other than check and
// try. All methods of a nil takeover do nothing.
type takeover struct {
	request       *request
	present       *balance.Attempt
	cancelPresent context.CancelCauseFunc
	maxTries      int // requests that may be sent to other runners

	mu         sync.Mutex // guards the fields below
	timer      *time.Timer
	sent       bool                    // the present attempt's request has been sent
	forwarding bool                    // an event of the present attempt is being written to the client
	ended      bool                    // the present attempt has ended
	lastID     string                  // ID of the last event forwarded; before that, the client's Last-Event-ID
	canResume  bool                    // another run can continue the stream after the last event forwarded
	started    bool                    // an event has been forwarded, in this attempt or an earlier one
	granted    bool                    // a retry has been taken from the budget and not been used
	tryDone    chan struct{}           // closed when the try under way ends; nil: none is under way
	cancelTry  context.CancelCauseFunc // of the try under way
	revoked    bool                    // the try under way is no longer wanted
	successor  *successor              // ready to continue the stream; nil: none
	result     takeoverResult
}

// takeoverResult is what the tries of a takeover add to the request's attempts.
type takeoverResult struct {
	tried      map[int]bool // by Runner.Index
	sent       int          // requests of which a byte may have reached a runner
	mayHaveRun bool         // a runner may have run the request
}

// newTakeover starts to watch the present attempt of a stream. maxTries is how many requests may be sent to other runners.
func newTakeover(stream *streamResponse, present *balance.Attempt, cancelPresent context.CancelCauseFunc, maxTries int) *takeover {
	tried := map[int]bool{}
	maps.Copy(tried, stream.request.tried)
	tried[present.Runner().Index] = true
	t := &takeover{request: stream.request, present: present, cancelPresent: cancelPresent, maxTries: maxTries, lastID: stream.lastID,
		canResume: stream.canResume(), started: stream.started(), result: takeoverResult{tried: tried}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(stallCheckInterval, t.check)
	return t
}

// check runs on the timer. If the runner has stalled, it starts a try at another runner; a request that is still being sent is
// cancelled instead, because it has no response yet that could be lost.
func (t *takeover) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.ended || t.successor != nil:
		return
	case t.forwarding || t.tryDone != nil || !t.present.Runner().Stalled():
	case !t.sent:
		t.cancelPresent(errRunnerStalled)
		return
	case t.mayTry():
		t.startTry()
	}
	t.timer.Reset(stallCheckInterval)
}

// mayTry reports whether the request may be sent to another runner, and takes a retry from the budget if so. The caller holds
// t.mu.
func (t *takeover) mayTry() bool {
	r := t.request
	if t.result.sent >= t.maxTries || !t.canResume || r.remaining() <= 0 || !r.isStillAllowed() || !r.hasUntriedRunner(t.result.tried) {
		return false
	}
	t.granted = t.granted || r.gateway.retryBudget.Take(r.service.Name)
	return t.granted
}

// startTry starts a try. The caller holds t.mu.
func (t *takeover) startTry() {
	ctx, cancel := t.request.attemptContext()
	t.tryDone, t.cancelTry, t.revoked = make(chan struct{}), cancel, false
	opening := successorRequest{tried: maps.Clone(t.result.tried), lastID: t.lastID, urgency: t.request.urgency(t.started)}
	go t.try(ctx, opening)
}

// try sends the request to another runner. If that runner sends the next event before the present one does, it takes over.
func (t *takeover) try(ctx context.Context, opening successorRequest) {
	next, outcome := t.request.openSuccessor(ctx, opening)
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.endTry()
	if outcome.runner != nil {
		t.result.tried[outcome.runner.Index] = true
	}
	if outcome.sent {
		t.result.sent++
		t.granted = false
	}
	t.result.mayHaveRun = t.result.mayHaveRun || outcome.mayHaveRun
	if next == nil || t.revoked {
		next.abandon()
		t.cancelTry(nil)
		return
	}
	next.cancel = t.cancelTry
	t.successor = next
	t.cancelPresent(errRunnerStalled)
}

// endTry records that no try is under way. The caller holds t.mu.
func (t *takeover) endTry() {
	close(t.tryDone)
	t.tryDone = nil
}

// markSent records that the present attempt's request has been sent.
func (t *takeover) markSent() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = true
}

// beginEvent reports whether an event of the present attempt may be forwarded. It may not if another runner has taken over;
// otherwise a try under way is no longer wanted.
func (t *takeover) beginEvent() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successor != nil {
		return false
	}
	t.forwarding = true
	t.revoke()
	return true
}

// endEvent records that the event was forwarded, with the ID after which the stream can be resumed, if it can, and postpones the
// next check.
func (t *takeover) endEvent(lastID string, canResume bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwarding, t.started, t.lastID, t.canResume = false, true, lastID, canResume
	t.timer.Reset(stallCheckInterval)
}

// revoke cancels the try under way, if any. The caller holds t.mu.
func (t *takeover) revoke() {
	if t.tryDone != nil && !t.revoked {
		t.revoked = true
		t.cancelTry(nil)
	}
}

// end ends the takeover with the present attempt. If isLost, it waits for the try under way, and returns the successor if there
// is one; otherwise nobody needs a successor.
func (t *takeover) end(isLost bool) (*successor, takeoverResult) {
	t.mu.Lock()
	t.ended = true
	t.timer.Stop()
	if !isLost {
		t.revoke()
	}
	tryDone := t.tryDone
	t.mu.Unlock()
	if tryDone != nil {
		<-tryDone
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isLost {
		t.successor.abandon()
		t.successor = nil
	}
	return t.successor, t.result
}
