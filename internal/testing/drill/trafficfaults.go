package drill

import (
	"context"
	"time"
)

// playBurst adds traffic for 3 s.
func (d *Day) playBurst(ctx context.Context, scale float64, prefixes int) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	d.load.Burst(ctx, scale, prefixes)
}

func (d *Day) burstTraffic(ctx context.Context) { d.playBurst(ctx, 5*d.load.Scale, 0) }

func (d *Day) burstSharedPrefix(ctx context.Context) { d.playBurst(ctx, 2*d.load.Scale, 1) }

// sendRequest sends a request in addition to the load, first to the given router, and returns its number.
func (d *Day) sendRequest(k RequestKind, router int) uint64 {
	number := d.load.lastNumber.Add(1)
	body := k.body(d.fleet.Mix.Model, number, d.random)
	d.requests.Go(func() { d.load.sendWithRetries(k, number, body, tenantNames(d.fleet.Mix)[1], router) })
	return number
}
