package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/model/quota"
)

// fakeCore responds to each call with transfers after a second. It allocates the requested units, with a limit base of 100.
type fakeCore struct {
	mu    sync.Mutex
	calls [][]coreapi.QuotaTransfer
	err   error
	drop  bool // leave the first result out of each response
}

func (c *fakeCore) call(ctx context.Context, request *coreapi.QuotaTransfersRequest, response *coreapi.QuotaTransfersResponse) error {
	if request.Holder != "holder" {
		return fmt.Errorf("holder: got %q, want %q", request.Holder, "holder")
	}
	c.mu.Lock()
	c.calls = append(c.calls, request.Transfers)
	c.mu.Unlock()
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, transfer := range request.Transfers {
		response.Results = append(response.Results, coreapi.QuotaTransferResult{HeldUnits: transfer.Units, Limit: 100})
	}
	if c.drop {
		response.Results = response.Results[1:]
	}
	return c.err
}

func (c *fakeCore) queue(ctx context.Context) *transferQueue {
	return &transferQueue{ctx: daemon.Context{Context: ctx}, holder: func() string { return "holder" }, call: c.call}
}

// One call is in flight at a time. Transfers queued meanwhile are batched in the next call, and each gets its own result.
func TestTransfersAreBatchedWhileCallInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &fakeCore{}
		queue := core.queue(t.Context())
		var running sync.WaitGroup
		for units := 1; units <= 4; units++ {
			running.Go(func() {
				allocated, limitBase, err := queue.transfer(t.Context(), quota.Transfer{Tenant: "t", Sequence: uint64(units), Units: units})
				if allocated != units || limitBase != 100 || err != nil {
					t.Errorf("transfer of %d units: got %d, %d, %v, want %d, 100, nil", units, allocated, limitBase, err, units)
				}
			})
			synctest.Wait()
		}
		running.Wait()
		if len(core.calls) != 2 || len(core.calls[0]) != 1 || len(core.calls[1]) != 3 {
			t.Errorf("calls: got %v, want one with the first transfer and one with the other three", core.calls)
		}
	})
}

// All fields of a transfer are sent to the core.
func TestTransferIsSentWithAllFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &fakeCore{}
		transfer := quota.Transfer{Tenant: "t", Sequence: 7, Units: 5, Costs: []int{2, 3}, Return: true}
		if _, _, err := core.queue(t.Context()).transfer(t.Context(), transfer); err != nil {
			t.Fatal(err)
		}
		want := coreapi.QuotaTransfer{Tenant: "t", Sequence: 7, Units: 5, Costs: []int{2, 3}, Return: true}
		if got := core.calls[0][0]; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("sent: got %+v, want %+v", got, want)
		}
	})
}

func TestTransferErrors(t *testing.T) {
	failed := errors.New("failed")
	tests := []struct {
		name    string
		core    fakeCore
		timeout time.Duration // of the transfer
		cancel  bool          // end the queue's context before the transfer
		want    error         // nil: any error
	}{
		{"the call fails", fakeCore{err: failed}, time.Minute, false, failed},
		{"too few results", fakeCore{drop: true}, time.Minute, false, nil},
		{"the transfer's context ends first", fakeCore{}, time.Millisecond, false, context.DeadlineExceeded},
		{"the queue's context has ended", fakeCore{}, time.Minute, true, context.Canceled},
	}
	for i := range tests {
		test := &tests[i]
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				queueCtx, cancelQueue := context.WithCancel(t.Context())
				defer cancelQueue()
				if test.cancel {
					cancelQueue()
				}
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				allocated, limitBase, err := test.core.queue(queueCtx).transfer(ctx, quota.Transfer{Tenant: "t", Sequence: 1, Units: 1})
				if err == nil || test.want != nil && !errors.Is(err, test.want) {
					t.Errorf("transfer: got error %v, want %v", err, test.want)
				}
				if allocated != 0 || limitBase != 0 {
					t.Errorf("transfer: got %d, %d with an error, want 0, 0", allocated, limitBase)
				}
			})
		})
	}
}
