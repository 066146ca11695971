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
	// Long enough that a fleet which does not replace it is seen to be without.
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

// replaceCore puts a blank core at a new address in the place of one that is killed for good.
func (d *Day) replaceCore(ctx context.Context, i int) {
	old := d.fleet.Cores[i]
	p, err := d.fleet.NewCore(fmt.Sprintf("%s-%d", strings.TrimRight(old.Name, "-0123456789"), 10+d.nextNumber()), old.Zone)
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		d.err = err
		return
	}
	old.Kill()
	d.fleet.Cores[i] = p
	d.waitUntil(ctx, 2*recoveryLimit, p.Name+" has the seat of "+old.Name, func() bool {
		_, raw, _ := d.fleet.CallOperatorAPI(ctx, "GET", d.fleet.Routers[0].OperatorAddr, "/v1/fleet", nil, nil)
		all := gjson.GetBytes(raw, "view.members.#.addr").String()
		return strings.Contains(all, p.Addr) && !strings.Contains(all, old.Addr)
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
