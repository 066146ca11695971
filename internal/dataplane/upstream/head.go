package upstream

import (
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxHeadBytes is how large the head of a response may be.
	MaxHeadBytes = 64 << 10
	// MaxUnrelatedResponses is how many responses of other requests are read and dropped before the one that is waited for.
	MaxUnrelatedResponses = 2
	// MaxUnrelatedBodyBytes is how large the body of such a response may be.
	MaxUnrelatedBodyBytes = 1 << 20

	maxInformational = 8                      // responses with a status below 200 before the final one
	keepAliveMargin  = 500 * time.Millisecond // how much sooner than the runner we take a connection for closed
)

// ReadResponse needs a request only to know whether the response can have a body.
var (
	headRequest = &http.Request{Method: http.MethodHead}
	bodyRequest = &http.Request{Method: http.MethodGet}
)

// Head is the head of a runner's response.
type Head struct {
	Status        int
	Header        http.Header
	ContentLength int64 // in bytes; -1: not told
	Chunked       bool
	Framed        bool // the body's end is marked; otherwise the connection's end is the body's end
}

// ReadHead reads the head of the response. Informational ones (1xx) are skipped. A response that accept refuses
// belongs to another request: it is read and dropped, and the connection is not used again. accept may be nil.
// An error is a *SendError.
func (e *Exchange) ReadHead(accept func(status int, header http.Header) bool) (Head, error) {
	if e.state.Load() != exchangeRunning {
		return Head{}, e.failure(StepReadHead, ErrExchangeOver)
	}
	for range MaxUnrelatedResponses + 1 {
		response, err := e.readFinalHead()
		if err != nil {
			return Head{}, e.failure(StepReadHead, err)
		}
		if accept == nil || accept(response.StatusCode, response.Header) {
			return e.beginBody(response), nil
		}
		e.notReusable = true
		if err := e.discardResponse(response); err != nil {
			return Head{}, e.failure(StepReadHead, err)
		}
	}
	return Head{}, e.failure(StepReadHead, ErrUnrelatedResponses)
}

// beginBody makes response the response whose body is read. The body is not read from response.Body: that waits for a
// chunked body's trailer before it hands over the last bytes in front of it.
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

// readFinalHead reads the head of the next response that is not informational.
func (e *Exchange) readFinalHead() (*http.Response, error) {
	request := bodyRequest
	if e.method == http.MethodHead {
		request = headRequest
	}
	for range maxInformational + 1 {
		e.connection.headBytesLeft = MaxHeadBytes + readBufferBytes // the reader may take some of the body with it
		response, err := http.ReadResponse(e.reader, request)
		e.connection.headBytesLeft = noHeadBound
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
	return nil, eris.Wrapf(ErrMalformed, "more than %d informational responses", maxInformational)
}

// discardResponse reads a response away that is not ours.
func (e *Exchange) discardResponse(response *http.Response) error {
	if !e.beginBody(response).Framed {
		return eris.Wrap(ErrUnrelatedResponses, "one without a marked end")
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
	return eris.Wrapf(ErrUnrelatedResponses, "one larger than %d bytes", MaxUnrelatedBodyBytes)
}
