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
const dialAttemptInterval = 50 * time.Millisecond

// idleTimeout is how long a connection is kept unused once others are opened. Digests go to random nodes: without
// a bound every router would in time hold a connection to every other.
const idleTimeout = 10 * time.Second

// unacknowledgedLimit is how long bytes may stay without an acknowledgement before TCP gives a connection up. A
// machine that lost power knows nothing of its connections once it is back, and says so only to the next byte: TCP
// sends again at pauses that double, so that a peer back after 1.7 s would be reached 3 s after the first lost byte.
const unacknowledgedTimeout = time.Second

// Two kinds of trouble a caller must tell apart.
var (
	// ErrUnsent means no byte of the call has left this process.
	ErrUnsent = errors.New("not sent")
	// ErrOutcomeUnknown means the call may have been carried out.
	ErrOutcomeUnknown = errors.New("in doubt")
)

// Net dials and listens. The daemons use TCP; the simulated fleet uses memory.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// TCP is the net of the daemons.
type TCP struct {
	LocalIP string // the IP number to dial from; empty: the system's choice
}

// Dial opens a connection within two seconds. It ends by itself once a byte is not acknowledged for a second.
func (t TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := NewDialer(t.LocalIP, 2*time.Second)
	dialer.Control = tcp.UserTimeoutControl(unacknowledgedTimeout)
	return dialer.DialContext(ctx, "tcp", addr)
}

// Dialer dials within a time from an IP number; from the system's choice where it is "".
func NewDialer(from string, wait time.Duration) *net.Dialer {
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

func writeFrame(w io.Writer, f *Frame) error {
	buf := make([]byte, 4, 64+len(f.Body))
	buf, err := f.MarshalMsg(buf)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-4))
	f.wireBytes = len(buf)
	_, err = w.Write(buf)
	return err
}

func readFrame(r io.Reader, f *Frame) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrameBytes+1024 {
		return eris.Errorf("wire: frame of %d bytes, at most %d expected", n, MaxFrameBytes)
	}
	f.wireBytes = len(head) + int(n)
	buf := make([]byte, n)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	if _, err := f.UnmarshalMsg(buf); err != nil {
		return eris.Wrap(err, "wire: frame unread")
	}
	if f.Format+1 < FormatVersion || f.Format > FormatVersion+1 {
		return eris.Errorf("wire: format %d, %d to %d expected", f.Format, FormatVersion-1, FormatVersion+1)
	}
	return f.decompress()
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
		all.Go(func() { serveConnection(ctx, con, handler) })
	}
}

func serveConnection(ctx context.Context, con net.Conn, handler Handler) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(ctx, func() { con.Close() })
	defer stop()
	defer con.Close()
	answers := &server{conn: con, handler: handler, idleWorkers: make(chan struct{}, maxIdleWorkers)}
	idle := make(chan Frame)
	for {
		var f Frame
		if readFrame(con, &f) != nil {
			return
		}
		traffic.of(f.Kind).callsReceived.add(f.wireBytes)
		select {
		case idle <- f:
		default:
			go answers.worker(ctx, f, idle)
		}
	}
}

// maxIdleTasks is how many tasks of one connection wait for its next calls.
const maxIdleWorkers = 8

// answerer carries out the calls of one connection.
type server struct {
	conn        net.Conn
	handler     Handler
	idleWorkers chan struct{} // one entry for each idle task
	mu          sync.Mutex    // held while an answer is written
}

// work carries out a call, and then as many more as come while it is idle. A task that has carried out a call has a
// stack that is large enough for the next one; a new one would have to grow its own. Where enough are idle, it ends.
func (a *server) worker(ctx context.Context, f Frame, more <-chan Frame) {
	for {
		a.handleCall(ctx, &f)
		select {
		case a.idleWorkers <- struct{}{}:
		default:
			return
		}
		select {
		case f = <-more:
		case <-ctx.Done():
			return
		}
		<-a.idleWorkers
	}
}

// answer carries out one call and writes its answer.
func (a *server) handleCall(ctx context.Context, f *Frame) {
	out := Frame{Format: FormatVersion, ID: f.ID, Kind: f.Kind, AcceptsCompressed: true}
	ans, err := a.handler(ctx, f.Kind, f.Body)
	if err == nil && ans != nil {
		out.Body, err = ans.MarshalMsg(nil)
	}
	if err != nil {
		out.ErrorCode = string(codeOf(err))
	}
	if f.AcceptsCompressed {
		out.compress()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if writeFrame(a.conn, &out) != nil {
		a.conn.Close()
		return
	}
	traffic.of(f.Kind).responsesSent.add(out.wireBytes)
}

// Handlers sends each call to the handler that owns the part of its kind before the dot.
type Handlers map[string]Handler

// Do is the Handler that splits by owner.
func (h Handlers) Dispatch(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
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
