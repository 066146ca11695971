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

// Timeouts of operators.
const (
	callTimeout    = 900 * time.Millisecond // of one attempt
	requestTimeout = 8 * time.Second        // of a request with all its attempts
)

// operator changes and reads the configuration through two clients, chosen at random for each call: a request whose answer
// was lost may be retried from another address.
type operator struct {
	fleet        *fleet
	number       int
	clients      [2]*coreclient.Client
	knownVersion uint64 // the newest version that it has seen
	writeCount   int
}

// newOperator makes an operator with clients on a machine of its own.
func (f *fleet) newOperator(number int) *operator {
	o := &operator{fleet: f, number: number}
	for i := range o.clients {
		network, _ := f.world.Net(operatorAddr(number, i))
		daemonContext := daemon.Context{Context: f.ctx, Name: "operator", Log: f.log, Net: network}
		o.clients[i] = coreclient.NewClient(daemonContext, wire.NewCaller(network), f.seeds())
	}
	return o
}

// work reads and writes until the time is up. The first operator mostly reads.
func (o *operator) work(until time.Time) {
	writes, pause := 30, 150*time.Millisecond
	if o.number == 0 {
		writes, pause = 3, 40*time.Millisecond
	}
	for time.Now().Before(until) {
		if o.fleet.randomBelow(100) < writes {
			o.write(o.chooseBaseVersion())
		} else {
			o.read()
		}
		time.Sleep(time.Duration(o.fleet.randomBelow(int(pause))))
	}
}

// chooseBaseVersion returns the version that the next write builds on: in one of ten cases an old one, which must be
// rejected.
func (o *operator) chooseBaseVersion() uint64 {
	if o.knownVersion > 0 && o.fleet.randomBelow(10) == 0 {
		return o.knownVersion - 1
	}
	return o.knownVersion
}

// read reads the configuration once, and reports whether that succeeded.
func (o *operator) read() bool {
	begun := o.fleet.history.begin()
	ctx, cancel := context.WithTimeout(o.fleet.ctx, callTimeout)
	defer cancel()
	var config coreapi.StoredConfig
	client := o.clients[o.fleet.randomBelow(len(o.clients))]
	if client.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &config, true) != nil {
		return false
	}
	o.knownVersion = max(o.knownVersion, config.Version)
	o.fleet.history.end(o.number, begun, operation{kind: readConfig}, result{version: config.Version, value: string(config.Raw)})
	return true
}

// write retries one write until it gets a definite answer or times out, and returns the outcome.
func (o *operator) write(baseVersion uint64) outcome {
	o.writeCount++
	quota := minQuota + quotaStep*o.fleet.randomBelow(quotaChoices)
	spent := spentLimits[o.fleet.randomBelow(len(spentLimits))]
	value := fmt.Sprintf(`{"limits":{"queue":%d},`+quotaConfigFormat+`}`, 1000*(o.number+1)+o.writeCount, quota, spent.units)
	op := operation{kind: writeConfig, baseVersion: baseVersion, value: value, quota: quota}
	request := coreapi.WriteRequest{ID: fmt.Sprintf("order-%d-%d", o.number, o.writeCount), BaseVersion: baseVersion, Raw: []byte(value)}
	begun := o.fleet.history.begin()
	reported := result{outcome: notExecuted}
	for deadline := time.Now().Add(requestTimeout); time.Now().Before(deadline); {
		next := o.attempt(&request)
		if next.outcome == succeeded || next.outcome == versionConflict || next.outcome == unexpectedAnswer {
			reported = next
			break
		}
		if next.outcome == outcomeUnknown {
			reported = next
		}
		time.Sleep(time.Duration(o.fleet.randomBelow(int(200 * time.Millisecond))))
	}
	if reported.outcome == unexpectedAnswer {
		o.fleet.history.fail("order %s on version %d was answered %s", request.ID, baseVersion, reported.value)
	}
	if reported.outcome == succeeded {
		o.knownVersion = max(o.knownVersion, reported.version)
	}
	o.fleet.history.end(o.number, begun, op, reported)
	return reported.outcome
}

// attempt sends a write once.
func (o *operator) attempt(request *coreapi.WriteRequest) result {
	ctx, cancel := context.WithTimeout(o.fleet.ctx, callTimeout)
	defer cancel()
	var response coreapi.WriteResponse
	err := o.clients[o.fleet.randomBelow(len(o.clients))].Call(ctx, "core.write", request, &response, true)
	switch {
	case err != nil && coreapi.IsOutcomeUnknown(err):
		return result{outcome: outcomeUnknown}
	case err != nil:
		return result{outcome: notExecuted}
	case response.Code == 200:
		return result{outcome: succeeded, version: response.Version}
	case response.Code == 412:
		o.knownVersion = max(o.knownVersion, response.Version)
		return result{outcome: versionConflict, version: response.Version}
	}
	return result{outcome: unexpectedAnswer, value: fmt.Sprint(response.Code, response.Errors)}
}
