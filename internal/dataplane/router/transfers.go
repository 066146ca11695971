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

// transferCallTimeout is how long one call with transfers may take; its transfers are repeated after it.
const transferCallTimeout = 5 * time.Second

// transferQueue carries transfers of quota units to the core. One call is in flight at a time; the transfers that come
// meanwhile go with the next one, so that a busy core is asked in fewer and larger calls.
type transferQueue struct {
	ctx    daemon.Context // ends the calls
	call   func(ctx context.Context, request *coreapi.QuotaTransfersRequest, response *coreapi.QuotaTransfersResponse) error
	holder func() string // the name under which this run holds units

	mu      sync.Mutex        // guards the fields below
	queued  []*queuedTransfer // for the next call
	sending bool              // a goroutine runs send
}

// queuedTransfer is a transfer that waits for the core's answer.
type queuedTransfer struct {
	request coreapi.QuotaTransfer
	done    chan transferResult // takes the one result without a receiver
}

type transferResult struct {
	response coreapi.QuotaTransferResult
	err      error
}

// newTransferQueue makes a queue to the core that the member finds.
func newTransferQueue(ctx daemon.Context, member *cluster.Member) *transferQueue {
	return &transferQueue{ctx: ctx, holder: func() string { return coreapi.Holder(member.Self()) },
		call: func(ctx context.Context, request *coreapi.QuotaTransfersRequest, response *coreapi.QuotaTransfersResponse) error {
			return member.Core.Call(ctx, "core.moves", request, response, true)
		}}
}

// transfer is the quota.TransferFunc: it has the core apply one transfer, and returns how many units are held after it and
// their limit base. It blocks until the core has answered or ctx has ended. In the latter case, as after any other error, the
// core may have applied the transfer; repeated with its sequence number it counts once.
func (q *transferQueue) transfer(ctx context.Context, transfer quota.Transfer) (held, limitBase int, err error) {
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

// enqueue queues a transfer for the next call, and starts sending unless a goroutine does.
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

// send makes calls until no transfer is queued.
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

// sendBatch makes one call, and gives each transfer of the batch its result: the call's error, or what the core has answered.
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
		err = eris.Errorf("router: %d answers to %d transfers of quota units", len(response.Results), len(batch))
	}
	for i, queued := range batch {
		result := transferResult{err: err}
		if err == nil {
			result.response = response.Results[i]
		}
		queued.done <- result
	}
}
