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

// How operators go about it.
const (
	callTimeout  = 900 * time.Millisecond // of one try
	orderTimeout = 8 * time.Second        // of an order with all its tries
)

// operator changes and reads the configuration, through two clients in turn: an order whose answer was lost is sent again
// by another way.
type operator struct {
	fleet   *fleet
	number  int
	clients [2]*coreclient.Client
	known   uint64 // the newest version that it knows of
	orders  int
}

// newOperator makes an operator on machines of its own.
func (f *fleet) newOperator(number int) *operator {
	o := &operator{fleet: f, number: number}
	for i := range o.clients {
		network, _ := f.world.Net(operatorAddr(number, i))
		where := daemon.Context{Context: f.ctx, Name: "operator", Log: f.log, Net: network}
		o.clients[i] = coreclient.NewClient(where, wire.NewCaller(network), f.seeds())
	}
	return o
}

// work reads and writes until the time is up. The first operator reads most of the time.
func (o *operator) work(until time.Time) {
	writes, pause := 30, 150*time.Millisecond
	if o.number == 0 {
		writes, pause = 3, 40*time.Millisecond
	}
	for time.Now().Before(until) {
		if o.fleet.chance(100) < writes {
			o.write(o.base())
		} else {
			o.read()
		}
		time.Sleep(time.Duration(o.fleet.chance(int(pause))))
	}
}

// base is the version that the next order builds on: now and then an old one, which loses.
func (o *operator) base() uint64 {
	if o.known > 0 && o.fleet.chance(10) == 0 {
		return o.known - 1
	}
	return o.known
}

// read reads the configuration once, and reports whether it could.
func (o *operator) read() bool {
	begun := o.fleet.history.begin()
	ctx, cancel := context.WithTimeout(o.fleet.ctx, callTimeout)
	defer cancel()
	var config coreapi.StoredConfig
	client := o.clients[o.fleet.chance(len(o.clients))]
	if client.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &config, true) != nil {
		return false
	}
	o.known = max(o.known, config.Version)
	o.fleet.history.end(o.number, begun, operation{kind: readConfig}, result{version: config.Version, value: string(config.Raw)})
	return true
}

// write sends one order, again and again until it gets a clear answer, and tells what came of it.
func (o *operator) write(base uint64) outcome {
	o.orders++
	quota := leastQuota + quotaStep*o.fleet.chance(quotasOfWrite)
	spent := spentLimits[o.fleet.chance(len(spentLimits))]
	value := fmt.Sprintf(`{"limits":{"queue":%d},`+quotaFormat+`}`, 1000*(o.number+1)+o.orders, quota, spent.units)
	asked := operation{kind: writeConfig, base: base, value: value, quota: quota}
	request := coreapi.WriteRequest{ID: fmt.Sprintf("order-%d-%d", o.number, o.orders), BaseVersion: base, Raw: []byte(value)}
	begun := o.fleet.history.begin()
	told := result{outcome: notTaken}
	for deadline := time.Now().Add(orderTimeout); time.Now().Before(deadline); {
		next := o.try(&request)
		if next.outcome == done || next.outcome == raceLost || next.outcome == unexpected {
			told = next
			break
		}
		if next.outcome == inDoubt {
			told = next
		}
		time.Sleep(time.Duration(o.fleet.chance(int(200 * time.Millisecond))))
	}
	if told.outcome == unexpected {
		o.fleet.history.fail("order %s on version %d was answered %s", request.ID, base, told.value)
	}
	if told.outcome == done {
		o.known = max(o.known, told.version)
	}
	o.fleet.history.end(o.number, begun, asked, told)
	return told.outcome
}

// try sends an order once.
func (o *operator) try(request *coreapi.WriteRequest) result {
	ctx, cancel := context.WithTimeout(o.fleet.ctx, callTimeout)
	defer cancel()
	var response coreapi.WriteResponse
	err := o.clients[o.fleet.chance(len(o.clients))].Call(ctx, "core.write", request, &response, true)
	switch {
	case err != nil && coreapi.IsOutcomeUnknown(err):
		return result{outcome: inDoubt}
	case err != nil:
		return result{outcome: notTaken}
	case response.Code == 200:
		return result{outcome: done, version: response.Version}
	case response.Code == 412:
		o.known = max(o.known, response.Version)
		return result{outcome: raceLost, version: response.Version}
	}
	return result{outcome: unexpected, value: fmt.Sprint(response.Code, response.Errors)}
}
