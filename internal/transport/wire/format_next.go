//go:build next

package wire

// FormatVersion is the next frame format. Tests use this build to roll a fleet to the next release and back.
const FormatVersion = 2
