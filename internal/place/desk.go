package place

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"yarrowridge/internal/allow"
	"yarrowridge/internal/env"
	"yarrowridge/internal/runner"
)

// Why a wait ended without a runner.
var (
	ErrPatience = errors.New("place: patience ran out")
	ErrFull     = errors.New("place: queue is full")
	ErrGone     = errors.New("place: the origin left")
)

// Wait is one query's wait for a runner.
type Wait struct {
	Kind   string // pool and model
	Lane   string
	Rank   int
	Ten    int
	Tokens int
	Quiet  time.Duration // how long its answer takes before anything of it is sent
	Keys   []uint64
	Could  func() []*runner.Instance // runners that serve this query
	Skip   map[int]bool              // runs tried already
	Check  func() error              // asked again before it goes; an error ends the wait

	ch   chan *runner.Slot
	over bool // set under the desk's lock: given a runner, or ended
	out  error
}

// line is one kind's queue in one rank: first in first out for a tenant, in turn between tenants.
type line struct {
	rank int
	kind string
	tens map[int][]*Wait
	turn []int
}

// Desk holds the queues and nominates.
type Desk struct {
	hall string
	mem  *Memory
	bell chan struct{}
	mu   sync.Mutex
	all  []*line // by rank, then kind
	n    int

	// Habits tells what the queries of a lane come to, of what they ask for.
	Habits *allow.Habits
}

// NewDesk makes a desk for a router of the hall.
//
//	d := place.NewDesk("north", place.NewMemory(1<<18))
func NewDesk(hall string, mem *Memory) *Desk {
	return &Desk{hall: hall, mem: mem, bell: make(chan struct{}, 1), Habits: allow.NewHabits()}
}

// Wake has the desk look again: a runner may have room.
//
//	desk.Wake()
func (d *Desk) Wake() {
	select {
	case d.bell <- struct{}{}:
	default:
	}
}

// Run nominates until the context ends.
//
//	go desk.Run(ctx)
func (d *Desk) Run(ctx context.Context) {
	env.Loop(ctx, d.bell, 50*time.Millisecond, func(struct{}) { d.pump() }, d.pump)
}

// Waiting tells how many queries wait, and the tokens that those of each kind will come to.
//
//	n, sum := desk.Waiting()
func (d *Desk) Waiting() (int, map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int{}
	for _, l := range d.all {
		for _, q := range l.tens {
			for _, w := range q {
				out[l.kind] += d.Habits.Expect(w.Lane, w.Tokens)
			}
		}
	}
	return d.n, out
}

// Ahead tells the tokens of those waiting for a kind that would go before a newcomer: all of higher ranks,
// in its own rank all of its tenant's and, since tenants take turns, as many queries of each other
// tenant as it must itself wait turns.
//
//	n := desk.Ahead("fit/lumen", 3, ten)
func (d *Desk) Ahead(kind string, rank, ten int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, l := range d.all {
		if l.kind != kind || l.rank > rank {
			continue
		}
		turns := len(l.tens[ten]) + 1
		for who, q := range l.tens {
			for i, w := range q {
				if l.rank < rank || who == ten || i < turns {
					sum += d.Habits.Expect(w.Lane, w.Tokens)
				}
			}
		}
	}
	return sum
}

// Enter waits for a runner, for at most patience. most bounds all queues of this router together:
// beyond it the newest of the lowest rank is bounced, be it this one or another.
//
//	seat, err := desk.Enter(ctx, w, 2*time.Second, 1000)
func (d *Desk) Enter(ctx context.Context, w *Wait, patience time.Duration, most int) (*runner.Slot, error) {
	w.ch = make(chan *runner.Slot, 1)
	w.over, w.out = false, nil
	d.mu.Lock()
	if d.n >= most && !d.evict(w.Rank) {
		d.mu.Unlock()
		return nil, ErrFull
	}
	d.add(w)
	d.mu.Unlock()
	d.Wake()
	t := time.NewTimer(patience)
	defer t.Stop()
	var err error
	select {
	case e := <-w.ch:
		if e == nil {
			return nil, w.out
		}
		return e, nil
	case <-t.C:
		err = ErrPatience
	case <-ctx.Done():
		err = ErrGone
	}
	d.mu.Lock()
	if !w.over {
		d.cut(w)
		d.mu.Unlock()
		return nil, err
	}
	d.mu.Unlock()
	e := <-w.ch
	if e == nil {
		return nil, w.out
	}
	if err == ErrGone {
		e.Release(false)
		d.Wake()
		return nil, ErrGone
	}
	return e, nil
}

func (d *Desk) line(rank int, kind string) *line {
	i := sort.Search(len(d.all), func(i int) bool {
		l := d.all[i]
		return l.rank > rank || l.rank == rank && l.kind >= kind
	})
	if i < len(d.all) && d.all[i].rank == rank && d.all[i].kind == kind {
		return d.all[i]
	}
	l := &line{rank: rank, kind: kind, tens: map[int][]*Wait{}}
	d.all = append(d.all, nil)
	copy(d.all[i+1:], d.all[i:])
	d.all[i] = l
	return l
}

func (d *Desk) add(w *Wait) {
	l := d.line(w.Rank, w.Kind)
	if len(l.tens[w.Ten]) == 0 {
		l.turn = append(l.turn, w.Ten)
	}
	l.tens[w.Ten] = append(l.tens[w.Ten], w)
	d.n++
}

// cut takes a wait out of its line; the caller holds the lock.
func (d *Desk) cut(w *Wait) {
	l := d.line(w.Rank, w.Kind)
	q := l.tens[w.Ten]
	for i := range q {
		if q[i] == w {
			l.tens[w.Ten] = append(q[:i:i], q[i+1:]...)
			break
		}
	}
	if len(l.tens[w.Ten]) == 0 {
		delete(l.tens, w.Ten)
		for i, t := range l.turn {
			if t == w.Ten {
				l.turn = append(l.turn[:i:i], l.turn[i+1:]...)
				break
			}
		}
	}
	if len(l.turn) == 0 {
		for i, o := range d.all {
			if o == l {
				d.all = append(d.all[:i:i], d.all[i+1:]...)
				break
			}
		}
	}
	d.n--
	w.over = true
}

// evict bounces the newest wait of the lowest rank below the newcomer's.
func (d *Desk) evict(rank int) bool {
	for i := len(d.all) - 1; i >= 0; i-- {
		l := d.all[i]
		if l.rank <= rank {
			return false
		}
		var big []*Wait
		for _, q := range l.tens {
			if len(q) > len(big) {
				big = q
			}
		}
		if len(big) > 0 {
			w := big[len(big)-1]
			d.cut(w)
			w.out = ErrFull
			close(w.ch)
			return true
		}
	}
	return false
}

// pump gives room to those who wait: by rank, and in turn between the tenants of a rank.
func (d *Desk) pump() {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A runner found without room stays so for the round: were it looked at again, room that has
	// just come free would go to a lower rank than the one that was turned away.
	full := map[int]bool{}
	for _, l := range append([]*line(nil), d.all...) {
		for miss := 0; len(l.turn) > 0 && miss < len(l.turn); {
			ten := l.turn[0]
			w := l.tens[ten][0]
			if w.Check != nil {
				if err := w.Check(); err != nil {
					l.turn = append(l.turn[1:], ten)
					d.cut(w)
					w.out = err
					close(w.ch)
					miss = 0
					continue
				}
			}
			e := d.pick(w, full)
			if e == nil {
				miss++
				l.turn = append(l.turn[1:], ten)
				continue
			}
			miss = 0
			l.turn = append(l.turn[1:], ten)
			d.cut(w)
			w.ch <- e
		}
	}
}

func (d *Desk) pick(w *Wait, full map[int]bool) *runner.Slot {
	var all []One
	for _, e := range w.Could() {
		if w.Skip[e.Index] || full[e.Index] {
			continue
		}
		if e.Health() != "" || !e.HasRoom() {
			full[e.Index] = true
			continue
		}
		n, room := e.Load()
		all = append(all, One{Entry: e, Idx: e.Index, Addr: e.Addr, Home: e.Zone() == d.hall, Load: n, Room: room})
	}
	depth := d.mem.Match(w.Keys)
	for len(all) > 0 {
		i := Nominate(w.Keys, all, depth)
		if i < 0 {
			return nil
		}
		e := all[i].Entry
		if s := e.Acquire(w.Tokens, w.Quiet); s != nil {
			d.mem.Note(w.Keys, e.Index)
			return s
		}
		full[e.Index] = true
		all = append(all[:i], all[i+1:]...)
	}
	return nil
}
