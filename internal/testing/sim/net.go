// Package sim is the world that the tests put whole processes into: a network and disks in memory,
// with delay, cuts, freezes, stalls and losses, in simulated time (testing/synctest).
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
	cuts        map[[2]string]time.Time // from, to: nothing gets through since then
	frozen      map[string]time.Time    // machines whose process stands still, since when
	maxDelay    time.Duration           // the most that a piece is under way
	sent        int
	dial        int
}

// NewWorld makes a world whose delays come from the seed.
func NewWorld(seed uint64) *World {
	w := &World{rnd: rand.New(rand.NewPCG(seed, 7)), listeners: map[string]*listener{}, connections: map[*connection]bool{},
		cuts: map[[2]string]time.Time{}, frozen: map[string]time.Time{}, maxDelay: 4 * time.Millisecond}
	return w
}

// ErrRefused is a dial to where nobody listens.
var ErrRefused = fmt.Errorf("sim: %w", syscall.ECONNREFUSED)

// machine is the net as one process at an address sees it. A process that has crashed keeps its
// handle, but the handle does nothing more.
type machine struct {
	w    *World
	addr string
	dead bool
}

// Net gives a process at addr its net, and the function that crashes it: all its connections
// break and nothing it still does is seen by anyone.
func (w *World) Net(addr string) (wire.Network, func()) {
	m := &machine{w: w, addr: addr}
	return m, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.dead = true
		for _, e := range w.listeners {
			if e.m == m {
				e.shut()
			}
		}
		for c := range w.connections {
			if c.m == m || c.far.m == m {
				c.fail()
				c.far.fail()
			}
		}
	}
}

// Cut stops all that goes from one address's machine to the other's; Heal lets it through again. What is
// written meanwhile arrives late, as TCP has it, unless the sender aborts its connection before that.
func (w *World) Cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	between := [2]string{host(from), host(to)}
	if _, isCut := w.cuts[between]; !isCut {
		w.cuts[between] = time.Now()
	}
}

// host is the machine of an address: a cut concerns all its ports.
func host(addr string) string {
	h, _, _ := strings.Cut(addr, ":")
	return h
}

func (w *World) cut(from, to string) bool {
	_, isCut := w.cutSince(from, to)
	return isCut
}

// cutSince tells whether and since when nothing gets from one address's machine to the other's. The caller holds the lock.
func (w *World) cutSince(from, to string) (since time.Time, isCut bool) {
	if since, isCut = w.cuts[[2]string{host(from), host(to)}]; isCut {
		return since, true
	}
	if since, isCut = w.frozen[host(from)]; isCut {
		return since, true
	}
	since, isCut = w.frozen[host(to)]
	return since, isCut
}

// Heal ends every cut.
func (w *World) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cuts)
	w.wakeReaders()
}

// Freeze has nothing that the process at an address writes get out and nothing get in, as while it stands still. Thaw ends
// it, Heal does not.
func (w *World) Freeze(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, isFrozen := w.frozen[host(addr)]; !isFrozen {
		w.frozen[host(addr)] = time.Now()
	}
}

// Thaw lets a frozen process go on.
func (w *World) Thaw(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.frozen, host(addr))
	w.wakeReaders()
}

// wakeReaders has all readers look at what has arrived. The caller holds the lock.
func (w *World) wakeReaders() {
	for c := range w.connections {
		c.wakeReader()
	}
}

// Sent counts the pieces sent so far.
func (w *World) Sent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// Dialled counts the connections tried so far.
func (w *World) Dialled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dial
}

// Split cuts two groups off each other, both ways.
func (w *World) Split(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			w.Cut(x, y)
			w.Cut(y, x)
		}
	}
}

type listener struct {
	m    *machine
	addr string
	ch   chan *connection
	done chan struct{}
	once sync.Once
}

func (e *listener) shut() {
	e.once.Do(func() {
		close(e.done)
		delete(e.m.w.listeners, e.addr)
	})
}

// Accept waits for the next connection.
func (e *listener) Accept() (net.Conn, error) {
	select {
	case c := <-e.ch:
		return c, nil
	case <-e.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (e *listener) Close() error {
	e.m.w.mu.Lock()
	defer e.m.w.mu.Unlock()
	e.shut()
	return nil
}

// Addr is the address listened at.
func (e *listener) Addr() net.Addr { return address(e.addr) }

type address string

// Network names the simulated network.
func (address) Network() string { return "sim" }

func (s address) String() string { return string(s) }

// Listen binds an address of the world.
func (m *machine) Listen(addr string) (net.Listener, error) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.dead || m.w.listeners[addr] != nil {
		return nil, errors.New("sim: address in use")
	}
	e := &listener{m: m, addr: addr, ch: make(chan *connection, 64), done: make(chan struct{})}
	m.w.listeners[addr] = e
	return e, nil
}

// Dial connects, after a delay; through a cut it waits until the context ends.
func (m *machine) Dial(ctx context.Context, addr string) (net.Conn, error) {
	wait := m.w.delay()
	m.w.mu.Lock()
	m.w.dial++
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
		if m.dead {
			m.w.mu.Unlock()
			return nil, ErrRefused
		}
		if m.w.cut(m.addr, addr) || m.w.cut(addr, m.addr) {
			m.w.mu.Unlock()
			wait = 50 * time.Millisecond
			continue
		}
		e := m.w.listeners[addr]
		if e == nil {
			m.w.mu.Unlock()
			return nil, ErrRefused
		}
		a, b := &connection{w: m.w, m: m, to: addr}, &connection{w: m.w, m: e.m, to: m.addr}
		a.far, b.far = b, a
		a.more, b.more = make(chan struct{}, 1), make(chan struct{}, 1)
		a.gone, b.gone = make(chan struct{}), make(chan struct{})
		a.wakeTimer, b.wakeTimer = newStoppedTimer(), newStoppedTimer()
		m.w.connections[a], m.w.connections[b] = true, true
		m.w.mu.Unlock()
		select {
		case e.ch <- b:
			return a, nil
		case <-e.done:
			return nil, ErrRefused
		}
	}
}

func (w *World) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rnd.Int64N(int64(w.maxDelay)) + 1)
}

// piece is what one write sent. Where a cut holds it back it waits at its sender, and arrives after the heal.
type piece struct {
	data []byte
	at   time.Time // when it arrives, unless a cut holds it back
}

// connection is one end of a connection. What arrives stands in its own queue.
type connection struct {
	w         *World
	m         *machine
	to        string
	far       *connection
	in        []piece
	last      time.Time
	more      chan struct{}
	until     time.Time   // of reading
	wakeTimer *time.Timer // wakes the reader when the next piece arrives or its time is up
	gone      chan struct{}
	down      bool
	eof       bool
	reset     bool // the other end has aborted the connection, and this end knows
	aborts    bool // Close aborts the connection
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (c *connection) wakeReader() {
	select {
	case c.more <- struct{}{}:
	default:
	}
}

// fail breaks the end; the caller holds the world's lock.
func (c *connection) fail() {
	if !c.down {
		c.down = true
		close(c.gone)
		c.wakeTimer.Stop()
		delete(c.w.connections, c)
	}
}

func (c *connection) Read(b []byte) (int, error) {
	for {
		c.w.mu.Lock()
		if c.down {
			c.w.mu.Unlock()
			return 0, io.ErrUnexpectedEOF
		}
		if len(c.in) > 0 && !c.w.cut(c.to, c.m.addr) {
			if !c.in[0].at.After(time.Now()) {
				n := copy(b, c.in[0].data)
				if c.in[0].data = c.in[0].data[n:]; len(c.in[0].data) == 0 {
					c.in = c.in[1:]
				}
				c.w.mu.Unlock()
				return n, nil
			}
		} else if c.reset && len(c.in) == 0 {
			c.w.mu.Unlock()
			return 0, syscall.ECONNRESET
		} else if c.eof && len(c.in) == 0 {
			c.w.mu.Unlock()
			return 0, io.EOF
		}
		// What has arrived, the other end's close too, is seen even past the deadline: whoever looks
		// whether an idle connection is clean sets one that has passed.
		if !c.until.IsZero() && time.Until(c.until) <= 0 {
			c.w.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		c.setWakeTimer()
		c.w.mu.Unlock()
		select {
		case <-c.more:
		case <-c.wakeTimer.C:
		case <-c.gone:
		}
	}
}

// setWakeTimer sets the timer to when the reader has to look again: as the first piece arrives, or at the deadline. The
// caller holds the world's lock.
func (c *connection) setWakeTimer() {
	var next time.Time
	if len(c.in) > 0 && !c.w.cut(c.to, c.m.addr) {
		next = c.in[0].at
	}
	if !c.until.IsZero() && (next.IsZero() || c.until.Before(next)) {
		next = c.until
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
	if c.down || c.m.dead {
		return 0, io.ErrClosedPipe
	}
	if c.far.down || c.far.eof {
		return 0, io.ErrClosedPipe
	}
	at := time.Now().Add(d)
	if at.Before(c.far.last) {
		at = c.far.last // pieces of one connection keep their order
	}
	c.far.last = at
	c.far.in = append(c.far.in, piece{append([]byte{}, b...), at})
	c.w.sent++
	if len(c.far.in) == 1 {
		c.far.setWakeTimer() // the reader need not wake before the piece is there
	}
	return len(b), nil
}

// Close ends the connection. In order, the other end reads what is under way and what waits at this end, then the end of
// the stream. Aborted, what a cut holds back is discarded and the other end reads what has arrived, then a reset. The reset
// itself is lost in a cut: the other end learns of it only by writing.
func (c *connection) Close() error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.down {
		return nil
	}
	c.fail()
	switch since, isCut := c.w.cutSince(c.m.addr, c.to); {
	case !c.aborts:
		c.far.eof = true
	case isCut:
		c.far.discardAfter(since)
	default:
		c.far.reset = true
	}
	c.far.wakeReader()
	return nil
}

// discardAfter drops the pieces that had not arrived at a moment. The caller holds the world's lock.
func (c *connection) discardAfter(moment time.Time) {
	arrived := 0
	for arrived < len(c.in) && !c.in[arrived].at.After(moment) {
		arrived++
	}
	c.in = c.in[:arrived]
}

// SetLinger sets what Close does, as of a *net.TCPConn: with 0 seconds it aborts the connection.
func (c *connection) SetLinger(seconds int) error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.aborts = seconds == 0
	return nil
}

// LocalAddr is the address of this end.
func (c *connection) LocalAddr() net.Addr { return address(c.m.addr) }

// RemoteAddr is the address of the other end.
func (c *connection) RemoteAddr() net.Addr { return address(c.to) }

// SetDeadline bounds the reads: a write never waits.
func (c *connection) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing: a write never waits.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline bounds the reads, also one that waits already.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.until = t
	c.wakeReader()
	return nil
}
