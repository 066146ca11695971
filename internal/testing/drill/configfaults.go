package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/fleetconfig"
)

// putConfig writes a config and records the answer. The number, as its queue limit, makes the config differ from all
// others.
func (d *Day) putConfig(ctx context.Context, config object, number int, ifMatch string) ConfigWrite {
	config = maps.Clone(config)
	limits := object{}
	if old, ok := config["limits"].(object); ok {
		limits = maps.Clone(old)
	}
	limits["queue"] = 1000 + number
	config["limits"] = limits
	raw, _ := json.Marshal(config)
	return d.sendConfig(ctx, "PUT", raw, ifMatch, fleetconfig.HashKey(string(raw)))
}

// sendConfig sends a write to some router and records its result as evidence. The hash is that of the config that results.
func (d *Day) sendConfig(ctx context.Context, method string, raw []byte, ifMatch, hash string) ConfigWrite {
	write := ConfigWrite{SentAt: time.Now(), Hash: hash}
	code, response, err := d.fleet.CallOperatorAPI(ctx, method, d.fleet.Routers[int(time.Now().UnixNano())%len(d.fleet.Routers)].OperatorAddr, "/v1/layout", raw, map[string]string{"If-Match": ifMatch})
	write.AnsweredAt, write.Version = time.Now(), gjson.GetBytes(response, "sequence").Uint()
	if err == nil {
		write.Code = code
	}
	d.monitor.record(func(ev *Evidence) { ev.ConfigWrites = append(ev.ConfigWrites, write) })
	return write
}

// nextNumber returns a number that the day has not used yet.
func (d *Day) nextNumber() int {
	d.lastNumber++
	return d.lastNumber
}

// writeConfigs makes three conflicting writes at once, a burst of writes, an invalid write and a partial write.
func (d *Day) writeConfigs(ctx context.Context) {
	_, raw, _ := d.fleet.CallOperatorAPI(ctx, "GET", d.pickRouter().OperatorAddr, "/v1/fleet", nil, nil)
	version := strconv.FormatUint(gjson.GetBytes(raw, "sequence").Uint(), 10)
	var writes sync.WaitGroup
	for range 3 {
		number := d.nextNumber()
		writes.Go(func() { d.putConfig(ctx, d.config, number, version) }) // one of the three succeeds
	}
	writes.Wait()
	runloop.Sleep(ctx, time.Second) // long enough to observe a rejected config that takes effect all the same
	for range 8 {
		d.putConfig(ctx, d.config, d.nextNumber(), "*")
	}
	d.sendConfig(ctx, "PUT", []byte(`{"lanes":7}`), "*", "bad")
	// The whole config that results from a partial write is known only once it is read back.
	patch := d.sendConfig(ctx, "PATCH", []byte(fmt.Sprintf(`{"limits":{"queue":%d}}`, 1000+d.nextNumber())), "*", "patch")
	if patch.Code == 200 {
		_, config, _ := d.fleet.CallOperatorAPI(ctx, "GET", d.pickRouter().OperatorAddr, fmt.Sprintf("/v1/layout?sequence=%d", patch.Version), nil, nil)
		d.monitor.record(func(ev *Evidence) {
			for i := range ev.ConfigWrites {
				if ev.ConfigWrites[i].Version == patch.Version && ev.ConfigWrites[i].Hash == "patch" {
					ev.ConfigWrites[i].Hash = fleetconfig.HashKey(string(config))
				}
			}
		})
	}
	runloop.Sleep(ctx, 3*time.Second)
}

// revokeKey removes the keys of a tenant for 4 s.
func (d *Day) revokeKey(ctx context.Context) {
	name := tenantNames(d.fleet.Mix)[5]
	config := maps.Clone(d.config)
	tenants := maps.Clone(config["tenants"].(object))
	keyless := maps.Clone(tenants[name].(object))
	keyless["keys"] = []string{}
	tenants[name] = keyless
	config["tenants"] = tenants
	from := d.putUntilAcknowledged(ctx, config)
	runloop.Sleep(ctx, 4*time.Second)
	to := time.Now()
	d.putUntilAcknowledged(ctx, d.config)
	d.monitor.record(func(ev *Evidence) { ev.KeyRevocations = append(ev.KeyRevocations, KeyRevocation{name, from, to}) })
}

// putUntilAcknowledged repeats a write until it is acknowledged, and returns the time of the acknowledgement.
func (d *Day) putUntilAcknowledged(ctx context.Context, config object) time.Time {
	var write ConfigWrite
	d.waitUntil(ctx, recoveryLimit, "a write is acknowledged", func() bool {
		write = d.putConfig(ctx, config, d.nextNumber(), "*")
		return write.Code == 200
	})
	return write.AnsweredAt
}
