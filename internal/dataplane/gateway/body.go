package gateway

import "io"

// defaultMaxBodyBytes limits a body of unknown length if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the complete request body into memory, because each attempt sends it again.
func (r *request) readBody() error {
	maxBytes := int64(r.table.Limits.BodyBytes)
	length := r.httpRequest.ContentLength
	switch {
	case length == 0:
		return nil
	case length > maxBytes && maxBytes > 0:
		return reject(CodeBodyTooLarge)
	case length > 0:
		return r.readSizedBody(length)
	case maxBytes <= 0:
		maxBytes = defaultMaxBodyBytes
	}
	return r.readUnsizedBody(maxBytes)
}

func (r *request) readSizedBody(length int64) error {
	r.body = make([]byte, length)
	if _, err := io.ReadFull(r.httpRequest.Body, r.body); err != nil {
		return reject(CodeBodyIncomplete)
	}
	return nil
}

func (r *request) readUnsizedBody(maxBytes int64) error {
	body, err := io.ReadAll(io.LimitReader(r.httpRequest.Body, maxBytes+1))
	if err != nil {
		return reject(CodeBodyIncomplete)
	}
	if int64(len(body)) > maxBytes {
		return reject(CodeBodyTooLarge)
	}
	r.body = body
	return nil
}
