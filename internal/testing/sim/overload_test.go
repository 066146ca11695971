package sim_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

const (
	loadTenants      = 40
	transfersPerCall = 10 // of one call
	callInterval     = 100 * time.Millisecond
	triggerDuration  = 5 * time.Second
	recoveryDuration = 2 * time.Second // after the trigger is over
	measureDuration  = 2 * time.Second
)

// quotaLoad is many holders of quota units, each with one call of transfers under way at most, as a router has.
type quotaLoad struct {
	f        *fleet
	answered atomic.Int64 // transfers that were answered
}

// addHolders adds holders, whose calls all begin at the same moments.
func (c *quotaLoad) addHolders(holders int) {
	for range holders {
		addr := fmt.Sprintf("10.0.9.%d:1", lastID.Add(1))
		network, _ := c.f.w.Net(addr)
		ctx := daemon.Context{Context: c.f.ctx, Name: addr, Log: c.f.log, Net: network}
		client := coreclient.NewClient(ctx, wire.NewCaller(network), c.f.founders)
		go c.transferUntilEnd(client, addr)
	}
}

// transferUntilEnd acquires and returns units until the fleet ends. What was not answered is repeated as it was.
func (c *quotaLoad) transferUntilEnd(client *coreclient.Client, holder string) {
	for sequence := uint64(1); c.f.ctx.Err() == nil; {
		request := coreapi.QuotaTransfersRequest{Holder: holder}
		for i := range transfersPerCall {
			tenant := fmt.Sprint("tenant", (int(sequence)+i)%loadTenants)
			request.Transfers = append(request.Transfers, coreapi.QuotaTransfer{Tenant: tenant, Sequence: sequence, Units: 1, Return: sequence%2 == 0})
		}
		ctx, cancel := context.WithTimeout(c.f.ctx, 5*time.Second)
		err := client.Call(ctx, "core.moves", &request, &coreapi.QuotaTransfersResponse{}, true)
		cancel()
		if err == nil {
			c.answered.Add(transfersPerCall)
			sequence++
		}
		time.Sleep(time.Until(time.Now().Truncate(callInterval).Add(callInterval)))
	}
}

// rate is how many transfers a second are answered over a span from now.
func (c *quotaLoad) rate(span time.Duration) float64 {
	before := c.answered.Load()
	time.Sleep(span)
	return float64(c.answered.Load()-before) / span.Seconds()
}

// slowestWrite has an operator write again and again for a span, and gives how long the slowest write took, and how many were
// acknowledged. Each builds on any version, and is repeated until it is taken.
func slowestWrite(f *fleet, span time.Duration, version *atomic.Uint64, quotas string) (slowest time.Duration, written int) {
	o := f.operator()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		begun := time.Now()
		number := version.Add(1)
		for !o.isTaken(fmt.Sprintf("%d\n%s", number, quotas), fmt.Sprint("write", number)) {
			if time.Since(begun) > 10*time.Second {
				return time.Since(begun), written
			}
		}
		slowest = max(slowest, time.Since(begun))
		written++
	}
	return slowest, written
}

// isTaken writes a document once, and reports whether it was taken.
func (o *operator) isTaken(document, id string) bool {
	return o.write(&coreapi.WriteRequest{ID: id, AnyVersion: true, Raw: []byte(document)}).code == 200
}

// A primary is asked for more than it can do. Operators' writes are acknowledged in time throughout, and soon after what
// brought the overload about is over, as much is done as before.
func TestPrimaryUnderOverload(t *testing.T) {
	for _, test := range []struct {
		name     string
		begin    func(f *fleet, c *quotaLoad, primary *coreProc)
		end      func(f *fleet, primary *coreProc)
		maxWrite time.Duration // that a write may take
	}{
		{"primary's disk slowed tenfold", func(_ *fleet, _ *quotaLoad, primary *coreProc) { primary.disk.Slow(100 * time.Millisecond) },
			func(_ *fleet, primary *coreProc) { primary.disk.Slow(0) }, 350 * time.Millisecond},
		{"a crowd of new holders", func(_ *fleet, c *quotaLoad, _ *coreProc) { c.addHolders(300) }, func(*fleet, *coreProc) {}, 50 * time.Millisecond},
		{"primary cut off", func(f *fleet, _ *quotaLoad, primary *coreProc) {
			f.w.Split([]string{primary.addr}, f.addrsExcept(primary))
		},
			func(f *fleet, _ *coreProc) { f.w.Heal() }, 3 * time.Second},
		{"primary killed", func(f *fleet, _ *quotaLoad, primary *coreProc) { f.crashCore(primary) },
			func(f *fleet, primary *coreProc) { f.startCore(primary) }, 800 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, _ := newDocumentFleet(t, 1, 0)
				var quotas strings.Builder
				for tenant := range loadTenants {
					fmt.Fprintf(&quotas, "tenant%d 100000\n", tenant)
				}
				var version atomic.Uint64
				if _, written := slowestWrite(f, time.Millisecond, &version, quotas.String()); written != 1 {
					t.Fatal("the first configuration was not taken")
				}
				c := &quotaLoad{f: f}
				c.addHolders(300)
				time.Sleep(recoveryDuration)
				before := c.rate(measureDuration)
				primary := f.primary()
				test.begin(f, c, primary)
				slowest, written := slowestWrite(f, triggerDuration, &version, quotas.String())
				test.end(f, primary)
				if slowest > test.maxWrite || written == 0 {
					t.Errorf("got %d writes of operators acknowledged, the slowest after %s, want it within %s", written, slowest, test.maxWrite)
				}
				time.Sleep(recoveryDuration)
				if after := c.rate(measureDuration); after < 0.9*before {
					t.Errorf("got %.0f transfers/s after it was over, want at least nine tenths of %.0f", after, before)
				} else {
					t.Logf("%.0f transfers/s before, %.0f after; slowest of %d writes %s", before, after, written, slowest)
				}
			})
		})
	}
}
