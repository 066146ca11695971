package wire

import (
	"context"
	"strings"

	"github.com/tinylib/msgp/msgp"
)

// Handlers are the handlers of a process's APIs by name, which is the part of a kind before its first dot.
type Handlers map[string]Handler

// Dispatch is a Handler that passes each call to the handler of its API. It rejects calls of others with
// CodeUnknownKind.
func (h Handlers) Dispatch(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	if api, _, ok := strings.Cut(kind, "."); ok {
		if handler := h[api]; handler != nil {
			return handler(ctx, kind, body)
		}
	}
	return nil, StatusError{Code: CodeUnknownKind}
}

// HandleTyped decodes a call's body into a new request and returns the response of handle. It rejects a body that
// is no such request with CodeInvalidBody.
func HandleTyped[Request any, PointerToRequest interface {
	*Request
	msgp.Unmarshaler
}, Response msgp.Marshaler](body []byte, handle func(PointerToRequest) (Response, error)) (msgp.Marshaler, error) {
	request := PointerToRequest(new(Request))
	if _, err := request.UnmarshalMsg(body); err != nil {
		return nil, StatusError{Code: CodeInvalidBody}
	}
	return handle(request)
}
