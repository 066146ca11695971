package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// MaxBodyBytes is the size of the largest body that is read, in bytes.
const MaxBodyBytes = 8 << 20

const (
	// lengthBytes is the size of a frame's prefix: the length of what follows, in big-endian order.
	lengthBytes = 4
	// maxEnvelopeBytes is what a frame's other fields may take beside its body.
	maxEnvelopeBytes = 1024
)

// writeFrame writes a frame in one Write and notes its size on the wire.
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

// readFrame reads the next frame and decompresses its body. After an error the reader's position in the stream is
// unknown, and nothing more may be read from it.
func readFrame(r io.Reader, f *Frame) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxBodyBytes+maxEnvelopeBytes {
		return eris.Errorf("wire: frame of %d bytes is above the limit of %d", n, MaxBodyBytes)
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
		return eris.Errorf("wire: frame of format %d, only %d to %d are read", f.Format, FormatVersion-1, FormatVersion+1)
	}
	return f.decompress()
}
