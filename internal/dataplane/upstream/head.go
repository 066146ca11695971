package upstream

import (
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxHeadBytes is the maximum size of the head of a response.
	MaxHeadBytes = 64 << 10
	// MaxUnrelatedResponses is the maximum number of responses to other requests before the expected one.
	MaxUnrelatedResponses = 2
	// MaxUnrelatedBodyBytes is the maximum size of the body of such a response.
	MaxUnrelatedBodyBytes = 1 << 20

	maxInformationalResponses = 8                      // responses with a status below 200 before the final response
	keepAliveMargin           = 500 * time.Millisecond // an idle connection expires this much earlier than its Keep-Alive timeout
)

// Requests for http.ReadResponse, which uses only the method, to determine whether the response can have a body.
var (
	headRequest = &http.Request{Method: http.MethodHead}
	bodyRequest = &http.Request{Method: http.MethodGet}
)

// Head is the status, the header and the body framing of a response.
type Head struct {
	Status        int
	Header        http.Header
	ContentLength int64 // in bytes; -1 if unknown
	Chunked       bool
	Framed        bool // the end of the body is marked; otherwise the body ends when the connection is closed
}

// ReadHead reads the head of the response and skips informational responses (1xx). A response for which accept returns false
// belongs to another request: ReadHead drops it, and the connection is not reused. accept may be nil, which accepts any
// response. Errors are of type *SendError.
func (e *Exchange) ReadHead(accept func(status int, header http.Header) bool) (Head, error) {
	if e.state.Load() != exchangeRunning {
		return Head{}, e.sendError(StepReadHead, ErrExchangeOver)
	}
	for range MaxUnrelatedResponses + 1 {
		response, err := e.readFinalHead()
		if err != nil {
			return Head{}, e.sendError(StepReadHead, err)
		}
		if accept == nil || accept(response.StatusCode, response.Header) {
			return e.beginBody(response), nil
		}
		e.notReusable = true
		if err := e.discardResponse(response); err != nil {
			return Head{}, e.sendError(StepReadHead, err)
		}
	}
	return Head{}, e.sendError(StepReadHead, ErrUnrelatedResponses)
}

// beginBody prepares reading the body of response. The body is not read through response.Body, which waits for the trailer
// of a chunked body before it returns the last bytes of the body.
func (e *Exchange) beginBody(response *http.Response) Head {
	chunked := len(response.TransferEncoding) > 0
	e.response = response
	e.bodyFramed = response.Body == http.NoBody || response.ContentLength >= 0 || chunked
	e.bodyDone = response.Body == http.NoBody
	e.bodyBytesLeft = response.ContentLength
	e.chunks, e.atTrailer = nil, false
	if chunked && !e.bodyDone {
		e.chunks = httputil.NewChunkedReader(e.reader)
	}
	e.Body = (*bodyReader)(e)
	return Head{response.StatusCode, response.Header, response.ContentLength, chunked, e.bodyFramed}
}

// readFinalHead skips informational responses and reads the head of the final one.
func (e *Exchange) readFinalHead() (*http.Response, error) {
	request := bodyRequest
	if e.method == http.MethodHead {
		request = headRequest
	}
	for range maxInformationalResponses + 1 {
		e.connection.headBytesLeft = MaxHeadBytes + readBufferBytes // the buffered reader may read part of the body as well
		response, err := http.ReadResponse(e.reader, request)
		e.connection.headBytesLeft = noHeadLimit
		if err != nil {
			return nil, e.cause(err)
		}
		if response.ProtoMajor != 1 || response.StatusCode < 100 || response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrapf(ErrMalformed, "%s %s", response.Proto, response.Status)
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
	return nil, eris.Wrapf(ErrMalformed, "more than %d informational responses", maxInformationalResponses)
}

// discardResponse reads and drops the body of a response to another request.
func (e *Exchange) discardResponse(response *http.Response) error {
	if !e.beginBody(response).Framed {
		return eris.Wrap(ErrUnrelatedResponses, "end of a response is not marked")
	}
	buffer := make([]byte, readBufferBytes)
	for total := 0; total <= MaxUnrelatedBodyBytes; {
		n, err := e.readBody(buffer)
		total += n
		if err == io.EOF && total <= MaxUnrelatedBodyBytes {
			return nil
		}
		if err != nil && err != io.EOF {
			return e.cause(err)
		}
	}
	return eris.Wrapf(ErrUnrelatedResponses, "body is larger than %d bytes", MaxUnrelatedBodyBytes)
}
