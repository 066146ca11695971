package pipeline

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// A crowd of one class delays an urgent operation by a batch, and does not fill its queue.
func TestCrowdOfOneClassLeavesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		for range classCapacity + 10 {
			p.SubmitLater(ClassQuota, put("quota", nil))
		}
		p.SubmitLater(ClassConfig, put("config", nil))
		p.SubmitLater(ClassRunner, put("runner", nil))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx, 0, nil)
		synctest.Wait()
		first := committer.batches[0]
		if first[0].Key != "config" || first[1].Key != "runner" || len(first) != 2+maxClassWeight {
			t.Errorf("got a first batch of %d that begins with %s and %s, want %d, config and runner", len(first), first[0].Key, first[1].Key, 2+maxClassWeight)
		}
		if got, want := len(committer.batches), classCapacity/maxClassWeight; got != want {
			t.Errorf("got %d batches, want %d: what has no room is rejected", got, want)
		}
	})
}

// Within a class the order is kept: what ends a holder of quota units must not overtake its last transfer.
func TestOrderWithinAClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		for _, key := range []string{"a", "b", "c"} {
			p.SubmitLater(ClassQuota, put(key, nil))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx, 0, nil)
		synctest.Wait()
		if batch := committer.batches[0]; batch[0].Key != "a" || batch[1].Key != "b" || batch[2].Key != "c" {
			t.Errorf("got batch %v, want a, b, c", batch)
		}
	})
}

// A step of the run loop's own waits for one batch, however many operations wait.
func TestStepWaitsForOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		for range 2 * maxClassWeight {
			p.SubmitLater(ClassQuota, put("quota", nil))
		}
		batches := -1
		p.StepLater(func() { batches = len(committer.batches) })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx, 0, nil)
		synctest.Wait()
		if batches != 1 {
			t.Errorf("got the step after %d batches, want 1", batches)
		}
	})
}

// Heavy operations count for as many as they are worth: a batch stays short.
func TestBatchIsBoundedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		const heavy = maxClassWeight / 4
		for range 8 {
			go func() { _ = p.Submit(t.Context(), ClassQuota, heavy, put("quota", nil)) }()
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx, 0, nil)
		synctest.Wait()
		if len(committer.batches) != 2 || len(committer.batches[0]) != 4 {
			t.Errorf("got %d batches, the first of %d, want 2 of 4", len(committer.batches), len(committer.batches[0]))
		}
	})
}

// While batches take long, an operation that would wait for more of them than its class allows is rejected at once, surely
// not carried out; once the queue is short again, operations are taken.
func TestOperationThatWouldWaitTooLongIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPipeline(t)
		const batchTime = 200 * time.Millisecond
		slow := func(*transaction.Tx) error {
			time.Sleep(batchTime)
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx, 0, nil)
		for range 10 {
			if err := p.Submit(t.Context(), ClassQuota, 1, slow); err != nil {
				t.Fatal(err)
			}
		}
		for range 10 {
			go func() { _ = p.Submit(t.Context(), ClassQuota, maxClassWeight, slow) }()
			synctest.Wait()
		}
		start := time.Now()
		err := p.Submit(t.Context(), ClassQuota, maxClassWeight, slow)
		if !wire.HasCode(err, coreapi.CodeOverloaded) || time.Since(start) > 0 {
			t.Errorf("got error %v after %s, want code %v at once", err, time.Since(start), coreapi.CodeOverloaded)
		}
		if err := p.Submit(t.Context(), ClassConfig, 1, put("config", nil)); err != nil || time.Since(start) > 2*batchTime {
			t.Errorf("got error %v after %s of an urgent operation, want none within two batches", err, time.Since(start))
		}
		time.Sleep(10 * batchTime)
		if err := p.Submit(t.Context(), ClassQuota, 1, put("quota", nil)); err != nil {
			t.Errorf("got error %v once the queue is empty, want none", err)
		}
	})
}

// Operations that their callers have abandoned make room for others.
func TestAbandonedOperationsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		for range classCapacity {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_ = p.Submit(ctx, ClassQuota, 1, put("abandoned", nil))
			}()
		}
		synctest.Wait()
		if err := p.Submit(t.Context(), ClassQuota, 1, put("rejected", nil)); !wire.HasCode(err, coreapi.CodeOverloaded) {
			t.Errorf("got error %v while the queue is full, want code %v", err, coreapi.CodeOverloaded)
		}
		time.Sleep(2 * time.Second)
		p.SubmitLater(ClassQuota, put("taken", nil))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx, 0, nil)
		synctest.Wait()
		if len(committer.batches) != 1 || len(committer.batches[0]) != 1 || committer.batches[0][0].Key != "taken" {
			t.Errorf("got batches %v, want one of what was taken", committer.batches)
		}
	})
}

// A batch that waits for other backups says little of those to come.
func TestBatchTimeIsBounded(t *testing.T) {
	var estimate batchTime
	if got := estimate.of(10); got != 0 {
		t.Errorf("got %s before any batch, want 0", got)
	}
	estimate.record(10 * time.Millisecond)
	estimate.record(3 * time.Second)
	if got, most := estimate.of(1), 60*time.Millisecond; got < 10*time.Millisecond || got > most {
		t.Errorf("got %s after one long batch, want 10ms to %s", got, most)
	}
	for range 50 {
		estimate.record(10 * time.Millisecond)
	}
	if got := estimate.of(3); got < 29*time.Millisecond || got > 32*time.Millisecond {
		t.Errorf("got %s for three batches of 10ms, want about 30ms", got)
	}
}
