package view

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// Call reaches a voter by address.
type Call func(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error

// ErrLost means the try did not decide anything that we know of: too few voters answered,
// another ballot went ahead, or the primary's lease still stands.
var ErrLost = errors.New("view: not decided")

// Try is one proposer's try at the epoch after Cur.
type Try struct {
	Me   string
	Call Call
	Cur  View
	Next View
	All  bool          // founding: every founder must have vowed
	Wait time.Duration // for each of the two steps
	Top  uint64        // highest ballot number seen so far
}

type heard struct {
	id  string
	vow Vow
	err error
}

func (t *Try) ask(ctx context.Context, to []Member, kind string, in msgp.Marshaler, enough func(map[string]bool) bool, see func(Vow)) (map[string]bool, error) {
	ctx, end := context.WithTimeout(ctx, t.Wait)
	defer end()
	ch := make(chan heard, len(to))
	for _, m := range to {
		go func() {
			var h heard
			h.id = m.Id
			h.err = t.Call(ctx, m.Addr, kind, in, &h.vow)
			// Another process, or a blank one, at this address has no say for the member.
			if h.err == nil && h.vow.Id != m.Id {
				h.err = eris.Wrapf(ErrLost, "%s: identity %s, %s expected", m.Addr, h.vow.Id, m.Id)
			}
			ch <- h
		}()
	}
	got := map[string]bool{}
	for range to {
		var h heard
		select {
		case h = <-ch:
		case <-ctx.Done(): // a voter of ours may be stuck at its disk
			return got, ErrLost
		}
		if h.err != nil {
			continue
		}
		see(h.vow)
		if h.vow.Ok {
			got[h.id] = true
		}
		if enough(got) {
			return got, nil
		}
	}
	return got, ErrLost
}

// Run makes the try. It returns the view now decided for the epoch, which may be another's,
// or a newer view that a voter knew of; ErrLost where nothing was learnt.
//
//	v, err := (&view.Try{Me: id, Call: call, Cur: cur, Next: next, Wait: time.Second}).Run(ctx)
func (t *Try) Run(ctx context.Context) (View, error) {
	bal := Ballot{N: t.Top + 1, Who: t.Me}
	next := t.Next
	next.Epoch = t.Cur.Epoch + 1
	var best Ballot
	var newer View
	see := func(w Vow) {
		t.Top = max(t.Top, w.Seen.N)
		if w.View.Epoch > t.Cur.Epoch && w.View.Epoch > newer.Epoch {
			newer = w.View
		}
		if w.Ok && w.Acc.N > 0 && best.Less(w.Acc) {
			best, next = w.Acc, w.Next
		}
	}
	enough := t.Cur.Most
	if t.All {
		enough = func(got map[string]bool) bool { return len(got) == len(t.Cur.Members) }
	}
	_, err := t.ask(ctx, t.Cur.Members, "view.prep", &Prep{Cur: t.Cur, Ballot: bal}, enough, see)
	if newer.Epoch > 0 {
		return newer, nil
	}
	if err != nil {
		return View{}, eris.Wrap(err, "view: vows")
	}
	best = Ballot{N: ^uint64(0)} // accepted views no longer change the choice
	to := append([]Member(nil), t.Cur.Members...)
	for _, m := range next.Members {
		if !t.Cur.Has(m.Id) {
			to = append(to, m)
		}
	}
	both := func(got map[string]bool) bool { return t.Cur.Most(got) && next.Most(got) }
	_, err = t.ask(ctx, to, "view.pick", &Pick{Cur: t.Cur, Ballot: bal, Next: next}, both, see)
	if err != nil {
		if newer.Epoch > 0 {
			return newer, nil
		}
		return View{}, eris.Wrap(err, "view: picks")
	}
	return next, nil
}
