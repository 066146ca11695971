package origin

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"yarrowridge/internal/env"
	"yarrowridge/internal/node"
	"yarrowridge/internal/request"
	"yarrowridge/internal/runner"
)

// carry is what the runs of one stream have in common: its pieces, and the origin it is shown to.
type carry struct {
	id   string // of the stream: the first run's query
	st   *node.Stream
	to   *outlet         // nil where the origin is to come by itself
	life context.Context // of all runs
	die  context.CancelCauseFunc
	left *time.Timer // runs once the origin is gone
}

func (y *way) newCarry() *carry {
	c := &carry{id: y.q.ID, to: y.outlet()}
	c.life, c.die = context.WithCancelCause(y.f.Ctx) // it runs on without its origin, not without its router
	return c
}

// open begins the stream with its first run's headers.
func (c *carry) open(y *way, ans *http.Response) {
	var q *node.StreamQuery
	if y.lane.Repeat {
		head := runner.ForwardedHeader(y.r.Header)
		head.Del("Authorization")
		q = &node.StreamQuery{Method: y.r.Method, Path: y.r.URL.RequestURI(), Head: head, Body: y.body, Key: y.key}
	}
	c.st = y.f.Streams.Open(c.id, y.q.Tenant, q)
	y.pass(ans)
	y.w.Header().Set(runner.RequestHeader, c.id)
	y.w.Header().Del("Content-Length") // pieces get their numbers
	y.w.WriteHeader(http.StatusOK)
}

// show hands bytes to the origin, if it is there. One that is gone may come back for a while.
func (c *carry) show(b []byte) {
	if c.to != nil && c.left == nil && !c.to.put(b) {
		c.left = time.AfterFunc(linger, func() { c.die(errLeft) })
	}
}

var (
	errDiffers = &Bounce{Status: 502, Code: "run-differs", Unknown: true, Text: "The run was lost, and a second one was not the same."}
	errTaken   = &Bounce{Code: "taken-over", Unknown: true}
)

// carryOn makes second runs in place of a lost one, as far as the lane allows them, and ends the
// stream.
func (y *way) carryOn(err error) error {
	c := y.car
	defer c.die(nil)
	defer func() {
		if c.left != nil {
			c.left.Stop()
		}
	}()
	for lost(err) {
		next, made := y.repeat()
		if !made {
			break
		}
		// What the first run ended in says more than why there is no second one.
		if b := bounceOf(next); b.Status != 0 && !b.Unknown {
			break
		}
		err = next
	}
	if err == nil || c.st == nil {
		return err
	}
	b := bounceOf(err)
	if b != errTaken {
		// Where another router carries the stream on, the connection breaks without a word, and the
		// origin asks for the rest by its number.
		if y.f.Streams.Close(c.life, c.st, b.Code) == nil {
			c.show(trouble(b.Code, b.Text, c.id))
		}
	}
	y.torn = true
	return &Bounce{Code: b.Code, Unknown: true}
}

// bounceOf is the bounce that an error carries, or "internal" where it is none.
func bounceOf(err error) *Bounce {
	b := &Bounce{Code: "internal"}
	errors.As(err, &b)
	return b
}

// lost tells whether a run ended by the runner's loss, so that a second one may take its place.
func lost(err error) bool {
	return slices.Contains([]string{"runner-lost", "runner-silent", node.LostRouter}, bounceOf(err).Code)
}

// repeat makes a second run: a query of its own, with its own way, units and runner, that obeys the
// layout in force. made is false where none may be made.
func (y *way) repeat() (err error, made bool) {
	z := *y
	if z.follow(y.f.Hub.Layout()) != nil || !z.lane.Repeat {
		return nil, false
	}
	if c := z.car; c.st != nil {
		if _, ok := c.st.Held(); !ok {
			return nil, false
		}
	}
	if !z.earned() {
		return nil, false
	}
	z.q, z.second, z.cost = request.New(), true, 0
	z.q.Tenant, z.q.Lane = y.q.Tenant, z.lane.Name
	y.q.Advance(request.Failed, "a second run follows: "+z.q.ID)
	return z.rerun("second run of " + z.car.id), true
}

// earned waits until a second try may be made, for as long as the lane would wait for a runner: where a
// router falls, many streams want one at once, and first tries earn more every moment.
func (z *way) earned() bool {
	for until := time.Now().Add(z.lane.Patience); ; {
		if !slices.ContainsFunc(z.could(), func(e *runner.Instance) bool { return !z.skip[e.Index] }) {
			return false // nowhere else to run
		}
		if z.f.Again.May(z.lay.Services[z.pool.Service]) {
			return true
		}
		if time.Now().After(until) || !env.Wait(z.car.life, earnEvery) {
			return false
		}
	}
}

// earnEvery is how often a second run asks whether it may be made.
const earnEvery = 100 * time.Millisecond

// rerun takes a second run its way.
func (z *way) rerun(note string) error {
	err := z.q.Advance(request.Known, note)
	if err == nil {
		err = z.q.Advance(request.Routed, z.r.URL.Path)
	}
	if err == nil {
		err = z.pay()
	}
	if err == nil {
		err = z.q.Advance(request.Admitted, "second run")
	}
	if err == nil {
		err = z.serve()
	}
	z.loosen()
	code := "done"
	if err != nil {
		code = bounceOf(err).Code
		z.over(code)
		z.f.Log.Add(z.q, code)
	}
	z.f.Trail.Export(z.q, code)
	z.f.Meter.SecondRuns.WithLabelValues(z.q.Lane, code).Inc()
	return err
}

// Inherit carries a stream on whose router is gone: the same query again, from what is held of it and
// its answer. Origins read it by its id.
//
//	streams.Heir = front.Inherit
func (f *Front) Inherit(st *node.Stream, in *node.StreamQuery) {
	f.open.Add(1)
	defer f.open.Add(-1)
	y := &way{f: f, q: request.New(), body: in.Body, had: true, key: in.Key, skip: map[int]bool{}}
	if err := y.stand(st, in); err != nil {
		f.Streams.Close(f.Ctx, st, bounceOf(err).Code)
		return
	}
	c := &carry{id: st.Id, st: st}
	c.life, c.die = context.WithCancelCause(f.Ctx)
	y.car = c
	if f.Streams.Guard(c.life, st) == nil {
		y.carryOn(&Bounce{Code: node.LostRouter, Unknown: true})
	}
}

// stand brings a query that another router read to where it would be queued.
func (y *way) stand(st *node.Stream, in *node.StreamQuery) error {
	r, err := http.NewRequestWithContext(y.f.Ctx, in.Method, in.Path, nil)
	if err != nil {
		return &Bounce{Code: node.LostRouter}
	}
	r.Header = in.Head
	y.r, y.q.Tenant = r, st.Tenant
	if b := y.follow(y.f.Hub.Layout()); b != nil {
		return b
	}
	if err := y.parse(); err != nil {
		return err
	}
	y.q.Lane, y.kind = y.lane.Name, y.pool.Name+"/"+y.model
	return nil
}

// Open counts the queries under way.
//
//	for front.Open() > 0 { ... }
func (f *Front) Open() int { return int(f.open.Load()) }
