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

// The tenant whose units the quota holders draw. Its window outlasts every run, so that no unit becomes free by expiry.
const (
	quotaTenant       = "yard"
	quotaHolderCount  = 3
	quotaConfigFormat = `"tenants":{"yard":{"quota":{"units":%d,"window_s":3600}},"dock":{"quota":{"units":%d,"window_s":2}}}`
	drawDivisor       = 8 // a draw gets at most 1/drawDivisor of the free units, rounded up, as in package core
	minQuota          = 60
	quotaStep         = 40 // difference between the quotas that configurations set
	quotaChoices      = 5  // number of different quotas
)

// quotaTransfer is a draw or a return of units by one holder.
type quotaTransfer struct {
	holder   int
	giveBack bool
	units    int
}

// transferResult is what a holder knows of the result of a transfer.
type transferResult struct {
	answered  bool // it received an answer
	heldUnits int  // its units after the transfer
}

// quotaPool is the number of units that each holder has.
type quotaPool [quotaHolderCount]int

// sum is the number of units that all holders have.
func (p quotaPool) sum() int {
	sum := 0
	for _, units := range p {
		sum += units
	}
	return sum
}

// afterTransfer is the pool after a transfer under a quota.
func (p quotaPool) afterTransfer(transfer quotaTransfer, quota int) quotaPool {
	if transfer.giveBack {
		p[transfer.holder] -= min(transfer.units, p[transfer.holder])
	} else if free := quota - p.sum(); free > 0 {
		p[transfer.holder] += min(transfer.units, (free+drawDivisor-1)/drawDivisor)
	}
	return p
}

// applyTransfer returns the states that are possible after a transfer; none if its result is impossible in this state. A
// transfer takes effect once, however often it is sent, and its result depends on the quota in force and on the units of
// all holders at that moment. A core that reads its pool from an older state would grant units twice.
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

// quotaHolder draws units of the tenant's quota and returns some of them, as a router does.
type quotaHolder struct {
	fleet     *fleet
	number    int
	client    *coreclient.Client
	sequence  uint64
	heldUnits int
}

// newQuotaHolder makes a holder on a machine of its own.
func (f *fleet) newQuotaHolder(number int) *quotaHolder {
	network, _ := f.world.Net(quotaHolderAddr(number))
	daemonContext := daemon.Context{Context: f.ctx, Name: "holder", Log: f.log, Net: network}
	return &quotaHolder{fleet: f, number: number, client: coreclient.NewClient(daemonContext, wire.NewCaller(network), f.seeds())}
}

func quotaHolderAddr(number int) string { return fmt.Sprintf("10.0.8.%d:1", number+1) }

// work makes transfers until the time is up, and repeats each until it is answered.
func (h *quotaHolder) work(until time.Time) {
	for time.Now().Before(until) {
		transfer := quotaTransfer{holder: h.number, units: 1 + h.fleet.randomBelow(20)}
		if h.heldUnits > 0 && h.fleet.randomBelow(5) < 2 {
			transfer = quotaTransfer{holder: h.number, giveBack: true, units: 1 + h.fleet.randomBelow(h.heldUnits)}
		}
		if !h.transfer(transfer, until.Add(requestTimeout)) {
			return // it is unknown how many units it holds now
		}
		time.Sleep(time.Duration(h.fleet.randomBelow(int(120 * time.Millisecond))))
	}
}

// transfer retries one transfer until it is answered or the time is up, and reports whether it was answered.
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

// attempt sends a transfer once.
func (h *quotaHolder) attempt(request *coreapi.QuotaTransfersRequest) transferResult {
	ctx, cancel := context.WithTimeout(h.fleet.ctx, callTimeout)
	defer cancel()
	var response coreapi.QuotaTransfersResponse
	if h.client.Call(ctx, "core.moves", request, &response, true) != nil || len(response.Results) != 1 {
		return transferResult{}
	}
	return transferResult{answered: true, heldUnits: response.Results[0].HeldUnits}
}
