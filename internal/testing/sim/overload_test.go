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
	transfersPerCall = 10
	callInterval     = 100 * time.Millisecond
	triggerDuration  = 5 * time.Second
	recoveryDuration = 2 * time.Second // from the end of the trigger to the measurement
	measureDuration  = 2 * time.Second
)

// quotaLoad simulates many holders of quota units. Like a router, each has at most one transfers call in flight.
type quotaLoad struct {
	f        *fleet
	answered atomic.Int64 // number of answered transfers
}

// addHolders adds holders whose calls all begin at the same times.
func (l *quotaLoad) addHolders(holders int) {
	for range holders {
		addr := fmt.Sprintf("10.0.9.%d:1", lastID.Add(1))
		network, _ := l.f.w.Net(addr)
		ctx := daemon.Context{Context: l.f.ctx, Name: addr, Log: l.f.log, Net: network}
		client := coreclient.NewClient(ctx, wire.NewCaller(network), l.f.founders)
		go l.transferUntilEnd(client, addr)
	}
}

// transferUntilEnd alternately acquires and returns units until the fleet stops. A call that failed is repeated unchanged.
func (l *quotaLoad) transferUntilEnd(client *coreclient.Client, holder string) {
	for sequence := uint64(1); l.f.ctx.Err() == nil; {
		request := coreapi.QuotaTransfersRequest{Holder: holder}
		for i := range transfersPerCall {
			tenant := fmt.Sprint("tenant", (int(sequence)+i)%loadTenants)
			request.Transfers = append(request.Transfers, coreapi.QuotaTransfer{Tenant: tenant, Sequence: sequence, Units: 1, Return: sequence%2 == 0})
		}
		ctx, cancel := context.WithTimeout(l.f.ctx, 5*time.Second)
		err := client.Call(ctx, "core.moves", &request, &coreapi.QuotaTransfersResponse{}, true)
		cancel()
		if err == nil {
			l.answered.Add(transfersPerCall)
			sequence++
		}
		time.Sleep(time.Until(time.Now().Truncate(callInterval).Add(callInterval)))
	}
}

// rate returns the number of transfers per second that are answered within the given time from now.
func (l *quotaLoad) rate(duration time.Duration) float64 {
	before := l.answered.Load()
	time.Sleep(duration)
	return float64(l.answered.Load()-before) / duration.Seconds()
}

// slowestWrite has an operator write repeatedly for the given time, and returns the duration of the slowest write and the number
// of acknowledged ones. Each write applies to any version and is repeated until it is acknowledged.
func slowestWrite(f *fleet, duration time.Duration, version *atomic.Uint64, quotas string) (slowest time.Duration, written int) {
	o := f.operator()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		start := time.Now()
		number := version.Add(1)
		for !o.isTaken(fmt.Sprintf("%d\n%s", number, quotas), fmt.Sprint("write", number)) {
			if time.Since(start) > 10*time.Second {
				return time.Since(start), written
			}
		}
		slowest = max(slowest, time.Since(start))
		written++
	}
	return slowest, written
}

// isTaken writes a document once and reports whether the write was acknowledged.
func (o *operator) isTaken(document, id string) bool {
	return o.write(&coreapi.WriteRequest{ID: id, AnyVersion: true, Raw: []byte(document)}).code == 200
}

// The primary is overloaded. Operators' writes are still acknowledged in time, and soon after the cause of the overload is
// gone, the rate of transfers is as high as before.
func TestPrimaryUnderOverload(t *testing.T) {
	for _, test := range []struct {
		name     string
		begin    func(f *fleet, load *quotaLoad, primary *coreProc)
		end      func(f *fleet, primary *coreProc)
		maxWrite time.Duration
	}{
		{"primary's disk slowed tenfold", func(_ *fleet, _ *quotaLoad, primary *coreProc) { primary.disk.Slow(100 * time.Millisecond) },
			func(_ *fleet, primary *coreProc) { primary.disk.Slow(0) }, 350 * time.Millisecond},
		{"a crowd of new holders", func(_ *fleet, load *quotaLoad, _ *coreProc) { load.addHolders(300) }, func(*fleet, *coreProc) {}, 50 * time.Millisecond},
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
					t.Fatal("the first configuration was not acknowledged")
				}
				load := &quotaLoad{f: f}
				load.addHolders(300)
				time.Sleep(recoveryDuration)
				before := load.rate(measureDuration)
				primary := f.primary()
				test.begin(f, load, primary)
				slowest, written := slowestWrite(f, triggerDuration, &version, quotas.String())
				test.end(f, primary)
				if slowest > test.maxWrite || written == 0 {
					t.Errorf("got %d acknowledged writes, the slowest after %s, want at least one and each within %s", written, slowest, test.maxWrite)
				}
				time.Sleep(recoveryDuration)
				if after := load.rate(measureDuration); after < 0.9*before {
					t.Errorf("got %.0f transfers/s after the overload, want at least 90%% of %.0f", after, before)
				} else {
					t.Logf("%.0f transfers/s before, %.0f after; slowest of %d writes %s", before, after, written, slowest)
				}
			})
		})
	}
}
