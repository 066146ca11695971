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

// putConfig writes a config with a mark of its own, and notes what the operator was told.
func (d *Day) putConfig(ctx context.Context, config object, mark int, match string) ConfigWrite {
	config = maps.Clone(config)
	limits := object{}
	if old, ok := config["limits"].(object); ok {
		limits = maps.Clone(old)
	}
	limits["queue"] = 1000 + mark
	config["limits"] = limits
	raw, _ := json.Marshal(config)
	return d.sendConfig(ctx, "PUT", raw, match, fleetconfig.HashKey(string(raw)))
}

func (d *Day) sendConfig(ctx context.Context, method string, raw []byte, match, hash string) ConfigWrite {
	e := ConfigWrite{SentAt: time.Now(), Hash: hash}
	code, response, err := d.fleet.Ask(ctx, method, d.fleet.Routers[int(time.Now().UnixNano())%len(d.fleet.Routers)].Operator, "/v1/layout", raw, map[string]string{"If-Match": match})
	e.AnsweredAt, e.Version = time.Now(), gjson.GetBytes(response, "sequence").Uint()
	if err == nil {
		e.Code = code
	}
	d.watch.note(func(ev *Evidence) { ev.ConfigWrites = append(ev.ConfigWrites, e) })
	return e
}

func (d *Day) nextMark() int {
	d.marks++
	return d.marks
}

func (d *Day) writeConfigs(ctx context.Context) {
	_, raw, _ := d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, "/v1/fleet", nil, nil)
	at := strconv.FormatUint(gjson.GetBytes(raw, "sequence").Uint(), 10)
	var all sync.WaitGroup
	for range 3 {
		m := d.nextMark()
		all.Go(func() { d.putConfig(ctx, d.config, m, at) }) // one of them wins
	}
	all.Wait()
	runloop.Sleep(ctx, time.Second) // a loser that took effect would be seen
	for range 8 {
		d.putConfig(ctx, d.config, d.nextMark(), "*")
	}
	d.sendConfig(ctx, "PUT", []byte(`{"lanes":7}`), "*", "bad")
	// A part: what it makes of the whole is known once it is read back.
	patch := d.sendConfig(ctx, "PATCH", []byte(fmt.Sprintf(`{"limits":{"queue":%d}}`, 1000+d.nextMark())), "*", "patch")
	if patch.Code == 200 {
		_, whole, _ := d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, fmt.Sprintf("/v1/layout?sequence=%d", patch.Version), nil, nil)
		d.watch.note(func(ev *Evidence) {
			for i := range ev.ConfigWrites {
				if ev.ConfigWrites[i].Version == patch.Version && ev.ConfigWrites[i].Hash == "patch" {
					ev.ConfigWrites[i].Hash = fleetconfig.HashKey(string(whole))
				}
			}
		})
	}
	runloop.Sleep(ctx, 3*time.Second)
}

func (d *Day) withdrawKey(ctx context.Context) {
	who := tenantNames(d.fleet.Mix)[5]
	config := maps.Clone(d.config)
	tenant := maps.Clone(config["tenants"].(object))
	less := maps.Clone(tenant[who].(object))
	less["keys"] = []string{}
	tenant[who] = less
	config["tenants"] = tenant
	from := d.putUntilAcknowledged(ctx, config)
	runloop.Sleep(ctx, 4*time.Second)
	to := time.Now()
	d.putUntilAcknowledged(ctx, d.config)
	d.watch.note(func(ev *Evidence) { ev.KeyWithdrawals = append(ev.KeyWithdrawals, KeyWithdrawal{who, from, to}) })
}

// putUntilAcknowledged writes until it is acknowledged, and tells when it was.
func (d *Day) putUntilAcknowledged(ctx context.Context, config object) time.Time {
	var e ConfigWrite
	d.waitUntil(ctx, restLimit, "a write is acknowledged", func() bool {
		e = d.putConfig(ctx, config, d.nextMark(), "*")
		return e.Code == 200
	})
	return e.AnsweredAt
}
