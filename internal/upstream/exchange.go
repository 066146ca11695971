package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
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
	ended      bool // the body was read to its end
	spoiled    bool // the connection must not be used again
	deadline   bool // a read deadline is set
	over       atomic.Bool
}

// Reused tells whether the connection was idle before.
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
	if e.over.Load() {
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

// begin makes response the answer of the exchange.
func (e *Exchange) begin(response *http.Response) Head {
	e.response = response
	e.framed = isFramed(response)
	e.ended = response.Body == http.NoBody
	e.Body = (*body)(e)
	chunked := len(response.TransferEncoding) > 0
	return Head{response.StatusCode, response.Header, response.ContentLength, chunked, e.framed}
}

// isFramed tells whether the end of the body is marked.
func isFramed(response *http.Response) bool {
	return response.Body == http.NoBody || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
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
	if !isFramed(response) {
		return eris.Wrap(ErrExtraAnswers, "one without a marked end")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, MaxExtraBytes+1))
	if err != nil {
		return e.cause(err)
	}
	if n > MaxExtraBytes {
		return eris.Wrapf(ErrExtraAnswers, "one larger than %d bytes", MaxExtraBytes)
	}
	return nil
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
	if e.over.Load() {
		return 0, e.failure(StepReadBody, ErrExchangeOver)
	}
	n, err := e.response.Body.Read(buffer)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		e.ended = true
		return n, io.EOF
	}
	if err = e.cause(err); err == io.ErrUnexpectedEOF {
		return n, err
	}
	return n, e.failure(StepReadBody, err)
}

// Finish ends the exchange. The connection is kept for another if the body was read to its marked end, the
// runner does not close it, and it has sent nothing more; otherwise it is closed.
func (e *Exchange) Finish() {
	if e.over.Swap(true) {
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
	if e.over.Swap(true) {
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
