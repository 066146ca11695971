package upstream

import (
	"bytes"
	"io"
)

// bodyReader implements io.Reader for the response body of an Exchange.
type bodyReader Exchange

// Read returns the bytes of the body that have arrived, and blocks if there are none.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	e := (*Exchange)(b)
	if e.state.Load() != exchangeRunning {
		return 0, e.sendError(StepReadBody, ErrExchangeOver)
	}
	n, err := e.readBody(buffer)
	if err == nil || err == io.EOF {
		return n, err
	}
	if err = e.cause(err); err == io.ErrUnexpectedEOF {
		return n, err
	}
	return n, e.sendError(StepReadBody, err)
}

// readBody reads once from the body. It returns io.EOF at the end of the body; other errors are still to be passed to cause.
func (e *Exchange) readBody(buffer []byte) (n int, err error) {
	switch {
	case e.bodyDone:
		return 0, io.EOF
	case e.chunks != nil:
		return e.readChunks(buffer)
	case !e.bodyFramed:
		n, err = e.reader.Read(buffer)
		e.bodyDone = err == io.EOF
		return n, err
	}
	n, err = e.reader.Read(buffer[:min(int64(len(buffer)), e.bodyBytesLeft)])
	e.bodyBytesLeft -= int64(n)
	if e.bodyBytesLeft == 0 {
		e.bodyDone = true
		return n, io.EOF
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readChunks reads once from a chunked body.
func (e *Exchange) readChunks(buffer []byte) (n int, err error) {
	if !e.atTrailer {
		n, err = e.chunks.Read(buffer)
		e.atTrailer = err == io.EOF
	}
	if !e.atTrailer {
		return n, err
	}
	if n > 0 && !e.blankLineBuffered() {
		return n, nil // the next call reads the trailer, which may block
	}
	if err = e.discardTrailer(); err != nil {
		return n, err
	}
	e.bodyDone = true
	return n, io.EOF
}

// blankLineBuffered reports whether an empty trailer is buffered.
func (e *Exchange) blankLineBuffered() bool {
	if e.reader.Buffered() < 2 {
		return false
	}
	next, _ := e.reader.Peek(2)
	return string(next) == "\r\n"
}

// discardTrailer reads and drops the trailer of a chunked body.
func (e *Exchange) discardTrailer() error {
	e.connection.headBytesLeft = MaxHeadBytes
	defer func() { e.connection.headBytesLeft = noHeadLimit }()
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
