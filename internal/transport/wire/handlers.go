package wire

import (
	"context"
	"strings"

	"github.com/tinylib/msgp/msgp"
)

// Handlers maps the names of a process's APIs to their handlers. The name is the part of a kind before its first dot.
type Handlers map[string]Handler

// Dispatch is a Handler that passes each call to the handler of its API. It rejects calls to unknown APIs with
// CodeUnknownKind.
func (h Handlers) Dispatch(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	if api, _, ok := strings.Cut(kind, "."); ok {
		if handler := h[api]; handler != nil {
			return handler(ctx, kind, body)
		}
	}
	return nil, StatusError{Code: CodeUnknownKind}
}

// HandleTyped decodes a call's body into a Request and returns the result of handle. It rejects a body that cannot be
// decoded with CodeInvalidBody.
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
