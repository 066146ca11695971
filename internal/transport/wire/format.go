//go:build !next

package wire

// FormatVersion is the format this build writes. Frames of the format one below or above are read too.
const FormatVersion = 1
