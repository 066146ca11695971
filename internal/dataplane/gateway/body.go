package gateway

import "io"

// defaultMaxBodyBytes bounds a body where the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the client's complete body: each attempt sends it anew.
func (r *request) readBody() error {
	maxBytes := int64(r.table.Limits.BodyBytes)
	length := r.client.ContentLength
	switch {
	case length == 0:
		return nil
	case length > maxBytes && maxBytes > 0:
		return reject(CodeBodySize)
	case length > 0:
		return r.readSizedBody(length)
	case maxBytes <= 0:
		maxBytes = defaultMaxBodyBytes
	}
	return r.readUnsizedBody(maxBytes)
}

func (r *request) readSizedBody(length int64) error {
	r.body = make([]byte, length)
	if _, err := io.ReadFull(r.client.Body, r.body); err != nil {
		return reject(CodeBody)
	}
	return nil
}

func (r *request) readUnsizedBody(maxBytes int64) error {
	body, err := io.ReadAll(io.LimitReader(r.client.Body, maxBytes+1))
	if err != nil {
		return reject(CodeBody)
	}
	if int64(len(body)) > maxBytes {
		return reject(CodeBodySize)
	}
	r.body = body
	return nil
}
