package wire

import (
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
)

// compressAboveBytes is the size above which a body is compressed.
const compressAboveBytes = 4 << 10

// compress compresses a large body where that saves an eighth of it at least. Only a peer that has said that it accepts
// compressed bodies can read the frame then.
func (f *Frame) compress() {
	if len(f.Body) <= compressAboveBytes {
		return
	}
	if compressed := s2.Encode(nil, f.Body); len(compressed) < len(f.Body)*7/8 {
		f.Body, f.Compressed = compressed, true
	}
}

// decompress restores a compressed body. The size that the body claims is checked before memory is allocated for it.
func (f *Frame) decompress() error {
	if !f.Compressed {
		return nil
	}
	size, err := s2.DecodedLen(f.Body)
	if err != nil {
		return eris.Wrap(err, "wire: decompress body")
	}
	if size > MaxBodyBytes {
		return eris.Errorf("wire: compressed body of %d bytes is above the limit of %d", size, MaxBodyBytes)
	}
	if f.Body, err = s2.Decode(nil, f.Body); err != nil {
		return eris.Wrap(err, "wire: decompress body")
	}
	f.Compressed = false
	return nil
}
