package modelcheck

import (
	"context"
	"fmt"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// The tenant whose units holders draw. Its window outlasts every run: no unit becomes free by itself.
const (
	quotaTenant   = "yard"
	quotaHolders  = 3
	quotaFormat   = `"tenants":{"yard":{"quota":{"units":%d,"window_s":3600}},"dock":{"quota":{"units":%d,"window_s":2}}}`
	drawDivisor   = 8 // a draw gets this part of the free units at most, as in package core
	leastQuota    = 60
	quotaStep     = 40 // between the quotas that configurations give
	quotasOfWrite = 5  // how many there are
)

// move is a draw or a gift of units by one holder.
type move struct {
	holder int
	give   bool
	units  int
}

// moved is what a holder was told of a move.
type moved struct {
	known bool // it got an answer
	held  int  // its units after the move
}

// quotaPool is the units that each holder has.
type quotaPool [quotaHolders]int

// sum is how many units are out.
func (p quotaPool) sum() int {
	sum := 0
	for _, units := range p {
		sum += units
	}
	return sum
}

// after is the pool after a move under a quota.
func (p quotaPool) after(asked move, quota int) quotaPool {
	if asked.give {
		p[asked.holder] -= min(asked.units, p[asked.holder])
	} else if free := quota - p.sum(); free > 0 {
		p[asked.holder] += min(asked.units, (free+drawDivisor-1)/drawDivisor)
	}
	return p
}

// moves gives the states that a move may leave behind; none: its result is impossible in this state. A move takes effect
// once, however often it is sent, and what it gives depends on what all holders have at that moment and on the quota in
// force. A pool read from an older state would give units twice.
func (before coreState) moves(asked move, told moved) []any {
	after := before
	after.pool = before.pool.after(asked, before.quota)
	switch {
	case !told.known:
		return []any{before, after}
	case after.pool[asked.holder] == told.held:
		return []any{after}
	}
	return nil
}

// holder draws units of the tenant's quota and gives some back, as a router does.
type holder struct {
	fleet  *fleet
	number int
	client *coreclient.Client
	turn   uint64
	held   int
}

// newHolder makes a holder on a machine of its own.
func (f *fleet) newHolder(number int) *holder {
	network, _ := f.world.Net(holderAddr(number))
	where := daemon.Context{Context: f.ctx, Name: "holder", Log: f.log, Net: network}
	return &holder{fleet: f, number: number, client: coreclient.NewClient(where, wire.NewCaller(network), f.seeds())}
}

func holderAddr(number int) string { return fmt.Sprintf("10.0.8.%d:1", number+1) }

// work makes moves until the time is up, each until it is answered.
func (h *holder) work(until time.Time) {
	for time.Now().Before(until) {
		asked := move{holder: h.number, units: 1 + h.fleet.chance(20)}
		if h.held > 0 && h.fleet.chance(5) < 2 {
			asked = move{holder: h.number, give: true, units: 1 + h.fleet.chance(h.held)}
		}
		if !h.move(asked, until.Add(orderTimeout)) {
			return // nobody knows what it holds now
		}
		time.Sleep(time.Duration(h.fleet.chance(int(120 * time.Millisecond))))
	}
}

// move sends one move until it is answered or the time is up, and reports whether it was.
func (h *holder) move(asked move, until time.Time) bool {
	h.turn++
	request := coreapi.QuotaTransfersRequest{Holder: fmt.Sprint("holder-", h.number),
		Transfers: []coreapi.QuotaTransfer{{Tenant: quotaTenant, Sequence: h.turn, Units: asked.units, Return: asked.give}}}
	begun := h.fleet.history.begin()
	var told moved
	for !told.known && time.Now().Before(until) {
		told = h.try(&request)
		time.Sleep(time.Duration(h.fleet.chance(int(30 * time.Millisecond))))
	}
	h.fleet.history.end(operatorCount+1+h.number, begun, asked, told)
	h.held = told.held
	return told.known
}

// try sends a move once.
func (h *holder) try(request *coreapi.QuotaTransfersRequest) moved {
	ctx, cancel := context.WithTimeout(h.fleet.ctx, callTimeout)
	defer cancel()
	var response coreapi.QuotaTransfersResponse
	if h.client.Call(ctx, "core.moves", request, &response, true) != nil || len(response.Results) != 1 {
		return moved{}
	}
	return moved{known: true, held: response.Results[0].HeldUnits}
}
