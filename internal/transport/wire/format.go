//go:build !next

package wire

// FormatVersion is the frame format that this build writes. It also reads frames of the previous and the next format.
const FormatVersion = 1
