package wire

import (
	"context"
	"errors"
	"sync"

	"github.com/tinylib/msgp/msgp"
)

// Caller makes calls over one open connection for each address. Its methods may be called concurrently.
type Caller struct {
	network Network

	mu          sync.Mutex // guards what follows; taken before a connection's, and not held while one is dialled
	connections map[string]*connection
	dials       map[string]*pendingDial
	closed      bool
}

// NewCaller returns a Caller over a network. The caller of NewCaller closes it.
func NewCaller(network Network) *Caller {
	return &Caller{network: network, connections: map[string]*connection{}, dials: map[string]*pendingDial{}}
}

// Close closes all connections. Calls under way end with ErrOutcomeUnknown, and no connection is opened from then on.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, conn := range c.connections {
		conn.close()
		delete(c.connections, addr)
	}
}

// Call sends request to addr and decodes the response into response; nil stands for an empty message. It blocks until
// the response is there, the connection failed or ctx ended. Without a deadline only the dial and the write are bounded.
//
// Except where request cannot be encoded, the error is a *CallError that is ErrUnsent, ErrOutcomeUnknown or a
// StatusError.
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
		return unsent(kind, addr, err)
	}
	if conn.peerAcceptsCompressed.Load() {
		call.compress()
	}
	responses, err := conn.send(ctx, &call)
	if errors.Is(err, ErrUnsent) {
		return &CallError{Kind: kind, Peer: addr, Err: ErrUnsent}
	}
	if err != nil {
		return outcomeUnknown(kind, addr, "", err)
	}
	select {
	case frame, ok := <-responses:
		if !ok {
			return &CallError{Kind: kind, Peer: addr, Detail: "connection lost", Err: ErrOutcomeUnknown}
		}
		return decodeResponse(addr, kind, &frame, response)
	case <-ctx.Done():
		conn.forget(call.ID)
		return outcomeUnknown(kind, addr, "", ctx.Err())
	}
}

// decodeResponse decodes the response of a call to addr into a message, where one is wanted.
func decodeResponse(addr, kind string, frame *Frame, response msgp.Unmarshaler) error {
	if frame.ErrorCode != "" {
		return &CallError{Kind: kind, Peer: addr, Err: StatusError{Code: Code(frame.ErrorCode)}}
	}
	if response == nil {
		return nil
	}
	if _, err := response.UnmarshalMsg(frame.Body); err != nil {
		return outcomeUnknown(kind, addr, "decode response", err)
	}
	return nil
}
