package wire

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection, all attempts included. A machine that is down must not use up a
	// caller's time: there may be another to ask.
	dialTimeout = 250 * time.Millisecond

	// dialAttemptInterval is between the attempts of one dial, which run side by side. The opening packet to a machine
	// that is just starting is lost, and the system retransmits it after a second only; the next attempt comes sooner.
	dialAttemptInterval = 50 * time.Millisecond

	// idleTimeout is how long a connection stays open unused once others are opened. Digests go to random nodes:
	// without a bound every router would in time hold a connection to every other.
	idleTimeout = 10 * time.Second
)

// pendingDial is a connection being opened, for all calls that wait for it.
type pendingDial struct {
	done       chan struct{} // closed once the fields below are set
	connection *connection
	err        error
}

// connection returns the open connection to an address, or dials it. However many calls want one, one dial is under way
// at a time; it goes on when the call that began it gives up.
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

// connect dials an address and opens the connection for those who wait for it.
func (c *Caller) connect(ctx context.Context, addr string, dial *pendingDial) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialWithRetries(ctx, addr)
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

// dialResult is the result of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialWithRetries starts attempts until one of them has ended, and returns its result: one that was refused has met a
// machine that is up. Attempts that end later close what they opened.
func (c *Caller) dialWithRetries(ctx context.Context, addr string) (net.Conn, error) {
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

// closeIdleConnections closes connections that were not used for long, and forgets broken ones. The caller holds c.mu.
// A call that asked for a connection has set its lastUsed under c.mu, so none meets one that is closed under it.
func (c *Caller) closeIdleConnections() {
	for addr, conn := range c.connections {
		if conn.closed.Load() || time.Since(conn.lastUsed) > idleTimeout && conn.idle() {
			go conn.close()
			delete(c.connections, addr)
		}
	}
}
