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
	network     Network
	mu          sync.Mutex
	connections map[string]*connection
	dials       map[string]*pendingDial
	closed      bool
}

// dial is a connection being opened, for all who wait for it.
type pendingDial struct {
	done       chan struct{}
	connection *connection
	err        error
}

type connection struct {
	mu                    sync.Mutex
	conn                  net.Conn
	lastID                uint64
	pending               map[uint64]chan Frame
	closed                atomic.Bool // read without the lock, which a slow write may hold
	peerAcceptsCompressed atomic.Bool // the far side has said that it reads compressed bodies
	lastUsed              time.Time   // when it was last asked for; under the caller's lock
}

// idle reports whether no call waits for an answer.
func (l *connection) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0
}

// NewCaller makes a caller over a net.
func NewCaller(n Network) *Caller {
	return &Caller{network: n, connections: map[string]*connection{}, dials: map[string]*pendingDial{}}
}

// Close ends all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for k, l := range c.connections {
		l.close()
		delete(c.connections, k)
	}
}

func (l *connection) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Swap(true) {
		return
	}
	l.conn.Close()
	for _, ch := range l.pending {
		close(ch)
	}
	l.pending = nil
}

func (l *connection) readLoop() {
	for {
		var f Frame
		if readFrame(l.conn, &f) != nil {
			l.close()
			return
		}
		traffic.of(f.Kind).responsesReceived.add(f.wireBytes)
		l.peerAcceptsCompressed.Store(f.AcceptsCompressed)
		l.mu.Lock()
		ch := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	}
}

// reach gives the open connection to an address. However many want one, it is dialled once at a time.
func (c *Caller) connection(ctx context.Context, addr string) (*connection, error) {
	c.mu.Lock()
	if l := c.connections[addr]; l != nil && !l.closed.Load() {
		l.lastUsed = time.Now()
		c.mu.Unlock()
		return l, nil
	}
	d := c.dials[addr]
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		c.dials[addr] = d
		go c.connect(context.WithoutCancel(ctx), addr, d)
	}
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.connection, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect dials. A dark machine must not eat a caller's whole time: there may be another to ask.
func (c *Caller) connect(ctx context.Context, addr string, d *pendingDial) {
	ctx, end := context.WithTimeout(ctx, dialTimeout)
	defer end()
	con, err := c.dialWithRetries(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.closed {
		con.Close()
		err = net.ErrClosed
	}
	if d.err = err; err == nil {
		d.connection = &connection{conn: con, pending: map[uint64]chan Frame{}, lastUsed: time.Now()}
		c.closeIdleConnections()
		c.connections[addr] = d.connection
		go d.connection.readLoop()
	}
	delete(c.dials, addr)
	close(d.done)
}

// dialled is what came of one try.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialUntil tries until one try has ended, however: one that was refused has met a machine that is there.
func (c *Caller) dialWithRetries(ctx context.Context, addr string) (net.Conn, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	ended := make(chan dialResult)
	try := func() {
		con, err := c.network.Dial(ctx, addr)
		select {
		case ended <- dialResult{con, err}:
		case <-ctx.Done():
			if con != nil {
				con.Close()
			}
		}
	}
	again := time.NewTicker(dialAttemptInterval)
	defer again.Stop()
	go try()
	for {
		select {
		case first := <-ended:
			return first.conn, first.err
		case <-again.C:
			go try()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// closeIdle closes connections unused for long, and forgets broken ones; the caller holds the lock. One that was
// just asked for is not idle, so no call meets a connection that is closed under it.
func (c *Caller) closeIdleConnections() {
	for addr, l := range c.connections {
		if l.closed.Load() || time.Since(l.lastUsed) > idleTimeout && l.idle() {
			go l.close()
			delete(c.connections, addr)
		}
	}
}

// Call sends in to addr and reads the answer into out (nil where none is wanted).
// The error is a *CallError that wraps ErrUnsent, ErrDoubt or a Fault.
func (c *Caller) Call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	f := Frame{Format: FormatVersion, Kind: kind, AcceptsCompressed: true}
	if in != nil {
		var err error
		if f.Body, err = in.MarshalMsg(nil); err != nil {
			return err
		}
	}
	l, err := c.connection(ctx, addr)
	if err != nil {
		return unsent(kind, addr, err)
	}
	if l.peerAcceptsCompressed.Load() {
		f.compress()
	}
	ch := make(chan Frame, 1)
	l.mu.Lock()
	if l.closed.Load() {
		l.mu.Unlock()
		return &CallError{Kind: kind, Peer: addr, Err: ErrUnsent}
	}
	l.lastID++
	f.ID = l.lastID
	l.pending[f.ID] = ch
	if end, ok := ctx.Deadline(); ok {
		l.conn.SetWriteDeadline(end)
	} else {
		l.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	}
	err = writeFrame(l.conn, &f)
	l.mu.Unlock()
	if err != nil {
		l.close()
		return outcomeUnknown(kind, addr, "", err)
	}
	traffic.of(kind).callsSent.add(f.wireBytes)
	select {
	case ans, ok := <-ch:
		if !ok {
			return &CallError{Kind: kind, Peer: addr, Detail: "connection lost", Err: ErrOutcomeUnknown}
		}
		if ans.ErrorCode != "" {
			return &CallError{Kind: kind, Peer: addr, Err: StatusError{Code: Code(ans.ErrorCode)}}
		}
		if out != nil {
			if _, err := out.UnmarshalMsg(ans.Body); err != nil {
				return outcomeUnknown(kind, addr, "answer unread", err)
			}
		}
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, f.ID)
		l.mu.Unlock()
		return outcomeUnknown(kind, addr, "", ctx.Err())
	}
}
