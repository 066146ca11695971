// Package wire carries msgp frames between yarrowridge's own processes.
// It knows nothing of what the frames mean: each peer package owns its messages.
package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// Most is the largest frame body read, in bytes.
const Most = 8 << 20

// dialWait is the most that opening a connection may take. The opening packet to a machine that is just starting
// is lost, and the system sends it again after a second only: the next try comes sooner.
const dialWait = 250 * time.Millisecond

// dialAgain is between the tries of one dial, which go on side by side: a machine that starts meanwhile answers
// the next one.
const dialAgain = 50 * time.Millisecond

// idleAfter is how long a connection is kept unused once others are opened. Digests go to random nodes: without
// a bound every router would in time hold a connection to every other.
const idleAfter = 10 * time.Second

// Two kinds of trouble a caller must tell apart.
var (
	// ErrUnsent means no byte of the call has left this process.
	ErrUnsent = errors.New("not sent")
	// ErrDoubt means the call may have been carried out.
	ErrDoubt = errors.New("in doubt")
)

// Net dials and listens. The daemons use TCP; the simulated fleet uses memory.
type Net interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the net of the daemons.
//
//	con, err := wire.TCP{}.Dial(ctx, "127.0.0.1:7401")
type TCP struct {
	From string // the IP number to dial from; empty: the system's choice
}

// Dial opens a connection within two seconds.
//
//	con, err := wire.TCP{}.Dial(ctx, "127.0.0.1:7401")
func (t TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return Dialer(t.From, 2*time.Second).DialContext(ctx, "tcp", addr)
}

// Dialer dials within a time from an IP number; from the system's choice where it is "".
//
//	d := wire.Dialer("10.1.0.7", time.Second)
func Dialer(from string, wait time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: wait}
	if ip := net.ParseIP(from); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// Listen binds addr.
//
//	l, err := wire.TCP{}.Listen("127.0.0.1:7401")
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Fault is an answer of "no" from the far side, as against a break on the way.
type Fault struct{ Code string }

// Error gives the code.
//
//	wire.Fault{Code: "lost"}.Error() // "lost"
func (f Fault) Error() string { return f.Code }

// Is tells whether err is a far-side fault with this code.
//
//	if wire.Is(err, "not-primary") { ... }
func Is(err error, code string) bool {
	var f Fault
	return errors.As(err, &f) && f.Code == code
}

// Hand carries out one call: kind and body in, answer out.
type Hand func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error)

func write(w io.Writer, f *Frame) error {
	buf := make([]byte, 4, 64+len(f.Body))
	buf, err := f.MarshalMsg(buf)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-4))
	f.size = len(buf)
	_, err = w.Write(buf)
	return err
}

func read(r io.Reader, f *Frame) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > Most+1024 {
		return eris.Errorf("wire: frame of %d bytes, at most %d expected", n, Most)
	}
	f.size = len(head) + int(n)
	buf := make([]byte, n)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	if _, err := f.UnmarshalMsg(buf); err != nil {
		return eris.Wrap(err, "wire: frame unread")
	}
	if f.Fmt+1 < Fmt || f.Fmt > Fmt+1 {
		return eris.Errorf("wire: format %d, %d to %d expected", f.Fmt, Fmt-1, Fmt+1)
	}
	return f.unpack()
}

// Serve answers calls on l until ctx ends. Each call runs as its own task.
//
//	go wire.Serve(ctx, l, hand)
func Serve(ctx context.Context, l net.Listener, hand Hand) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var all sync.WaitGroup
	for {
		con, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				all.Wait()
				return
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		all.Go(func() { serve(ctx, con, hand) })
	}
}

func serve(ctx context.Context, con net.Conn, hand Hand) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(ctx, func() { con.Close() })
	defer stop()
	defer con.Close()
	var mu sync.Mutex
	for {
		var f Frame
		if read(con, &f) != nil {
			return
		}
		counters := traffic.of(f.Kind)
		counters.callsReceived.add(f.size)
		go func() {
			out := Frame{Fmt: Fmt, Id: f.Id, Kind: f.Kind, Unpacks: true}
			ans, err := hand(ctx, f.Kind, f.Body)
			if err == nil && ans != nil {
				out.Body, err = ans.MarshalMsg(nil)
			}
			if err != nil {
				out.Err = "trouble"
				var far Fault
				if errors.As(err, &far) {
					out.Err = far.Code
				}
			}
			if f.Unpacks {
				out.pack()
			}
			mu.Lock()
			defer mu.Unlock()
			con.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if write(con, &out) != nil {
				con.Close()
				return
			}
			counters.answersSent.add(out.size)
		}()
	}
}

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

// idle tells whether no call waits for an answer.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.wait) == 0
}

// NewCaller makes a caller over a net.
//
//	cal := wire.NewCaller(wire.TCP{})
func NewCaller(n Net) *Caller {
	return &Caller{net: n, open: map[string]*link{}, dial: map[string]*dial{}}
}

// Close ends all connections.
//
//	defer cal.Close()
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
		ch := l.wait[f.Id]
		delete(l.wait, f.Id)
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
	ctx, end := context.WithTimeout(ctx, dialWait)
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
	again := time.NewTicker(dialAgain)
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
		if l.dead.Load() || time.Since(l.used) > idleAfter && l.idle() {
			go l.kill()
			delete(c.open, addr)
		}
	}
}

// Call sends in to addr and reads the answer into out (nil where none is wanted).
// The error wraps ErrUnsent, ErrDoubt or a Fault, with the step and the peer.
//
//	err := cal.Call(ctx, addr, "core.find", &ask, &ans)
func (c *Caller) Call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	f := Frame{Fmt: Fmt, Kind: kind, Unpacks: true}
	if in != nil {
		var err error
		if f.Body, err = in.MarshalMsg(nil); err != nil {
			return err
		}
	}
	l, err := c.reach(ctx, addr)
	if err != nil {
		return eris.Wrapf(errors.Join(ErrUnsent, err), "%s to %s", kind, addr)
	}
	if l.pack.Load() {
		f.pack()
	}
	ch := make(chan Frame, 1)
	l.mu.Lock()
	if l.dead.Load() {
		l.mu.Unlock()
		return eris.Wrapf(ErrUnsent, "%s to %s", kind, addr)
	}
	l.next++
	f.Id = l.next
	l.wait[f.Id] = ch
	if end, ok := ctx.Deadline(); ok {
		l.con.SetWriteDeadline(end)
	} else {
		l.con.SetWriteDeadline(time.Now().Add(5 * time.Second))
	}
	err = write(l.con, &f)
	l.mu.Unlock()
	if err != nil {
		l.kill()
		return eris.Wrapf(errors.Join(ErrDoubt, err), "%s to %s", kind, addr)
	}
	traffic.of(kind).callsSent.add(f.size)
	select {
	case ans, ok := <-ch:
		if !ok {
			return eris.Wrapf(ErrDoubt, "%s to %s: connection lost", kind, addr)
		}
		if ans.Err != "" {
			return eris.Wrapf(Fault{ans.Err}, "%s to %s", kind, addr)
		}
		if out != nil {
			if _, err := out.UnmarshalMsg(ans.Body); err != nil {
				return eris.Wrapf(errors.Join(ErrDoubt, err), "%s to %s: answer unread", kind, addr)
			}
		}
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.wait, f.Id)
		l.mu.Unlock()
		return eris.Wrapf(errors.Join(ErrDoubt, ctx.Err()), "%s to %s", kind, addr)
	}
}

// Hands sends each call to the hand that owns the part of its kind before the dot.
//
//	wire.Hands{"core": a, "view": b}.Do
type Hands map[string]Hand

// Do is the Hand that splits by owner.
//
//	wire.Serve(ctx, l, hands.Do)
func (h Hands) Do(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	for i := range len(kind) {
		if kind[i] == '.' {
			if own := h[kind[:i]]; own != nil {
				return own(ctx, kind, body)
			}
			break
		}
	}
	return nil, Fault{"unknown-kind"}
}

// On unpacks a call's body and passes it to a typed function.
//
//	return wire.On(body, func(in *Ask) (*Ans, error) { ... })
func On[I any, P interface {
	*I
	msgp.Unmarshaler
}, O msgp.Marshaler](body []byte, do func(P) (O, error)) (msgp.Marshaler, error) {
	in := P(new(I))
	if _, err := in.UnmarshalMsg(body); err != nil {
		return nil, Fault{"bad-body"}
	}
	return do(in)
}
