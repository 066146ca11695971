package coreclient

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/wire"
)

// rejectUntil returns a handler that counts calls and rejects them with a code until the given time.
func rejectUntil(code wire.Code, until time.Time, calls *atomic.Int64) wire.Handler {
	return func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
		calls.Add(1)
		if time.Now().Before(until) {
			return nil, wire.StatusError{Code: code}
		}
		return succeed(ctx, kind, body)
	}
}

// A call that an overloaded primary rejects is retried with growing delays, and without a search for another primary.
func TestOverloadBackoffGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const overload = 20 * time.Second
		var queries, calls atomic.Int64
		client := newTestClient(t, pipeNetwork{"old": coreHandler(viewLedBy("old", 1), &queries, rejectUntil(coreapi.CodeOverloaded, time.Now().Add(overload), &calls))}, "old")
		client.Learn(viewLedBy("old", 1))
		start := time.Now()
		if err := call(client, time.Minute, false); err != nil {
			t.Fatal(err)
		}
		if took, most := time.Since(start), overload+2*maxOverloadBackoff; took > most {
			t.Errorf("got a response after %s, want it after at most %s", took, most)
		}
		if got := calls.Load(); got < 10 || got > 40 {
			t.Errorf("got %d calls in %s, want 10 to 40", got, overload)
		}
		if got := queries.Load(); got > 1 {
			t.Errorf("got %d queries for another primary, want at most 1", got)
		}
		calls.Store(0)
		if err := call(client, time.Second, false); err != nil || calls.Load() != 1 {
			t.Errorf("got error %v after %d calls once the overload has ended, want no error after 1 call", err, calls.Load())
		}
	})
}

// While a primary is not ready, its clients call it with growing delays, which extend the outage by about a tenth.
func TestOutageBackoffGrows(t *testing.T) {
	for outage, most := range map[time.Duration]int64{500 * time.Millisecond: 11, 2 * time.Second: 45, 10 * time.Second: 80} {
		synctest.Test(t, func(t *testing.T) {
			var queries, calls atomic.Int64
			client := newTestClient(t, pipeNetwork{"old": coreHandler(viewLedBy("old", 1), &queries, rejectUntil(coreapi.CodeNotReady, time.Now().Add(outage), &calls))}, "old")
			client.Learn(viewLedBy("old", 1))
			start := time.Now()
			if err := call(client, time.Minute, true); err != nil {
				t.Fatal(err)
			}
			if took, most := time.Since(start), outage+2*minBackoff+outage*3/2/outageDivisor; took > most {
				t.Errorf("outage of %s: got a response after %s, want it after at most %s", outage, took, most)
			}
			if got := calls.Load(); got > most {
				t.Errorf("outage of %s: got %d calls, want at most %d", outage, got, most)
			}
		})
	}
}

// Guards against calls that are made twice in an outage: the end of a search that a call has joined does not cut its backoff short.
func TestJoinedSearchDoesNotCutTheBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const headStart = minBackoff - time.Millisecond // of the search, which ends a millisecond after it is joined
		var queries, calls atomic.Int64
		client := newTestClient(t, pipeNetwork{"old": coreHandler(viewLedBy("old", 1), &queries, rejectUntil(coreapi.CodeNotReady, time.Now().Add(time.Hour), &calls))}, "old")
		client.Learn(viewLedBy("old", 1))
		client.joinSearch()
		time.Sleep(headStart)
		if err := call(client, minBackoff-time.Millisecond, true); err == nil {
			t.Error("got a response of a primary that is not ready, want an error")
		}
		if got := calls.Load(); got != 1 {
			t.Errorf("got %d calls within the backoff, want 1", got)
		}
	})
}

// Calls that fail at different times within a backoff are retried together, so that they share a connection attempt.
func TestWaitingCallsAreRetriedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queries atomic.Int64
		retries := map[time.Duration]int{} // by the time since the start; handlers of one connection run one at a time here
		start := time.Now()
		var mu sync.Mutex
		reject := func(context.Context, string, []byte) (msgp.Marshaler, error) {
			mu.Lock()
			defer mu.Unlock()
			retries[time.Since(start)]++
			return nil, wire.StatusError{Code: coreapi.CodeNotReady}
		}
		client := newTestClient(t, pipeNetwork{"old": coreHandler(viewLedBy("old", 1), &queries, reject)}, "old")
		client.Learn(viewLedBy("old", 1))
		var waiting sync.WaitGroup
		const count = 10
		for i := range count {
			waiting.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_ = call(client, minBackoff+minBackoff/2, true) // it fails in any case
			})
		}
		waiting.Wait()
		mu.Lock()
		defer mu.Unlock()
		if got := retries[minBackoff]; got != count {
			t.Errorf("got %d of %d calls retried after the first one's backoff (all calls, by time: %v)", got, count, retries)
		}
	})
}

// A new primary is called immediately, regardless of the duration of the outage before.
func TestNewPrimaryResetsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 20 * time.Second
		var queries, calls, newCalls atomic.Int64
		client := newTestClient(t, pipeNetwork{
			"old": coreHandler(view.View{}, &queries, rejectUntil(coreapi.CodeNotReady, time.Now().Add(time.Hour), &calls)),
			"new": coreHandler(view.View{}, &queries, rejectUntil(coreapi.CodeNotReady, time.Now().Add(outage+200*time.Millisecond), &newCalls)),
		}, "old")
		client.Learn(viewLedBy("old", 1))
		time.AfterFunc(outage, func() { client.Learn(viewLedBy("new", 2)) })
		start := time.Now()
		if err := call(client, time.Minute, true); err != nil {
			t.Fatal(err)
		}
		if took, most := time.Since(start), outage+500*time.Millisecond; took > most {
			t.Errorf("got a response after %s, want it after at most %s", took, most)
		}
	})
}
