package wire

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds a dial with all its attempts. A machine that is down must not use up a call's deadline, because
	// the caller may have another peer to try.
	dialTimeout = 250 * time.Millisecond

	// dialAttemptInterval is the time between the starts of a dial's concurrent attempts. A machine that is still booting
	// loses the SYN, and the kernel retransmits it only after a second; a new attempt is sooner.
	dialAttemptInterval = 50 * time.Millisecond

	// idleTimeout is the time after which an unused connection may be closed, which happens when another one is opened.
	// Digests go to random nodes: without a timeout every router would end up connected to every other.
	idleTimeout = 10 * time.Second
)

// pendingDial is a dial in progress, shared by all calls that wait for it.
type pendingDial struct {
	done       chan struct{} // closed once the fields below are set
	connection *connection
	err        error
}

// connection returns the open connection to addr, or dials one. Concurrent calls share one dial per address, which
// continues if the call that started it gives up.
func (c *Caller) connection(ctx context.Context, addr string) (*connection, error) {
	c.mu.Lock()
	if conn := c.connections[addr]; conn != nil && !conn.closed.Load() {
		conn.lastUsed = time.Now()
		c.mu.Unlock()
		return conn, nil
	}
	dial := c.dials[addr]
	if dial == nil {
		dial = &pendingDial{done: make(chan struct{})}
		c.dials[addr] = dial
		go c.connect(context.WithoutCancel(ctx), addr, dial)
	}
	c.mu.Unlock()
	select {
	case <-dial.done:
		return dial.connection, dial.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect dials addr, registers the connection and completes dial for all calls that wait for it.
func (c *Caller) connect(ctx context.Context, addr string, dial *pendingDial) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialConcurrently(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.closed {
		_ = conn.Close() // nothing was sent over it
		err = net.ErrClosed
	}
	if dial.err = err; err == nil {
		dial.connection = &connection{conn: conn, pending: map[uint64]chan Frame{}, lastUsed: time.Now()}
		c.closeIdleConnections()
		c.connections[addr] = dial.connection
		go dial.connection.readLoop()
	}
	delete(c.dials, addr)
	close(dial.done)
}

// dialResult is the result of one attempt of a dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialConcurrently starts another attempt every dialAttemptInterval until one completes, and returns that one's result.
// A refused connection counts too, because it shows that the machine is up. Later attempts close their connections.
func (c *Caller) dialConcurrently(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		conn, err := c.network.Dial(ctx, addr)
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close() // nothing was sent over it
			}
		}
	}
	ticker := time.NewTicker(dialAttemptInterval)
	defer ticker.Stop()
	go attempt()
	for {
		select {
		case first := <-results:
			return first.conn, first.err
		case <-ticker.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// closeIdleConnections closes connections that have been unused for idleTimeout, and removes closed ones. The caller
// holds c.mu. A call that has just obtained a connection set its lastUsed under c.mu, so that connection stays open.
func (c *Caller) closeIdleConnections() {
	for addr, conn := range c.connections {
		if conn.closed.Load() || time.Since(conn.lastUsed) > idleTimeout && conn.idle() {
			go conn.close()
			delete(c.connections, addr)
		}
	}
}
