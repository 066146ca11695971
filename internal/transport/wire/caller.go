package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Caller makes calls, keeping one open connection for each address.
type Caller struct {
	net  Net
	mu   sync.Mutex
	open map[string]*link
	dial map[string]*dial
	shut bool
}

// dial is a connection being opened, for all who wait for it.
type dial struct {
	done chan struct{}
	l    *link
	err  error
}

type link struct {
	mu   sync.Mutex
	con  net.Conn
	next uint64
	wait map[uint64]chan Frame
	dead atomic.Bool // read without the lock, which a slow write may hold
	pack atomic.Bool // the far side has said that it reads compressed bodies
	used time.Time   // when it was last asked for; under the caller's lock
}

// idle reports whether no call waits for an answer.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.wait) == 0
}

// NewCaller makes a caller over a net.
func NewCaller(n Net) *Caller {
	return &Caller{net: n, open: map[string]*link{}, dial: map[string]*dial{}}
}

// Close ends all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut = true
	for k, l := range c.open {
		l.kill()
		delete(c.open, k)
	}
}

func (l *link) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead.Swap(true) {
		return
	}
	l.con.Close()
	for _, ch := range l.wait {
		close(ch)
	}
	l.wait = nil
}

func (l *link) loop() {
	for {
		var f Frame
		if read(l.con, &f) != nil {
			l.kill()
			return
		}
		traffic.of(f.Kind).answersReceived.add(f.size)
		l.pack.Store(f.Unpacks)
		l.mu.Lock()
		ch := l.wait[f.ID]
		delete(l.wait, f.ID)
		l.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	}
}

// reach gives the open connection to an address. However many want one, it is dialled once at a time.
func (c *Caller) reach(ctx context.Context, addr string) (*link, error) {
	c.mu.Lock()
	if l := c.open[addr]; l != nil && !l.dead.Load() {
		l.used = time.Now()
		c.mu.Unlock()
		return l, nil
	}
	d := c.dial[addr]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		c.dial[addr] = d
		go c.connect(context.WithoutCancel(ctx), addr, d)
	}
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.l, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect dials. A dark machine must not eat a caller's whole time: there may be another to ask.
func (c *Caller) connect(ctx context.Context, addr string, d *dial) {
	ctx, end := context.WithTimeout(ctx, dialTimeout)
	defer end()
	con, err := c.dialUntil(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.shut {
		con.Close()
		err = net.ErrClosed
	}
	if d.err = err; err == nil {
		d.l = &link{con: con, wait: map[uint64]chan Frame{}, used: time.Now()}
		c.closeIdle()
		c.open[addr] = d.l
		go d.l.loop()
	}
	delete(c.dial, addr)
	close(d.done)
}

// dialled is what came of one try.
type dialled struct {
	con net.Conn
	err error
}

// dialUntil tries until one try has ended, however: one that was refused has met a machine that is there.
func (c *Caller) dialUntil(ctx context.Context, addr string) (net.Conn, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	ended := make(chan dialled)
	try := func() {
		con, err := c.net.Dial(ctx, addr)
		select {
		case ended <- dialled{con, err}:
		case <-ctx.Done():
			if con != nil {
				con.Close()
			}
		}
	}
	again := time.NewTicker(dialRetryPause)
	defer again.Stop()
	go try()
	for {
		select {
		case first := <-ended:
			return first.con, first.err
		case <-again.C:
			go try()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// closeIdle closes connections unused for long, and forgets broken ones; the caller holds the lock. One that was
// just asked for is not idle, so no call meets a connection that is closed under it.
func (c *Caller) closeIdle() {
	for addr, l := range c.open {
		if l.dead.Load() || time.Since(l.used) > idleTimeout && l.idle() {
			go l.kill()
			delete(c.open, addr)
		}
	}
}

// Call sends in to addr and reads the answer into out (nil where none is wanted).
// The error is a *CallError that wraps ErrUnsent, ErrDoubt or a Fault.
func (c *Caller) Call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	f := Frame{Fmt: FormatVersion, Kind: kind, Unpacks: true}
	if in != nil {
		var err error
		if f.Body, err = in.MarshalMsg(nil); err != nil {
			return err
		}
	}
	l, err := c.reach(ctx, addr)
	if err != nil {
		return unsent(kind, addr, err)
	}
	if l.pack.Load() {
		f.pack()
	}
	ch := make(chan Frame, 1)
	l.mu.Lock()
	if l.dead.Load() {
		l.mu.Unlock()
		return &CallError{Kind: kind, Peer: addr, Cause: ErrUnsent}
	}
	l.next++
	f.ID = l.next
	l.wait[f.ID] = ch
	if end, ok := ctx.Deadline(); ok {
		l.con.SetWriteDeadline(end)
	} else {
		l.con.SetWriteDeadline(time.Now().Add(5 * time.Second))
	}
	err = write(l.con, &f)
	l.mu.Unlock()
	if err != nil {
		l.kill()
		return inDoubt(kind, addr, "", err)
	}
	traffic.of(kind).callsSent.add(f.size)
	select {
	case ans, ok := <-ch:
		if !ok {
			return &CallError{Kind: kind, Peer: addr, Step: "connection lost", Cause: ErrOutcomeUnknown}
		}
		if ans.Err != "" {
			return &CallError{Kind: kind, Peer: addr, Cause: StatusError{Code: Code(ans.Err)}}
		}
		if out != nil {
			if _, err := out.UnmarshalMsg(ans.Body); err != nil {
				return inDoubt(kind, addr, "answer unread", err)
			}
		}
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.wait, f.ID)
		l.mu.Unlock()
		return inDoubt(kind, addr, "", ctx.Err())
	}
}
