package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// repair compares our news with one neighbour's, or any node's every other time, by digests.
func (h *Member) repair() {
	h.Records.Expire(forgetAfter)
	neighbours := h.Neighbours()
	nodes := h.Nodes()
	// A neighbour that does not answer may be what news is stuck behind: another is asked at once.
	for range 3 {
		to := ""
		if len(neighbours) > 0 && rand.N(2) > 0 {
			to = neighbours[rand.N(len(neighbours))].Addr
		} else if len(nodes) > 0 {
			to = nodes[rand.N(len(nodes))].Addr
		}
		if to == "" || to == h.addr {
			continue
		}
		ctx, cancel := context.WithTimeout(h.ctx, 500*time.Millisecond)
		ok := h.repairWith(ctx, to)
		cancel()
		if ok {
			return
		}
	}
}

// repairWith compares our news with one node's, and takes and gives what differs. It reports whether the node answered.
func (h *Member) repairWith(ctx context.Context, to string) bool {
	sum := h.Records.Digests(h.ctx.Name)
	var diff dissemination.Difference
	asked := time.Now()
	if h.caller.Call(ctx, to, "node.sum", &sum, &diff) != nil {
		return false
	}
	fix := h.Records.Repair(h.ctx.Name, diff)
	if len(fix.Records)+len(fix.Wanted) > 0 {
		var back dissemination.Update
		if h.caller.Call(ctx, to, "node.fix", &fix, &back) != nil {
			return false
		}
		h.Broadcast(back)
	}
	h.takeConfirmed(&diff, asked)
	return true
}
