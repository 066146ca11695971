// Package sim provides the environment in which tests run complete processes: a network and disks in memory with injected
// faults (delays, cuts, frozen processes, disk stalls and crashes), in simulated time (testing/synctest).
package sim

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"yarrowridge/internal/transport/wire"
)

// World is a network of machines, each known by its address.
type World struct {
	mu          sync.Mutex
	rnd         *rand.Rand
	listeners   map[string]*listener
	connections map[*connection]bool
	cuts        map[[2]string]time.Time // the start of each cut, by sending and receiving host
	frozen      map[string]time.Time    // the time from which a host's process is frozen
	maxDelay    time.Duration           // upper bound of the delay of a write and of a dial
	sent        int                     // writes so far
	dials       int                     // dials so far, failed ones included
}

// NewWorld returns a network without machines. Its delays are drawn from the seed.
func NewWorld(seed uint64) *World {
	w := &World{rnd: rand.New(rand.NewPCG(seed, 7)), listeners: map[string]*listener{}, connections: map[*connection]bool{},
		cuts: map[[2]string]time.Time{}, frozen: map[string]time.Time{}, maxDelay: 4 * time.Millisecond}
	return w
}

// ErrRefused is returned by a dial to an address without a listener, and by a dial of a crashed process.
var ErrRefused = fmt.Errorf("sim: %w", syscall.ECONNREFUSED)

// machine is the network access of one process at an address. After the process has crashed, its dials and writes fail and
// it cannot listen.
type machine struct {
	w       *World
	addr    string
	crashed bool
}

// Net returns the network for a process at addr, and a function that crashes the process: its listeners and connections
// are closed, and no other process sees anything that it does afterwards.
func (w *World) Net(addr string) (wire.Network, func()) {
	m := &machine{w: w, addr: addr}
	return m, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.crashed = true
		for _, l := range w.listeners {
			if l.m == m {
				l.closeLocked()
			}
		}
		for c := range w.connections {
			if c.m == m || c.peer.m == m {
				c.closeLocked()
				c.peer.closeLocked()
			}
		}
	}
}

// Cut stops all traffic from the host of one address to the host of the other, until Heal. As with TCP, data written
// during the cut arrives after it, unless the sender aborts the connection first.
func (w *World) Cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	between := [2]string{host(from), host(to)}
	if _, blocked := w.cuts[between]; !blocked {
		w.cuts[between] = time.Now()
	}
}

// host returns the host part of an address. A cut applies to all ports of a host.
func host(addr string) string {
	h, _, _ := strings.Cut(addr, ":")
	return h
}

// isBlocked reports whether no traffic passes from one address's host to the other's. The caller holds the lock.
func (w *World) isBlocked(from, to string) bool {
	_, blocked := w.blockedSince(from, to)
	return blocked
}

// blockedSince reports whether no traffic passes from one address's host to the other's because of a cut or a frozen process,
// and since when. The caller holds the lock.
func (w *World) blockedSince(from, to string) (since time.Time, blocked bool) {
	if since, blocked = w.cuts[[2]string{host(from), host(to)}]; blocked {
		return since, true
	}
	if since, blocked = w.frozen[host(from)]; blocked {
		return since, true
	}
	since, blocked = w.frozen[host(to)]
	return since, blocked
}

// Heal ends all cuts. Frozen processes stay frozen.
func (w *World) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cuts)
	w.wakeReaders()
}

// Freeze stops all traffic from and to the process at an address, so that to others it appears frozen. Thaw ends this,
// Heal does not.
func (w *World) Freeze(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, isFrozen := w.frozen[host(addr)]; !isFrozen {
		w.frozen[host(addr)] = time.Now()
	}
}

// Thaw restores the traffic of a frozen process.
func (w *World) Thaw(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.frozen, host(addr))
	w.wakeReaders()
}

// wakeReaders makes all readers check again for data that has arrived. The caller holds the lock.
func (w *World) wakeReaders() {
	for c := range w.connections {
		c.wakeReader()
	}
}

// Sent returns the number of writes to connections so far.
func (w *World) Sent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// Dialled returns the number of dials so far, failed ones included.
func (w *World) Dialled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials
}

// Split cuts the traffic between two groups of addresses in both directions.
func (w *World) Split(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			w.Cut(x, y)
			w.Cut(y, x)
		}
	}
}

type listener struct {
	m        *machine
	addr     string
	incoming chan *connection
	done     chan struct{}
	once     sync.Once
}

// closeLocked closes the listener and frees its address. The caller holds the lock.
func (l *listener) closeLocked() {
	l.once.Do(func() {
		close(l.done)
		delete(l.m.w.listeners, l.addr)
	})
}

// Accept returns the next incoming connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (l *listener) Close() error {
	l.m.w.mu.Lock()
	defer l.m.w.mu.Unlock()
	l.closeLocked()
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

// Network returns the name of the simulated network.
func (address) Network() string { return "sim" }

func (a address) String() string { return string(a) }

// Listen listens at an address. Each address has at most one listener.
func (m *machine) Listen(addr string) (net.Listener, error) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.crashed || m.w.listeners[addr] != nil {
		return nil, errors.New("sim: address in use")
	}
	l := &listener{m: m, addr: addr, incoming: make(chan *connection, 64), done: make(chan struct{})}
	m.w.listeners[addr] = l
	return l, nil
}

// Dial connects to an address after a delay. While a cut separates the two hosts in either direction, it waits for the end
// of the cut or of the context.
func (m *machine) Dial(ctx context.Context, addr string) (net.Conn, error) {
	wait := m.w.delay()
	m.w.mu.Lock()
	m.w.dials++
	m.w.mu.Unlock()
	for {
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, ctx.Err()
		}
		m.w.mu.Lock()
		if m.crashed {
			m.w.mu.Unlock()
			return nil, ErrRefused
		}
		if m.w.isBlocked(m.addr, addr) || m.w.isBlocked(addr, m.addr) {
			m.w.mu.Unlock()
			wait = 50 * time.Millisecond
			continue
		}
		l := m.w.listeners[addr]
		if l == nil {
			m.w.mu.Unlock()
			return nil, ErrRefused
		}
		near, far := &connection{w: m.w, m: m, to: addr}, &connection{w: m.w, m: l.m, to: m.addr}
		near.peer, far.peer = far, near
		near.wake, far.wake = make(chan struct{}, 1), make(chan struct{}, 1)
		near.done, far.done = make(chan struct{}), make(chan struct{})
		near.wakeTimer, far.wakeTimer = newStoppedTimer(), newStoppedTimer()
		m.w.connections[near], m.w.connections[far] = true, true
		m.w.mu.Unlock()
		select {
		case l.incoming <- far:
			return near, nil
		case <-l.done:
			return nil, ErrRefused
		}
	}
}

// delay draws the delay of a write or a dial.
func (w *World) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rnd.Int64N(int64(w.maxDelay)) + 1)
}

// segment is the data of one write. During a cut it waits at its sender and arrives after the cut.
type segment struct {
	data    []byte
	arrives time.Time // if no cut delays it
}

// connection is one end of a connection. Its queue holds the data sent by the other end.
type connection struct {
	w            *World
	m            *machine
	to           string
	peer         *connection
	queue        []segment
	lastArrival  time.Time     // of the last segment sent to this end
	wake         chan struct{} // makes the reader check again
	readDeadline time.Time
	wakeTimer    *time.Timer   // wakes the reader when the next segment arrives or its deadline passes
	done         chan struct{} // closed together with this end
	closed       bool
	eof          bool // the other end has closed the connection in order
	reset        bool // the other end has aborted the connection, and this end has received the reset
	abortOnClose bool
}

// newStoppedTimer returns a timer that fires only after a Reset.
func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// wakeReader makes the reader check again for data, the end of the stream and its deadline.
func (c *connection) wakeReader() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// closeLocked closes this end. The caller holds the world's lock.
func (c *connection) closeLocked() {
	if !c.closed {
		c.closed = true
		close(c.done)
		c.wakeTimer.Stop()
		delete(c.w.connections, c)
	}
}

func (c *connection) Read(b []byte) (int, error) {
	for {
		c.w.mu.Lock()
		if c.closed {
			c.w.mu.Unlock()
			return 0, io.ErrUnexpectedEOF
		}
		if len(c.queue) > 0 && !c.w.isBlocked(c.to, c.m.addr) {
			if !c.queue[0].arrives.After(time.Now()) {
				n := copy(b, c.queue[0].data)
				if c.queue[0].data = c.queue[0].data[n:]; len(c.queue[0].data) == 0 {
					c.queue = c.queue[1:]
				}
				c.w.mu.Unlock()
				return n, nil
			}
		} else if c.reset && len(c.queue) == 0 {
			c.w.mu.Unlock()
			return 0, syscall.ECONNRESET
		} else if c.eof && len(c.queue) == 0 {
			c.w.mu.Unlock()
			return 0, io.EOF
		}
		// Data that has arrived and the close of the other end are reported even after the deadline: a check of an idle
		// connection sets a deadline in the past.
		if !c.readDeadline.IsZero() && time.Until(c.readDeadline) <= 0 {
			c.w.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		c.setWakeTimer()
		c.w.mu.Unlock()
		select {
		case <-c.wake:
		case <-c.wakeTimer.C:
		case <-c.done:
		}
	}
}

// setWakeTimer sets the timer to the time at which the reader has to check again: the arrival of the first segment or the
// deadline, whichever is earlier. The caller holds the world's lock.
func (c *connection) setWakeTimer() {
	var next time.Time
	if len(c.queue) > 0 && !c.w.isBlocked(c.to, c.m.addr) {
		next = c.queue[0].arrives
	}
	if !c.readDeadline.IsZero() && (next.IsZero() || c.readDeadline.Before(next)) {
		next = c.readDeadline
	}
	if next.IsZero() {
		c.wakeTimer.Stop()
		return
	}
	c.wakeTimer.Reset(time.Until(next))
}

func (c *connection) Write(b []byte) (int, error) {
	d := c.w.delay()
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.closed || c.m.crashed {
		return 0, io.ErrClosedPipe
	}
	if c.peer.closed || c.peer.eof {
		return 0, io.ErrClosedPipe
	}
	at := time.Now().Add(d)
	if at.Before(c.peer.lastArrival) {
		at = c.peer.lastArrival // segments of one connection arrive in order
	}
	c.peer.lastArrival = at
	c.peer.queue = append(c.peer.queue, segment{append([]byte{}, b...), at})
	c.w.sent++
	if len(c.peer.queue) == 1 {
		c.peer.setWakeTimer() // the reader need not wake before the segment arrives
	}
	return len(b), nil
}

// Close closes this end. After an orderly close, the other end reads all data that was sent, including data delayed by a
// cut, and then the end of the stream. After an abort, data delayed by a cut is discarded, and the other end reads the rest
// and then a reset. During a cut the reset is lost as well: the other end notices the abort only when it writes.
func (c *connection) Close() error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closeLocked()
	switch since, blocked := c.w.blockedSince(c.m.addr, c.to); {
	case !c.abortOnClose:
		c.peer.eof = true
	case blocked:
		c.peer.discardAfter(since)
	default:
		c.peer.reset = true
	}
	c.peer.wakeReader()
	return nil
}

// discardAfter drops the segments that arrive after a moment. The caller holds the world's lock.
func (c *connection) discardAfter(moment time.Time) {
	arrived := 0
	for arrived < len(c.queue) && !c.queue[arrived].arrives.After(moment) {
		arrived++
	}
	c.queue = c.queue[:arrived]
}

// SetLinger sets the behaviour of Close, like SetLinger of *net.TCPConn: with 0 seconds, Close aborts the connection.
func (c *connection) SetLinger(seconds int) error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.abortOnClose = seconds == 0
	return nil
}

// LocalAddr returns the address of this end.
func (c *connection) LocalAddr() net.Addr { return address(c.m.addr) }

// RemoteAddr returns the address of the other end.
func (c *connection) RemoteAddr() net.Addr { return address(c.to) }

// SetDeadline sets the deadline of reads. A write never blocks.
func (c *connection) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing, because a write never blocks.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline sets the deadline of reads, including a read that is already blocked.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.readDeadline = t
	c.wakeReader()
	return nil
}
