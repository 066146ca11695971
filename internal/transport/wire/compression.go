package wire

import (
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
)

// packAbove is the size above which a body is compressed.
const compressAboveBytes = 4 << 10

// pack compresses a large body if that is worth it. Only a peer that has said so can read it.
func (f *Frame) compress() {
	if len(f.Body) <= compressAboveBytes {
		return
	}
	if small := s2.Encode(nil, f.Body); len(small) < len(f.Body)*7/8 {
		f.Body, f.Compressed = small, true
	}
}

// unpack restores a compressed body.
func (f *Frame) decompress() error {
	if !f.Compressed {
		return nil
	}
	size, err := s2.DecodedLen(f.Body)
	if err != nil {
		return eris.Wrap(err, "wire: compressed body unread")
	}
	if size > MaxFrameBytes {
		return eris.Errorf("wire: compressed body of %d bytes, at most %d expected", size, MaxFrameBytes)
	}
	if f.Body, err = s2.Decode(nil, f.Body); err != nil {
		return eris.Wrap(err, "wire: compressed body unread")
	}
	f.Compressed = false
	return nil
}
