package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxHeadBytes is how large the head of an answer may be.
	MaxHeadBytes = 64 << 10
	// MaxExtraAnswers is how many answers of other requests are read away before the one that is waited for.
	MaxExtraAnswers = 2
	// MaxExtraBytes is how large the body of such an answer may be.
	MaxExtraBytes = 1 << 20

	maxInformational = 8                      // answers with a status below 200 before the final one
	keepAliveMargin  = 500 * time.Millisecond // how much sooner than the runner we take a connection for closed
)

// The states of an exchange.
const (
	running = iota
	finished
	aborted
)

// ReadResponse needs a request only to know whether the answer can have a body.
var (
	headRequest = &http.Request{Method: http.MethodHead}
	bodyRequest = &http.Request{Method: http.MethodGet}
)

// Head is the head of a runner's answer.
type Head struct {
	Status        int
	Header        http.Header
	ContentLength int64 // in bytes; -1: not told
	Chunked       bool
	Framed        bool // the body's end is marked; otherwise the connection's end is the body's end
}

// Exchange is one request and its answer on one connection. One goroutine at a time uses it; Abort may be
// called by any. It ends with Finish or Abort.
type Exchange struct {
	// Body gives the answer's bytes as they come, after ReadHead. Its marked end is io.EOF. A body that the
	// runner cuts short is io.ErrUnexpectedEOF; any other failure is a *SendError.
	Body io.Reader

	ctx        context.Context
	stop       func() bool // keeps ctx from closing the connection
	connection *connection
	reader     *bufio.Reader
	method     string
	reused     bool
	response   *http.Response
	framed     bool
	left       int64        // bytes of a body of known length that are still to be read
	chunks     io.Reader    // of a chunked body, up to its last chunk
	trailing   bool         // of a chunked body only the trailer is still to be read
	ended      bool         // the body was read to its end
	spoiled    bool         // the connection must not be used again
	deadline   bool         // a read deadline is set
	state      atomic.Int32 // running, finished or aborted
}

// Reused reports whether the connection was idle before.
func (e *Exchange) Reused() bool { return e.reused }

// SetReadDeadline bounds reads of the head and the body; the zero time lifts the bound. After a read has met
// the deadline (os.ErrDeadlineExceeded) nothing more can be read.
func (e *Exchange) SetReadDeadline(at time.Time) error {
	e.deadline = !at.IsZero()
	return e.connection.SetReadDeadline(at)
}

// ReadHead reads the head of the answer. Informational ones (1xx) are skipped. An answer that accept refuses
// belongs to another request: it is read away, and the connection is not used again. accept may be nil.
// An error is a *SendError.
func (e *Exchange) ReadHead(accept func(status int, header http.Header) bool) (Head, error) {
	if e.state.Load() != running {
		return Head{}, e.failure(StepReadHead, ErrExchangeOver)
	}
	for range MaxExtraAnswers + 1 {
		response, err := e.readFinal()
		if err != nil {
			return Head{}, e.failure(StepReadHead, err)
		}
		if accept == nil || accept(response.StatusCode, response.Header) {
			return e.begin(response), nil
		}
		e.spoiled = true
		if err := e.discard(response); err != nil {
			return Head{}, e.failure(StepReadHead, err)
		}
	}
	return Head{}, e.failure(StepReadHead, ErrExtraAnswers)
}

// begin makes response the answer whose body is read. The body is not read from response.Body: that waits for a
// chunked body's trailer before it hands over the last bytes in front of it.
func (e *Exchange) begin(response *http.Response) Head {
	chunked := len(response.TransferEncoding) > 0
	e.response = response
	e.framed = response.Body == http.NoBody || response.ContentLength >= 0 || chunked
	e.ended = response.Body == http.NoBody
	e.left = response.ContentLength
	e.chunks, e.trailing = nil, false
	if chunked && !e.ended {
		e.chunks = httputil.NewChunkedReader(e.reader)
	}
	e.Body = (*body)(e)
	return Head{response.StatusCode, response.Header, response.ContentLength, chunked, e.framed}
}

// readFinal reads the head of the next answer that is not informational.
func (e *Exchange) readFinal() (*http.Response, error) {
	request := bodyRequest
	if e.method == http.MethodHead {
		request = headRequest
	}
	for range maxInformational + 1 {
		e.connection.headLeft = MaxHeadBytes + readBufferBytes // the reader may take some of the body with it
		response, err := http.ReadResponse(e.reader, request)
		e.connection.headLeft = noHeadLimit
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
	return nil, eris.Wrapf(ErrMalformed, "more than %d informational answers", maxInformational)
}

// discard reads an answer away that is not ours.
func (e *Exchange) discard(response *http.Response) error {
	if !e.begin(response).Framed {
		return eris.Wrap(ErrExtraAnswers, "one without a marked end")
	}
	buffer := make([]byte, readBufferBytes)
	for total := 0; total <= MaxExtraBytes; {
		n, err := e.readBody(buffer)
		total += n
		if err == io.EOF && total <= MaxExtraBytes {
			return nil
		}
		if err != nil && err != io.EOF {
			return e.cause(err)
		}
	}
	return eris.Wrapf(ErrExtraAnswers, "one larger than %d bytes", MaxExtraBytes)
}

// cause tells why the answer could not be read: the context's end, the connection, or what the runner sent.
func (e *Exchange) cause(err error) error {
	failed := e.connection.readErr
	switch {
	case e.ctx.Err() != nil:
		return context.Cause(e.ctx)
	case failed == nil:
		return eris.Wrap(ErrMalformed, err.Error())
	case errors.Is(failed, io.EOF) || errors.Is(failed, syscall.ECONNRESET):
		return io.ErrUnexpectedEOF
	}
	return failed
}

// failure is an error after the request has been written.
func (e *Exchange) failure(step Step, err error) error {
	return &SendError{Sent: true, Step: step, Address: e.connection.peer.address, Err: err}
}

// body is the Exchange as the reader of its answer's body.
type body Exchange

// Read reads what has come of the body, and waits where nothing has.
func (b *body) Read(buffer []byte) (int, error) {
	e := (*Exchange)(b)
	if e.state.Load() != running {
		return 0, e.failure(StepReadBody, ErrExchangeOver)
	}
	n, err := e.readBody(buffer)
	if err == nil || err == io.EOF {
		return n, err
	}
	if err = e.cause(err); err == io.ErrUnexpectedEOF {
		return n, err
	}
	return n, e.failure(StepReadBody, err)
}

// readBody reads once from the body. io.EOF is its end; cause explains any other error.
func (e *Exchange) readBody(buffer []byte) (n int, err error) {
	switch {
	case e.ended:
		return 0, io.EOF
	case e.chunks != nil:
		return e.readChunks(buffer)
	case !e.framed:
		n, err = e.reader.Read(buffer)
		e.ended = err == io.EOF
		return n, err
	}
	n, err = e.reader.Read(buffer[:min(int64(len(buffer)), e.left)])
	e.left -= int64(n)
	if e.left == 0 {
		e.ended = true
		return n, io.EOF
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readChunks reads once from a chunked body.
func (e *Exchange) readChunks(buffer []byte) (n int, err error) {
	if !e.trailing {
		n, err = e.chunks.Read(buffer)
		e.trailing = err == io.EOF
	}
	if !e.trailing {
		return n, err
	}
	if n > 0 && !e.blankLineBuffered() {
		return n, nil // the trailer is read, and perhaps waited for, next time
	}
	if err = e.readTrailer(); err != nil {
		return n, err
	}
	e.ended = true
	return n, io.EOF
}

// blankLineBuffered reports whether an empty trailer is there.
func (e *Exchange) blankLineBuffered() bool {
	if e.reader.Buffered() < 2 {
		return false
	}
	next, _ := e.reader.Peek(2)
	return string(next) == "\r\n"
}

// readTrailer reads a chunked body's trailer away.
func (e *Exchange) readTrailer() error {
	e.connection.headLeft = MaxHeadBytes
	defer func() { e.connection.headLeft = noHeadLimit }()
	for {
		line, err := e.reader.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}

// Finish ends the exchange. The connection is kept for another if the body was read to its marked end, the
// runner does not close it, and it has sent nothing more; otherwise it is closed.
func (e *Exchange) Finish() {
	if !e.state.CompareAndSwap(running, finished) {
		if e.state.Load() == aborted {
			e.connection.Close() // waits until Abort has closed it
		}
		return
	}
	undisturbed := e.stop == nil || e.stop()
	keep := e.keepFor()
	if undisturbed && keep > 0 && e.liftDeadline() {
		e.connection.pool.giveBack(e.connection, keep)
	} else {
		e.connection.Close()
	}
	e.reader.Reset(nil)
	readers.Put(e.reader)
}

// Abort ends the exchange and closes its connection at once. The reader isn't kept: a Read may be running.
func (e *Exchange) Abort() {
	if !e.state.CompareAndSwap(running, aborted) {
		return
	}
	if e.stop != nil {
		e.stop()
	}
	e.connection.Close()
}

// liftDeadline makes the connection fit for the next exchange.
func (e *Exchange) liftDeadline() bool {
	return !e.deadline || e.SetReadDeadline(time.Time{}) == nil
}

// keepFor tells how long the connection may be idle; 0: it is to be closed.
func (e *Exchange) keepFor() time.Duration {
	if e.response == nil || !e.framed || !e.ended || e.spoiled || e.response.Close || e.reader.Buffered() > 0 {
		return 0
	}
	keep := e.connection.pool.options.IdleTimeout
	if told, ok := keepAliveTimeout(e.response.Header); ok {
		keep = min(keep, told-keepAliveMargin)
	}
	return max(keep, 0)
}

// keepAliveTimeout reads `Keep-Alive: timeout=N`, in seconds.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, value := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.Trim(number, " \""), 10, 31)
			if err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}
