package leadership

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/view"
)

const testTerm = time.Second

// viewOfThree returns a view with the primary a and the other members b and c.
func viewOfThree(epoch uint64) view.View {
	return view.View{Epoch: epoch, Primary: "a", Members: []view.Member{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}, {ID: "c", Addr: "3"}}}
}

// A process must not lead an epoch that began before this run, that was ended, or that was current when the disk was reread.
func TestMayLead(t *testing.T) {
	l := New(testTerm, 1, 4)
	for _, step := range []struct {
		name      string
		action    func()
		lastEnded uint64
	}{
		{"at the start", func() {}, 4},
		{"after an epoch was ended", func() { l.EndEpoch(6) }, 6},
		{"after an older epoch was ended", func() { l.EndEpoch(5) }, 6},
		{"after the disk recovered", func() { l.FailDisk(); l.RecoverDisk(8) }, 8},
	} {
		step.action()
		if l.MayLead(step.lastEnded) || !l.MayLead(step.lastEnded+1) {
			t.Errorf("%s: may lead epoch %d: %v, epoch %d: %v; want only the latter", step.name,
				step.lastEnded, l.MayLead(step.lastEnded), step.lastEnded+1, l.MayLead(step.lastEnded+1))
		}
	}
}

// An epoch begins once, without writes. Leadership continues only if the process led the epoch immediately before.
func TestBeginEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(testTerm, 1, 0)
		start := time.Now()
		for _, step := range []struct {
			epoch            uint64
			began, continued bool
		}{{3, true, false}, {3, false, false}, {4, true, true}, {6, true, false}} {
			time.Sleep(100 * time.Millisecond)
			began, continued := l.BeginEpoch(step.epoch)
			if began != step.began || continued != step.continued {
				t.Errorf("epoch %d: got began %v, continued %v, want %v, %v", step.epoch, began, continued, step.began, step.continued)
			}
			if began && l.IsReady() {
				t.Errorf("epoch %d began with writes accepted", step.epoch)
			}
			l.BeginWrites()
		}
		if got, want := l.State().LedSince.Sub(start), 400*time.Millisecond; got != want {
			t.Errorf("got leadership since %s, want %s", got, want)
		}
	})
}

// The lease is held only with grants from a majority, for the epoch that the process leads, and while its disk has not failed.
func TestHoldsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(testTerm, 1, 0)
		l.BeginEpoch(3)
		state := l.State()
		state.Lease.RecordGrant("a", time.Now())
		if l.HoldsLease(viewOfThree(3)) {
			t.Error("got the lease held with one grant of three, want it not held")
		}
		state.Lease.RecordGrant("b", time.Now())
		if !l.HoldsLease(viewOfThree(3)) || l.HoldsLease(viewOfThree(4)) {
			t.Errorf("got epoch 3 held: %v, epoch 4: %v; want only the former", l.HoldsLease(viewOfThree(3)), l.HoldsLease(viewOfThree(4)))
		}
		if first, _ := l.FailDisk(); !first || l.HoldsLease(viewOfThree(3)) || !l.HasDiskFailed() {
			t.Errorf("after the disk failed (reported as the first failure: %v): want the first failure, no lease held and the disk failed", first)
		}
		if first, _ := l.FailDisk(); first {
			t.Error("a second failure of the disk was reported as the first one")
		}
	})
}

// A primary out of contact with a majority only pings. One that is in contact but gets no lease for long pauses its renewals,
// then resumes them.
func TestNextRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, v := New(testTerm, 7, 0), viewOfThree(3)
		if _, due := l.NextRenewal(v, "a"); due {
			t.Error("a renewal is due before the process leads the epoch")
		}
		l.BeginEpoch(3)
		first, due := l.NextRenewal(v, "a")
		if !due || !first.InContact || first.Request.PrimaryRun != 7 {
			t.Errorf("got %+v, due %v, want a lease request of run 7", first, due)
		}
		if _, due := l.NextRenewal(v, "b"); due {
			t.Error("a renewal is due at a member that is not the primary")
		}
		time.Sleep(testTerm)
		second, due := l.NextRenewal(v, "a")
		if !due || second.InContact || second.Request.Round <= first.Request.Round {
			t.Errorf("out of contact: got %+v, due %v, want a ping in a later round than %d", second, due, first.Request.Round)
		}
		paused, resumed := false, false
		for range 100 {
			time.Sleep(testTerm / 10)
			for _, id := range []string{"a", "b"} {
				l.State().Lease.RecordContact(id)
			}
			_, due := l.NextRenewal(v, "a")
			paused = paused || !due
			resumed = resumed || paused && due
		}
		if !paused || !resumed {
			t.Errorf("no lease for ten terms: got paused %v, resumed %v, want both", paused, resumed)
		}
	})
}

// After a handover the primary uses no grant of its lease, not even one that was in flight, and requests no lease for one
// term.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, v := New(testTerm, 1, 0), viewOfThree(3)
		l.BeginEpoch(3)
		if _, ok := l.HandOver(3); ok {
			t.Error("got a handover by a primary that does not accept writes, want none")
		}
		l.BeginWrites()
		renewal, _ := l.NextRenewal(v, "a")
		for _, id := range []string{"a", "b"} {
			renewal.Lease.RecordGrant(id, time.Now())
		}
		if !l.HoldsLease(v) {
			t.Fatal("got no lease before the handover, want one")
		}
		if _, ok := l.HandOver(2); ok || !l.IsReady() {
			t.Error("got a handover of another epoch, want none")
		}
		round, ok := l.HandOver(3)
		if !ok || round <= renewal.Request.Round {
			t.Errorf("got handover %t in round %d, want one later than %d", ok, round, renewal.Request.Round)
		}
		renewal.Lease.RecordGrant("c", time.Now()) // was in flight during the handover
		if l.HoldsLease(v) || l.IsReady() {
			t.Errorf("after the handover: got lease held %t, writes accepted %t, want neither", l.HoldsLease(v), l.IsReady())
		}
		time.Sleep(testTerm - time.Millisecond)
		if _, due := l.NextRenewal(v, "a"); due {
			t.Error("got a renewal due within a term of the handover, want none")
		}
		time.Sleep(time.Millisecond)
		if _, due := l.NextRenewal(v, "a"); !due {
			t.Error("got no renewal due a term after the handover, want one: the backup may have failed")
		}
	})
}
