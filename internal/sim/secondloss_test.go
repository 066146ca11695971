package sim_test

import (
	"testing"
	"time"
)

// A primary that starts again leads on in an epoch of its own: what its last run sent may still be under way, and the
// backups must know it for old.
func TestRestartedPrimaryBeginsAnEpoch(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := grown(t, seed, 5, 1)
		o, b := f.operator(), &book{}
		b.add(o.put(1, 0, ""))
		primary := f.primary()
		before := primary.srv.View()
		f.crashCore(primary)
		f.startCore(primary)
		took := f.within(2*time.Second, "the same core leads again", func() bool { return primary.srv.State().Ready })
		if after := primary.srv.View(); after.Epoch <= before.Epoch {
			t.Errorf("it leads epoch %d again, which its last run led", after.Epoch)
		}
		t.Logf("ready after %s", took)
		f.check(b)
	})
}
