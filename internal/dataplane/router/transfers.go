package router

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/model/quota"
)

// transferCallTimeout is the timeout of one call with transfers. The caller of transfer retries them afterwards.
const transferCallTimeout = 5 * time.Second

// transferQueue sends transfers of quota units to the core. One call is in flight at a time; transfers queued meanwhile are
// batched in the next call, so that a busy core receives fewer and larger calls.
type transferQueue struct {
	ctx    daemon.Context // the calls end with it
	call   func(ctx context.Context, request *coreapi.QuotaTransfersRequest, response *coreapi.QuotaTransfersResponse) error
	holder func() string // returns the name under which the core allocates units to this run of the router

	mu      sync.Mutex        // guards the fields below
	queued  []*queuedTransfer // to be sent with the next call
	sending bool              // a goroutine is running send
}

// queuedTransfer is a transfer that waits for the core's response.
type queuedTransfer struct {
	request coreapi.QuotaTransfer
	done    chan transferResult // buffered: receives the single result even if the caller has stopped waiting
}

type transferResult struct {
	response coreapi.QuotaTransferResult
	err      error
}

// newTransferQueue returns a queue that sends to the core through the member's client.
func newTransferQueue(ctx daemon.Context, member *cluster.Member) *transferQueue {
	return &transferQueue{ctx: ctx, holder: func() string { return coreapi.Holder(member.Self()) },
		call: func(ctx context.Context, request *coreapi.QuotaTransfersRequest, response *coreapi.QuotaTransfersResponse) error {
			return member.Core.Call(ctx, "core.moves", request, response, true)
		}}
}

// transfer implements quota.TransferFunc. It sends one transfer to the core, and returns the units allocated to this router
// after it and their limit base. It blocks until the core has responded or ctx has ended. After an error the core may still
// have applied the transfer; a retry with the same sequence number is applied only once.
func (q *transferQueue) transfer(ctx context.Context, transfer quota.Transfer) (allocated, limitBase int, err error) {
	queued := &queuedTransfer{
		request: coreapi.QuotaTransfer{Tenant: transfer.Tenant, Sequence: transfer.Sequence, Units: transfer.Units,
			Costs: transfer.Costs, Return: transfer.Return},
		done: make(chan transferResult, 1),
	}
	q.enqueue(queued)
	select {
	case result := <-queued.done:
		return result.response.HeldUnits, result.response.Limit, result.err
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	}
}

// enqueue adds a transfer to the next call, and starts a goroutine to send it unless one is running.
func (q *transferQueue) enqueue(queued *queuedTransfer) {
	q.mu.Lock()
	q.queued = append(q.queued, queued)
	start := !q.sending
	q.sending = true
	q.mu.Unlock()
	if start {
		go q.send()
	}
}

// send sends calls until no transfer is queued.
func (q *transferQueue) send() {
	for {
		q.mu.Lock()
		batch := q.queued
		q.queued = nil
		q.sending = len(batch) > 0
		q.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		q.sendBatch(batch)
	}
}

// sendBatch sends one call, and passes each transfer of the batch its result: the error of the call, or the core's result.
func (q *transferQueue) sendBatch(batch []*queuedTransfer) {
	ctx, cancel := context.WithTimeout(q.ctx, transferCallTimeout)
	defer cancel()
	request := coreapi.QuotaTransfersRequest{Holder: q.holder(), Transfers: make([]coreapi.QuotaTransfer, len(batch))}
	for i, queued := range batch {
		request.Transfers[i] = queued.request
	}
	var response coreapi.QuotaTransfersResponse
	err := q.call(ctx, &request, &response)
	if err == nil && len(response.Results) != len(batch) {
		err = eris.Errorf("router: got %d results for %d quota transfers", len(response.Results), len(batch))
	}
	for i, queued := range batch {
		result := transferResult{err: err}
		if err == nil {
			result.response = response.Results[i]
		}
		queued.done <- result
	}
}
