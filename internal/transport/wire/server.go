package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
)

const (
	// acceptRetryDelay is the delay after a failed accept, as of a process without free descriptors.
	acceptRetryDelay = 20 * time.Millisecond

	// maxIdleWorkers is how many goroutines of one connection wait for its next calls.
	maxIdleWorkers = 8
)

// Handler carries out one call: its kind and body in, the response or an error out. It is called concurrently, also for
// calls of one connection. Its context ends with the server's, with the connection, and when the caller gives up: work that
// has not begun by then is of no use to anybody. An error that is a StatusError
// reaches the caller as such; any other one as CodeInternal.
type Handler func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error)

// Serve accepts connections on l and carries out their calls, each in a goroutine of its own, until ctx ends or l is
// closed. It closes l when ctx ends, and returns once no call is read any more; handlers may still be running then, with
// a context that has ended.
func Serve(ctx context.Context, l net.Listener, handler Handler) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // the process is done with it, whatever the error
	defer stop()
	var connections sync.WaitGroup
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				connections.Wait()
				return
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		connections.Go(func() { serveConnection(ctx, conn, handler) })
	}
}

// serveConnection reads calls until the connection fails or ctx ends, and closes it.
func serveConnection(ctx context.Context, conn net.Conn, handler Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeConn := func() { _ = conn.Close() } // nothing more is read or written, whatever the error
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	defer closeConn()
	s := &connectionServer{conn: conn, handler: handler, idleWorkers: make(chan struct{}, maxIdleWorkers)}
	calls := make(chan Frame)
	for {
		var call Frame
		if readFrame(conn, &call) != nil {
			return
		}
		call.setDeadline(time.Now())
		traffic.forKind(call.Kind).callsReceived.add(call.wireBytes)
		select {
		case calls <- call:
		default:
			go s.work(ctx, call, calls)
		}
	}
}

// connectionServer carries out the calls of one connection.
type connectionServer struct {
	conn        net.Conn
	handler     Handler
	idleWorkers chan struct{} // one entry for each idle worker

	mu sync.Mutex // held while a response is written: frames must not mix
}

// work carries out a call, and then as many more as come while it is idle. A goroutine that has carried out a call has
// a stack that is large enough for the next one; a new one would have to grow its own. Where enough are idle, it ends.
func (s *connectionServer) work(ctx context.Context, call Frame, calls <-chan Frame) {
	for {
		s.handleCall(ctx, &call)
		select {
		case s.idleWorkers <- struct{}{}:
		default:
			return
		}
		select {
		case call = <-calls:
		case <-ctx.Done():
			return
		}
		<-s.idleWorkers
	}
}

// handleCall carries out one call and writes its response. A call that has waited here for so long that its caller has given
// up is dropped. Nor is one answered that failed after that: its handler may have failed for want of time, which is no
// rejection. The caller's own clock tells it that the outcome is unknown.
func (s *connectionServer) handleCall(ctx context.Context, call *Frame) {
	ctx, cancel := call.withDeadline(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return
	}
	response := Frame{Format: FormatVersion, ID: call.ID, Kind: call.Kind, AcceptsCompressed: true}
	message, err := s.handler(ctx, call.Kind, call.Body)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	if err == nil && message != nil {
		response.Body, err = message.MarshalMsg(nil)
	}
	if err != nil {
		response.ErrorCode = string(codeOf(err))
	}
	if call.AcceptsCompressed {
		response.compress()
	}
	s.write(&response)
}

// write writes a response. Half a frame may have left when it fails: nothing can follow it, and the connection closes.
func (s *connectionServer) write(response *Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // it fails on a closed connection only, and so does the write
	if writeFrame(s.conn, response) != nil {
		_ = s.conn.Close() // the write's failure is the one that counts
		return
	}
	traffic.forKind(response.Kind).responsesSent.add(response.wireBytes)
}
