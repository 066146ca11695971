package modelcheck

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/quota"
	"yarrowridge/internal/transport/wire"
)

// The tenant whose units the routers spend. Its window is short: the units that an ended router may have spent stay
// blocked for one window, and are free again within the run.
const (
	spentTenant      = "dock"
	spentWindow      = 2 * time.Second
	toleranceWindow  = 4 * time.Second
	quotaRouterCount = 3
	maxSpentCost     = 6 // requests cost 1 to 6 units
)

// spentLimit is a limit of spentTenant with its tolerance, as a configuration sets it.
type spentLimit struct{ units, tolerance int }

// spentLimits are the limits that operators draw from. A lower limit never has a higher tolerance than a higher one: the
// units held under an earlier, higher limit plus the tolerance of a new, lower one then never exceed what the earlier
// limit allowed.
var spentLimits = []spentLimit{{40, 6}, {40, 6}, {36, 5}, {34, 3}, {28, 0}}

// maxSpent is the maximum number of units that routers may spend in a window, whichever configurations were in force.
func maxSpent() int { return spentLimits[0].units + spentLimits[0].tolerance }

// toleranceOf returns the tolerance that goes with a limit in units.
func toleranceOf(units int) int {
	for _, limit := range spentLimits {
		if limit.units == units {
			return limit.tolerance
		}
	}
	return 0
}

// toleranceCodec reads fleet configurations and adds a tolerance for spentTenant, because the configuration format has no
// field for it.
type toleranceCodec struct{ configuration.FleetCodec }

// Check implements configuration.Codec.
func (c toleranceCodec) Check(raw []byte) (configuration.Document, []coreapi.ConfigError) {
	document, configErrors := c.FleetCodec.Check(raw)
	document.Tolerances, document.ToleranceWindow = map[string]int{spentTenant: toleranceOf(document.Quotas[spentTenant])}, toleranceWindow
	return document, configErrors
}

// spend is a number of units that a router spent on one request.
type spend struct {
	at    time.Time
	units int
}

// spendLedger records the units that all routers spent. Its methods may be called concurrently.
type spendLedger struct {
	mu     sync.Mutex
	spends []spend
}

func (l *spendLedger) add(units int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spends = append(l.spends, spend{time.Now(), units})
}

// violations describes the first window in which routers spent more than the limit and the tolerance, if there is one.
func (l *spendLedger) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(l.spends, func(a, b spend) int { return a.at.Compare(b.at) })
	first, sum := 0, 0
	for _, entry := range l.spends {
		sum += entry.units
		for ; entry.at.Sub(l.spends[first].at) >= spentWindow; first++ {
			sum -= l.spends[first].units
		}
		if limit := maxSpent(); sum > limit {
			return []string{fmt.Sprintf("%d units spent in a window of %s, want at most %d with every tolerance", sum, spentWindow, limit)}
		}
	}
	return nil
}

// spent returns the total number of units spent.
func (l *spendLedger) spent() (units int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.spends {
		units += entry.units
	}
	return units
}

// quotaRouter is the part of a router that spends units: its membership and lease at the core, and its quota shares. Its
// runs end by a kill or a planned leave, and the router then restarts with a new run ID.
type quotaRouter struct {
	fleet  *fleet
	number int
	runs   uint64
}

// addr is the router's address.
func (r *quotaRouter) addr() string { return fmt.Sprintf("10.0.7.%d:1", r.number+1) }

// work starts one run of the router after another until the time is up.
func (r *quotaRouter) work(until time.Time) {
	for time.Now().Before(until) {
		lifetime := time.Duration(500+r.fleet.randomBelow(5000)) * time.Millisecond
		r.run(min(lifetime, time.Until(until)), r.fleet.randomBelow(3) == 0)
		time.Sleep(time.Duration(r.fleet.randomBelow(1000)) * time.Millisecond)
	}
}

// run runs the router for its lifetime. A planned end announces to the core that the router leaves.
func (r *quotaRouter) run(lifetime time.Duration, planned bool) {
	network, crash := r.fleet.world.Net(r.addr())
	ctx, cancel := context.WithCancel(r.fleet.ctx)
	defer crash()
	defer cancel()
	r.runs++
	daemonContext := daemon.Context{Context: ctx, Name: fmt.Sprint("router-", r.number), Zone: "zone-1", RunID: uint64(r.number+1)<<32 | r.runs,
		Log: r.fleet.log.With("at", r.addr()), Net: network}
	listener, err := network.Listen(r.addr())
	if err != nil {
		r.fleet.history.fail("router at %s does not listen: %v", r.addr(), err)
		return
	}
	var limit atomic.Int64 // of the configuration in force; 0: none yet
	member := cluster.NewMember(daemonContext, r.addr(), r.addr(), r.fleet.seeds(), nil, cluster.WithConfigHandler(func(_ uint64, raw []byte) error {
		document, _ := toleranceCodec{}.Check(raw)
		limit.Store(int64(document.Quotas[spentTenant]))
		return nil
	}))
	go wire.Serve(ctx, listener, member.Serve)
	go member.Run()
	shares := quota.NewShares(daemonContext, quota.Config{Transfer: transferVia(member), Nodes: func() int { return len(member.Nodes()) },
		ScarceTenants: member.ScarceTenants, RecentContact: member.CoreResponsive, InContact: func() bool { return !member.CoreTimedOut() },
		Rules: func() []quota.Rule {
			return []quota.Rule{{Tenant: spentTenant, Units: int(limit.Load()), Window: spentWindow}}
		}})
	go shares.Run()
	r.spend(ctx, shares, time.Now().Add(lifetime))
	if planned {
		member.Leave(ctx)
	}
}

// transferVia returns a function that sends each quota transfer to the core in a call of its own.
func transferVia(member *cluster.Member) quota.TransferFunc {
	return func(ctx context.Context, transfer quota.Transfer) (held, limitBase int, err error) {
		request := &coreapi.QuotaTransfersRequest{Holder: coreapi.Holder(member.Self()), Transfers: []coreapi.QuotaTransfer{
			{Tenant: transfer.Tenant, Sequence: transfer.Sequence, Units: transfer.Units, Costs: transfer.Costs, Return: transfer.Return}}}
		var response coreapi.QuotaTransfersResponse
		if err := member.Core.Call(ctx, "core.moves", request, &response, true); err != nil {
			return 0, 0, err
		}
		return response.Results[0].HeldUnits, response.Results[0].Limit, nil
	}
}

// spend makes requests of various costs, in total more than the limit allows, and spends the units that are granted.
func (r *quotaRouter) spend(ctx context.Context, shares *quota.Shares, until time.Time) {
	for time.Now().Before(until) {
		units := 1 + r.fleet.randomBelow(maxSpentCost)
		reserveCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		granted, _ := shares.Reserve(reserveCtx, spentTenant, units)
		cancel()
		if granted {
			r.fleet.spends.add(units)
			shares.For(spentTenant).Commit(units)
		}
		runloop.Sleep(ctx, time.Duration(1+r.fleet.randomBelow(100))*time.Millisecond)
	}
}
