package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// checksumBytes is the size of the CRC-32 at the end of each file.
const checksumBytes = 4

// AddChecksum returns the content of a file with its checksum appended, so that VerifyChecksum can detect damage.
func AddChecksum(raw []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(raw), crc32.ChecksumIEEE(raw))
}

// VerifyChecksum returns the content of a file without its checksum, and reports whether the checksum matches.
func VerifyChecksum(file []byte) ([]byte, bool) {
	if len(file) < checksumBytes {
		return nil, false
	}
	end := len(file) - checksumBytes
	raw, sum := file[:end], binary.BigEndian.Uint32(file[end:])
	return raw, crc32.ChecksumIEEE(raw) == sum
}
