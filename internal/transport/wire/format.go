//go:build !next

package wire

// Fmt is the format this build speaks. A frame one below or above is read too.
const FormatVersion = 1
