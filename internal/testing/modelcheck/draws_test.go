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
	quotaTenant       = "yard"
	quotaHolderCount  = 3
	quotaConfigFormat = `"tenants":{"yard":{"quota":{"units":%d,"window_s":3600}},"dock":{"quota":{"units":%d,"window_s":2}}}`
	drawDivisor       = 8 // a draw gets this part of the free units at most, as in package core
	minQuota          = 60
	quotaStep         = 40 // between the quotas that configurations give
	quotaChoices      = 5  // how many there are
)

// move is a draw or a gift of units by one holder.
type quotaTransfer struct {
	holder   int
	giveBack bool
	units    int
}

// moved is what a holder was told of a move.
type transferResult struct {
	answered  bool // it got an answer
	heldUnits int  // its units after the move
}

// quotaPool is the units that each holder has.
type quotaPool [quotaHolderCount]int

// sum is how many units are out.
func (p quotaPool) sum() int {
	sum := 0
	for _, units := range p {
		sum += units
	}
	return sum
}

// after is the pool after a move under a quota.
func (p quotaPool) afterTransfer(transfer quotaTransfer, quota int) quotaPool {
	if transfer.giveBack {
		p[transfer.holder] -= min(transfer.units, p[transfer.holder])
	} else if free := quota - p.sum(); free > 0 {
		p[transfer.holder] += min(transfer.units, (free+drawDivisor-1)/drawDivisor)
	}
	return p
}

// moves gives the states that a move may leave behind; none: its result is impossible in this state. A move takes effect
// once, however often it is sent, and what it gives depends on what all holders have at that moment and on the quota in
// force. A pool read from an older state would give units twice.
func (before coreState) applyTransfer(transfer quotaTransfer, reported transferResult) []any {
	after := before
	after.pool = before.pool.afterTransfer(transfer, before.quota)
	switch {
	case !reported.answered:
		return []any{before, after}
	case after.pool[transfer.holder] == reported.heldUnits:
		return []any{after}
	}
	return nil
}

// holder draws units of the tenant's quota and gives some back, as a router does.
type quotaHolder struct {
	fleet     *fleet
	number    int
	client    *coreclient.Client
	sequence  uint64
	heldUnits int
}

// newHolder makes a holder on a machine of its own.
func (f *fleet) newQuotaHolder(number int) *quotaHolder {
	network, _ := f.world.Net(quotaHolderAddr(number))
	daemonContext := daemon.Context{Context: f.ctx, Name: "holder", Log: f.log, Net: network}
	return &quotaHolder{fleet: f, number: number, client: coreclient.NewClient(daemonContext, wire.NewCaller(network), f.seeds())}
}

func quotaHolderAddr(number int) string { return fmt.Sprintf("10.0.8.%d:1", number+1) }

// work makes moves until the time is up, each until it is answered.
func (h *quotaHolder) work(until time.Time) {
	for time.Now().Before(until) {
		transfer := quotaTransfer{holder: h.number, units: 1 + h.fleet.randomBelow(20)}
		if h.heldUnits > 0 && h.fleet.randomBelow(5) < 2 {
			transfer = quotaTransfer{holder: h.number, giveBack: true, units: 1 + h.fleet.randomBelow(h.heldUnits)}
		}
		if !h.transfer(transfer, until.Add(requestTimeout)) {
			return // nobody knows what it holds now
		}
		time.Sleep(time.Duration(h.fleet.randomBelow(int(120 * time.Millisecond))))
	}
}

// move sends one move until it is answered or the time is up, and reports whether it was.
func (h *quotaHolder) transfer(transfer quotaTransfer, until time.Time) bool {
	h.sequence++
	request := coreapi.QuotaTransfersRequest{Holder: fmt.Sprint("holder-", h.number),
		Transfers: []coreapi.QuotaTransfer{{Tenant: quotaTenant, Sequence: h.sequence, Units: transfer.units, Return: transfer.giveBack}}}
	begun := h.fleet.history.begin()
	var reported transferResult
	for !reported.answered && time.Now().Before(until) {
		reported = h.attempt(&request)
		time.Sleep(time.Duration(h.fleet.randomBelow(int(30 * time.Millisecond))))
	}
	h.fleet.history.end(operatorCount+1+h.number, begun, transfer, reported)
	h.heldUnits = reported.heldUnits
	return reported.answered
}

// try sends a move once.
func (h *quotaHolder) attempt(request *coreapi.QuotaTransfersRequest) transferResult {
	ctx, cancel := context.WithTimeout(h.fleet.ctx, callTimeout)
	defer cancel()
	var response coreapi.QuotaTransfersResponse
	if h.client.Call(ctx, "core.moves", request, &response, true) != nil || len(response.Results) != 1 {
		return transferResult{}
	}
	return transferResult{answered: true, heldUnits: response.Results[0].HeldUnits}
}
