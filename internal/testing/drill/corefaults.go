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
	d.waitUntil(ctx, restLimit, "there is a primary", func() bool {
		lead := d.fleet.Primary(ctx)
		if lead != nil {
			p = lead
		}
		return lead != nil
	})
	return p
}

func (d *Day) killPrimary(ctx context.Context) {
	lead := d.primaryCore(ctx)
	// Long enough that a fleet which does not replace it is seen to be without.
	d.killAndRestart(ctx, "the primary killed", 18*time.Second, []*Proc{lead})
	d.waitReady(ctx, "all is well between")
	_, raw, _ := d.fleet.Ask(ctx, "GET", d.primaryCore(ctx).Operator, "/v1/standing", nil, nil)
	back := gjson.GetBytes(raw, "view.backup").Str
	dead := []*Proc{d.primaryCore(ctx)}
	for _, c := range d.fleet.Cores {
		if gjson.GetBytes(raw, `view.members.#(id=="`+back+`").addr`).Str == c.Addr {
			dead = append(dead, c)
		}
	}
	d.killAndRestart(ctx, "primary and backup killed", time.Second, dead)
}

func (d *Day) killCores(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every core killed", time.Second, d.fleet.Cores)
}

func (d *Day) wipePrimaryDisk(ctx context.Context) {
	lead := d.primaryCore(ctx)
	d.putUntilAcknowledged(ctx, d.config)
	d.noteFault("the primary's disk lost")
	lead.Kill()
	if err := os.RemoveAll(filepath.Join(d.fleet.Dir, lead.Name)); err != nil {
		d.err = err
	}
	if err := lead.Start(); err != nil {
		d.err = err
	}
}

// replaceCore puts a blank core at a new address in the place of one that is killed for good.
func (d *Day) replaceCore(ctx context.Context, i int) {
	old := d.fleet.Cores[i]
	p, err := d.fleet.NewCore(fmt.Sprintf("%s-%d", strings.TrimRight(old.Name, "-0123456789"), 10+d.nextMark()), old.Zone)
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		d.err = err
		return
	}
	old.Kill()
	d.fleet.Cores[i] = p
	d.waitUntil(ctx, 2*restLimit, p.Name+" has the seat of "+old.Name, func() bool {
		_, raw, _ := d.fleet.Ask(ctx, "GET", d.fleet.Routers[0].Operator, "/v1/fleet", nil, nil)
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
