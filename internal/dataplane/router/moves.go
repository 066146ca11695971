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

// moveTime is how long one call with moves may take; its moves are made again after it.
const moveTime = 5 * time.Second

// moveQueue carries draws and gives of quota units to the core. One call is under way at a time; what comes
// meanwhile goes with the next one, so that a busy core is asked in fewer and larger calls.
type moveQueue struct {
	ctx    daemon.Context
	call   func(ctx context.Context, in *coreapi.QuotaMovesRequest, out *coreapi.QuotaMovesResponse) error
	holder func() string

	mu      sync.Mutex
	waiting []*queuedMove
	sending bool
}

// queuedMove is one move on its way.
type queuedMove struct {
	move coreapi.QuotaMove
	done chan moveResult
}

type moveResult struct {
	moved coreapi.QuotaMoveResult
	err   error
}

// newMoveQueue makes a queue to the core that the hub finds.
func newMoveQueue(ctx daemon.Context, hub *cluster.Member) *moveQueue {
	return &moveQueue{ctx: ctx, holder: func() string { return coreapi.Holder(hub.Self()) },
		call: func(ctx context.Context, in *coreapi.QuotaMovesRequest, out *coreapi.QuotaMovesResponse) error {
			return hub.Core.Call(ctx, "core.moves", in, out, true)
		}}
}

// move is the share.Mover: it makes one move and tells what is held after it, and under what sum.
func (q *moveQueue) move(ctx context.Context, move quota.Transfer) (int, int, error) {
	queued := &queuedMove{coreapi.QuotaMove{Tenant: move.Tenant, Sequence: move.Sequence, Units: move.Units, Costs: move.Costs, Return: move.Return}, make(chan moveResult, 1)}
	q.mu.Lock()
	q.waiting = append(q.waiting, queued)
	start := !q.sending
	q.sending = true
	q.mu.Unlock()
	if start {
		go q.send()
	}
	select {
	case result := <-queued.done:
		return result.moved.Held, result.moved.Limit, result.err
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	}
}

// send makes calls until no move waits.
func (q *moveQueue) send() {
	for {
		q.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		q.sending = len(batch) > 0
		q.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		q.sendBatch(batch)
	}
}

func (q *moveQueue) sendBatch(batch []*queuedMove) {
	ctx, end := context.WithTimeout(q.ctx, moveTime)
	defer end()
	in := coreapi.QuotaMovesRequest{Holder: q.holder(), Moves: make([]coreapi.QuotaMove, len(batch))}
	for i, queued := range batch {
		in.Moves[i] = queued.move
	}
	var out coreapi.QuotaMovesResponse
	err := q.call(ctx, &in, &out)
	if err == nil && len(out.Results) != len(batch) {
		err = eris.Errorf("router: %d answers to %d moves of quota units", len(out.Results), len(batch))
	}
	for i, queued := range batch {
		result := moveResult{err: err}
		if err == nil {
			result.moved = out.Results[i]
		}
		queued.done <- result
	}
}
