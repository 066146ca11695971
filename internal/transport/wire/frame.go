package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// MaxBodyBytes is the maximum size of a frame's body in bytes, both as sent and decompressed.
const MaxBodyBytes = 8 << 20

const (
	// lengthBytes is the size of a frame's length prefix, which is in big-endian order and does not count itself.
	lengthBytes = 4
	// maxEnvelopeBytes is the maximum size of a frame's fields other than its body.
	maxEnvelopeBytes = 1024
)

// writeFrame writes a frame in a single Write and sets its wireBytes.
func writeFrame(w io.Writer, f *Frame) error {
	buf := make([]byte, lengthBytes, 64+len(f.Body))
	buf, err := f.MarshalMsg(buf)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-lengthBytes))
	f.wireBytes = len(buf)
	_, err = w.Write(buf)
	return err
}

// readFrame reads the next frame and decompresses its body. After an error the position in the stream is undefined, and
// r must not be read again.
func readFrame(r io.Reader, f *Frame) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxBodyBytes+maxEnvelopeBytes {
		return eris.Errorf("wire: frame of %d bytes exceeds the limits of %d for the body and %d for the other fields", n, MaxBodyBytes, maxEnvelopeBytes)
	}
	f.wireBytes = len(prefix) + int(n)
	buf := make([]byte, n)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	if _, err := f.UnmarshalMsg(buf); err != nil {
		return eris.Wrap(err, "wire: decode frame")
	}
	if f.Format+1 < FormatVersion || f.Format > FormatVersion+1 {
		return eris.Errorf("wire: frame format %d is not supported, only %d to %d", f.Format, FormatVersion-1, FormatVersion+1)
	}
	return f.decompress()
}
