package sim_test

import (
	"context"
	"testing"
	"time"

	"yarrowridge/internal/core"
)

// The answer to a beat holds the view only where the router does not know it.
func TestViewIsToldOnce(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		beat := func(known uint64) core.Told {
			ctx, end := context.WithTimeout(f.ctx, 5*time.Second)
			defer end()
			var told core.Told
			in := core.Beat{Node: core.Node{Name: "n", Hall: "h", Addr: o.addr, Born: 7}, ViewEpoch: known}
			if err := o.cli.Call(ctx, "core.beat", &in, &told, true); err != nil {
				t.Fatal(err)
			}
			return told
		}
		first := beat(0).View
		if first.Epoch == 0 || first.Addr(first.Prime) == "" {
			t.Fatalf("a router that knows no view was told %+v", first)
		}
		if again := beat(first.Epoch).View; again.Epoch != 0 || len(again.Members) != 0 {
			t.Errorf("a view that was known was told again: %+v", again)
		}
		if older := beat(first.Epoch + 1).View; older.Epoch != first.Epoch {
			t.Errorf("a router with another view was told %+v", older)
		}
	})
}
