package upstream

import (
	"bytes"
	"io"
)

// bodyReader is the Exchange as the reader of its response's body.
type bodyReader Exchange

// Read reads what has come of the body, and waits where nothing has.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	e := (*Exchange)(b)
	if e.state.Load() != exchangeRunning {
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
		return n, nil // the trailer is read, and perhaps waited for, next time
	}
	if err = e.readTrailer(); err != nil {
		return n, err
	}
	e.bodyDone = true
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
	e.connection.headBytesLeft = MaxHeadBytes
	defer func() { e.connection.headBytesLeft = noHeadBound }()
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
