package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

const (
	repairTimeout     = 500 * time.Millisecond // for one request to one router
	maxRepairAttempts = 3                      // per round: other routers are tried until one answers
)

// repair runs one round of anti-entropy: it compares this router's records by digests with those of a random neighbour or,
// with a probability of one half, of a random router.
func (m *Member) repair() {
	m.Records.Expire(recordTTL)
	neighbours := m.Neighbours()
	nodes := m.Nodes()
	// A neighbour that does not answer may be the reason why an update is missing here, so another router is tried at once.
	for range maxRepairAttempts {
		addr := ""
		if len(neighbours) > 0 && rand.N(2) > 0 {
			addr = neighbours[rand.N(len(neighbours))].Addr
		} else if len(nodes) > 0 {
			addr = nodes[rand.N(len(nodes))].Addr
		}
		if addr == "" || addr == m.addr {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, repairTimeout)
		ok := m.repairWith(ctx, addr)
		cancel()
		if ok {
			return
		}
	}
}

// repairWith compares this router's records with another one's and exchanges the differences. It reports whether that router
// answered.
func (m *Member) repairWith(ctx context.Context, addr string) bool {
	digests := m.Records.Digests(m.ctx.Name)
	var difference dissemination.Difference
	requestedAt := time.Now()
	if m.caller.Call(ctx, addr, "node.sum", &digests, &difference) != nil {
		return false
	}
	repair := m.Records.Repair(m.ctx.Name, difference)
	if len(repair.Records)+len(repair.WantedKeys) > 0 {
		var update dissemination.Update
		if m.caller.Call(ctx, addr, "node.fix", &repair, &update) != nil {
			return false
		}
		m.Broadcast(update)
	}
	m.learnConfirmed(&difference, requestedAt)
	return true
}
