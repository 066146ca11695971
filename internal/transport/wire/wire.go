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
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/transport/tcp"
)

// MaxFrameBytes is the largest frame body read, in bytes.
const MaxFrameBytes = 8 << 20

// dialTimeout is the most that opening a connection may take. The opening packet to a machine that is just starting
// is lost, and the system sends it again after a second only: the next try comes sooner.
const dialTimeout = 250 * time.Millisecond

// dialRetryPause is between the tries of one dial, which go on side by side: a machine that starts meanwhile answers
// the next one.
const dialRetryPause = 50 * time.Millisecond

// idleTimeout is how long a connection is kept unused once others are opened. Digests go to random nodes: without
// a bound every router would in time hold a connection to every other.
const idleTimeout = 10 * time.Second

// unacknowledgedLimit is how long bytes may stay without an acknowledgement before TCP gives a connection up. A
// machine that lost power knows nothing of its connections once it is back, and says so only to the next byte: TCP
// sends again at pauses that double, so that a peer back after 1.7 s would be reached 3 s after the first lost byte.
const unacknowledgedLimit = time.Second

// Two kinds of trouble a caller must tell apart.
var (
	// ErrUnsent means no byte of the call has left this process.
	ErrUnsent = errors.New("not sent")
	// ErrOutcomeUnknown means the call may have been carried out.
	ErrOutcomeUnknown = errors.New("in doubt")
)

// Net dials and listens. The daemons use TCP; the simulated fleet uses memory.
type Net interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the net of the daemons.
type TCP struct {
	From string // the IP number to dial from; empty: the system's choice
}

// Dial opens a connection within two seconds. It ends by itself once a byte is not acknowledged for a second.
func (t TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := Dialer(t.From, 2*time.Second)
	dialer.Control = tcp.GiveUpAfter(unacknowledgedLimit)
	return dialer.DialContext(ctx, "tcp", addr)
}

// Dialer dials within a time from an IP number; from the system's choice where it is "".
func Dialer(from string, wait time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: wait}
	if ip := net.ParseIP(from); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// Listen binds addr.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Handler carries out one call: kind and body in, answer out.
type Handler func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error)

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
	if n > MaxFrameBytes+1024 {
		return eris.Errorf("wire: frame of %d bytes, at most %d expected", n, MaxFrameBytes)
	}
	f.size = len(head) + int(n)
	buf := make([]byte, n)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	if _, err := f.UnmarshalMsg(buf); err != nil {
		return eris.Wrap(err, "wire: frame unread")
	}
	if f.Fmt+1 < FormatVersion || f.Fmt > FormatVersion+1 {
		return eris.Errorf("wire: format %d, %d to %d expected", f.Fmt, FormatVersion-1, FormatVersion+1)
	}
	return f.unpack()
}

// Serve answers calls on l until ctx ends. Each call runs as its own task.
func Serve(ctx context.Context, l net.Listener, handler Handler) {
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
		all.Go(func() { serve(ctx, con, handler) })
	}
}

func serve(ctx context.Context, con net.Conn, handler Handler) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(ctx, func() { con.Close() })
	defer stop()
	defer con.Close()
	answers := &answerer{con: con, handler: handler, spare: make(chan struct{}, maxIdleTasks)}
	idle := make(chan Frame)
	for {
		var f Frame
		if read(con, &f) != nil {
			return
		}
		traffic.of(f.Kind).callsReceived.add(f.size)
		select {
		case idle <- f:
		default:
			go answers.work(ctx, f, idle)
		}
	}
}

// maxIdleTasks is how many tasks of one connection wait for its next calls.
const maxIdleTasks = 8

// answerer carries out the calls of one connection.
type answerer struct {
	con     net.Conn
	handler Handler
	spare   chan struct{} // one entry for each idle task
	mu      sync.Mutex    // held while an answer is written
}

// work carries out a call, and then as many more as come while it is idle. A task that has carried out a call has a
// stack that is large enough for the next one; a new one would have to grow its own. Where enough are idle, it ends.
func (a *answerer) work(ctx context.Context, f Frame, more <-chan Frame) {
	for {
		a.answer(ctx, &f)
		select {
		case a.spare <- struct{}{}:
		default:
			return
		}
		select {
		case f = <-more:
		case <-ctx.Done():
			return
		}
		<-a.spare
	}
}

// answer carries out one call and writes its answer.
func (a *answerer) answer(ctx context.Context, f *Frame) {
	out := Frame{Fmt: FormatVersion, ID: f.ID, Kind: f.Kind, Unpacks: true}
	ans, err := a.handler(ctx, f.Kind, f.Body)
	if err == nil && ans != nil {
		out.Body, err = ans.MarshalMsg(nil)
	}
	if err != nil {
		out.Err = string(codeOf(err))
	}
	if f.Unpacks {
		out.pack()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.con.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if write(a.con, &out) != nil {
		a.con.Close()
		return
	}
	traffic.of(f.Kind).answersSent.add(out.size)
}

// Handlers sends each call to the handler that owns the part of its kind before the dot.
type Handlers map[string]Handler

// Do is the Handler that splits by owner.
func (h Handlers) Do(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	for i := range len(kind) {
		if kind[i] == '.' {
			if own := h[kind[:i]]; own != nil {
				return own(ctx, kind, body)
			}
			break
		}
	}
	return nil, StatusError{Code: CodeUnknownKind}
}

// HandleTyped unpacks a call's body and passes it to a typed function.
func HandleTyped[I any, P interface {
	*I
	msgp.Unmarshaler
}, O msgp.Marshaler](body []byte, do func(P) (O, error)) (msgp.Marshaler, error) {
	in := P(new(I))
	if _, err := in.UnmarshalMsg(body); err != nil {
		return nil, StatusError{Code: CodeInvalidBody}
	}
	return do(in)
}
