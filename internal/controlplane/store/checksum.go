package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// checksumBytes is the length of the CRC-32 at the end of each file, in bytes.
const checksumBytes = 4

// AddChecksum returns a file's content with a checksum behind it, by which damage is recognized.
func AddChecksum(raw []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(raw), crc32.ChecksumIEEE(raw))
}

// VerifyChecksum returns a file's content without its checksum, and reports whether that was right.
func VerifyChecksum(file []byte) ([]byte, bool) {
	if len(file) < checksumBytes {
		return nil, false
	}
	end := len(file) - checksumBytes
	raw, sum := file[:end], binary.BigEndian.Uint32(file[end:])
	return raw, crc32.ChecksumIEEE(raw) == sum
}
