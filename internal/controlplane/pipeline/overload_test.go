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

// A burst of operations of one class does not fill the queues of more urgent classes, whose operations still join the next
// batch.
func TestBurstOfOneClassDoesNotBlockOthers(t *testing.T) {
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
			t.Errorf("got a first batch of %d mutations that begins with %s and %s, want %d, config and runner", len(first), first[0].Key, first[1].Key, 2+maxClassWeight)
		}
		if got, want := len(committer.batches), classCapacity/maxClassWeight; got != want {
			t.Errorf("got %d batches, want %d: operations beyond the capacity are dropped", got, want)
		}
	})
}

// Operations of one class stay in order: an operation that ends a holder of quota units must not overtake the holder's last
// transfer.
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

// A step waits for one batch only, however many operations are queued before it.
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
			t.Errorf("step ran after %d batches, want 1", batches)
		}
	})
}

// Operations count by their weight, so that a batch of heavy operations stays short.
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
			t.Errorf("got %d batches, the first with %d operations, want 2 batches of 4", len(committer.batches), len(committer.batches[0]))
		}
	})
}

// While batches are slow, an operation that would wait for longer than maxClassWait is rejected at once and never applied. Once
// the queue is short again, operations are accepted.
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
			t.Errorf("got error %v after the queue was empty, want none", err)
		}
	})
}

// Operations abandoned by their callers make room for new ones.
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
			t.Errorf("got batches %v, want one with the key taken", committer.batches)
		}
	})
}

// A single slow batch, such as one that waited until backups were replaced, must not dominate the estimate.
func TestBatchTimeIsBounded(t *testing.T) {
	var times batchTime
	if got := times.estimate(10); got != 0 {
		t.Errorf("got %s before the first batch, want 0", got)
	}
	times.record(10 * time.Millisecond)
	times.record(3 * time.Second)
	if got, most := times.estimate(1), 60*time.Millisecond; got < 10*time.Millisecond || got > most {
		t.Errorf("got %s after one slow batch, want 10ms to %s", got, most)
	}
	for range 50 {
		times.record(10 * time.Millisecond)
	}
	if got := times.estimate(3); got < 29*time.Millisecond || got > 32*time.Millisecond {
		t.Errorf("got %s for three batches of 10ms, want about 30ms", got)
	}
}
