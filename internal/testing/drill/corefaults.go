package drill

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// primaryCore waits until there is a primary and returns it.
func (d *Day) primaryCore(ctx context.Context) *Proc {
	p := d.fleet.Cores[0]
	d.waitUntil(ctx, recoveryLimit, "there is a primary", func() bool {
		primary := d.fleet.Primary(ctx)
		if primary != nil {
			p = primary
		}
		return primary != nil
	})
	return p
}

func (d *Day) killPrimaryAndBackup(ctx context.Context) {
	primary := d.primaryCore(ctx)
	// Down long enough that a fleet that does not replace the primary is observed without one.
	d.killAndRestart(ctx, "the primary killed", 18*time.Second, []*Proc{primary})
	d.waitReady(ctx, "all is well between")
	_, raw, _ := d.fleet.CallOperatorAPI(ctx, "GET", d.primaryCore(ctx).OperatorAddr, "/v1/standing", nil, nil)
	backup := gjson.GetBytes(raw, "view.backup").Str
	procs := []*Proc{d.primaryCore(ctx)}
	for _, c := range d.fleet.Cores {
		if gjson.GetBytes(raw, `view.members.#(id=="`+backup+`").addr`).Str == c.Addr {
			procs = append(procs, c)
		}
	}
	d.killAndRestart(ctx, "primary and backup killed", time.Second, procs)
}

func (d *Day) killCores(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every core killed", time.Second, d.fleet.Cores)
}

// wipePrimaryDisk kills the primary right after an acknowledged write and removes its data before it restarts.
func (d *Day) wipePrimaryDisk(ctx context.Context) {
	primary := d.primaryCore(ctx)
	d.putUntilAcknowledged(ctx, d.config)
	d.recordFault("the primary's disk lost")
	primary.Kill()
	if err := os.RemoveAll(filepath.Join(d.fleet.Dir, primary.Name)); err != nil {
		d.err = err
	}
	if err := primary.Start(); err != nil {
		d.err = err
	}
}

// replaceCore kills a core for good and starts a core without data at a new address to replace it.
func (d *Day) replaceCore(ctx context.Context, i int) {
	old := d.fleet.Cores[i]
	replacement, err := d.fleet.NewCore(fmt.Sprintf("%s-%d", strings.TrimRight(old.Name, "-0123456789"), 10+d.nextNumber()), old.Zone)
	if err == nil {
		err = replacement.Start()
	}
	if err != nil {
		d.err = err
		return
	}
	old.Kill()
	d.fleet.Cores[i] = replacement
	d.waitUntil(ctx, 2*recoveryLimit, replacement.Name+" has the seat of "+old.Name, func() bool {
		_, raw, _ := d.fleet.CallOperatorAPI(ctx, "GET", d.fleet.Routers[0].OperatorAddr, "/v1/fleet", nil, nil)
		members := gjson.GetBytes(raw, "view.members.#.addr").String()
		return strings.Contains(members, replacement.Addr) && !strings.Contains(members, old.Addr)
	})
}

func (d *Day) replaceAllCores(ctx context.Context) {
	for i := range d.fleet.Cores {
		d.replaceCore(ctx, i)
	}
}

func (d *Day) replaceOneCore(ctx context.Context) {
	d.replaceCore(ctx, d.random.IntN(len(d.fleet.Cores)))
}
