package wire

import (
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
)

// compressAboveBytes is the body size above which compression is attempted.
const compressAboveBytes = 4 << 10

// compress compresses a large body if that saves more than an eighth of its size. The frame must then go only to a peer
// that has announced AcceptsCompressed.
func (f *Frame) compress() {
	if len(f.Body) <= compressAboveBytes {
		return
	}
	if compressed := s2.Encode(nil, f.Body); len(compressed) < len(f.Body)*7/8 {
		f.Body, f.Compressed = compressed, true
	}
}

// decompress decompresses a compressed body. It checks the size in the body's header before it allocates memory for it.
func (f *Frame) decompress() error {
	if !f.Compressed {
		return nil
	}
	size, err := s2.DecodedLen(f.Body)
	if err != nil {
		return eris.Wrap(err, "wire: decompress body")
	}
	if size > MaxBodyBytes {
		return eris.Errorf("wire: decompressed body of %d bytes exceeds the limit of %d", size, MaxBodyBytes)
	}
	if f.Body, err = s2.Decode(nil, f.Body); err != nil {
		return eris.Wrap(err, "wire: decompress body")
	}
	f.Compressed = false
	return nil
}
