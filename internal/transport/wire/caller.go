package wire

import (
	"context"
	"errors"
	"sync"

	"github.com/tinylib/msgp/msgp"
)

// Caller makes calls to other processes, over one connection per address. It is safe for concurrent use.
type Caller struct {
	network Network

	mu          sync.Mutex // guards the fields below; locked before a connection's mu, and not held during a dial
	connections map[string]*connection
	dials       map[string]*pendingDial
	closed      bool
}

// NewCaller returns a Caller that dials through network. Close it after use.
func NewCaller(network Network) *Caller {
	return &Caller{network: network, connections: map[string]*connection{}, dials: map[string]*pendingDial{}}
}

// Close closes all connections. Pending calls fail with ErrOutcomeUnknown, and no new connection is opened.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, conn := range c.connections {
		conn.close()
		delete(c.connections, addr)
	}
}

// Call sends request to addr and decodes the response into response; a nil message is an empty one. It blocks until the
// response arrives, the connection fails or ctx is done. If ctx has no deadline, only the dial and the write are bounded.
//
// The error is a *CallError that wraps ErrUnsent, ErrOutcomeUnknown or a StatusError, unless request cannot be encoded.
func (c *Caller) Call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	call := Frame{Format: FormatVersion, Kind: kind, AcceptsCompressed: true}
	if request != nil {
		var err error
		if call.Body, err = request.MarshalMsg(nil); err != nil {
			return err
		}
	}
	conn, err := c.connection(ctx, addr)
	if err != nil {
		return unsentError(kind, addr, err)
	}
	if conn.peerAcceptsCompressed.Load() {
		call.compress()
	}
	responses, err := conn.send(ctx, &call)
	if errors.Is(err, ErrUnsent) {
		return &CallError{Kind: kind, Peer: addr, Err: ErrUnsent}
	}
	if err != nil {
		return outcomeUnknownError(kind, addr, "", err)
	}
	select {
	case frame, ok := <-responses:
		if !ok {
			return &CallError{Kind: kind, Peer: addr, Detail: "connection lost", Err: ErrOutcomeUnknown}
		}
		return decodeResponse(addr, kind, &frame, response)
	case <-ctx.Done():
		conn.abandon(call.ID)
		return outcomeUnknownError(kind, addr, "", ctx.Err())
	}
}

// decodeResponse decodes the response frame of a call into response, which may be nil.
func decodeResponse(addr, kind string, frame *Frame, response msgp.Unmarshaler) error {
	if frame.ErrorCode != "" {
		return &CallError{Kind: kind, Peer: addr, Err: StatusError{Code: Code(frame.ErrorCode)}}
	}
	if response == nil {
		return nil
	}
	if _, err := response.UnmarshalMsg(frame.Body); err != nil {
		return outcomeUnknownError(kind, addr, "decode response", err)
	}
	return nil
}
