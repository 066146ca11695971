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
	// acceptRetryDelay is the pause after a failed accept, for example when the process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond

	// maxIdleWorkers is the maximum number of idle goroutines per connection that wait for its next calls.
	maxIdleWorkers = 8
)

// Handler executes one call and returns its response or an error. It is called concurrently, also for calls on the same
// connection. Its context ends with the server's context, with the connection, and at the caller's deadline, after which
// its response is discarded. An error that wraps a StatusError is sent to the caller with its code, any other error with
// CodeInternal.
type Handler func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error)

// Serve accepts connections on l and executes their calls concurrently until ctx is done or l is closed. When ctx is done,
// it closes l and returns after it has stopped reading calls; handlers may still be running then, with a done context. If
// l is closed first, Serve returns at once, and its open connections are served until ctx is done.
func Serve(ctx context.Context, l net.Listener, handler Handler) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // an error does not matter: l is not used any more
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

// serveConnection serves the calls of a connection until it fails or ctx is done, and then closes it.
func serveConnection(ctx context.Context, conn net.Conn, handler Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeConn := func() { _ = conn.Close() } // an error does not matter: nothing more is read or written
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
			go s.runWorker(ctx, call, calls)
		}
	}
}

// connectionServer executes the calls of one connection.
type connectionServer struct {
	conn        net.Conn
	handler     Handler
	idleWorkers chan struct{} // a semaphore: one element per idle worker

	mu sync.Mutex // held while a response is written, so that frames do not interleave
}

// runWorker executes call and then the calls that arrive while it is idle. A reused goroutine has already grown its stack,
// which a new one would have to do again. It returns if maxIdleWorkers others are idle.
func (s *connectionServer) runWorker(ctx context.Context, call Frame, calls <-chan Frame) {
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

// handleCall executes one call and writes its response. A call whose deadline passed while it was queued here is dropped.
// A call that fails after its deadline gets no response either: the handler may have failed only because its context
// ended, and the caller must not take that for a rejection. The caller's own timeout reports the outcome as unknown.
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

// write writes a response. If that fails, it closes the connection: a partial frame may have been sent, so no other can
// follow.
func (s *connectionServer) write(response *Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, on which the write fails too
	if writeFrame(s.conn, response) != nil {
		_ = s.conn.Close() // the connection has failed already
		return
	}
	traffic.forKind(response.Kind).responsesSent.add(response.wireBytes)
}
