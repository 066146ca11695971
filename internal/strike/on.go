//go:build strike

package strike

import "os"

// Out tells whether a mechanism is struck out.
//
//	if !strike.Out("claim") { ... }
func Out(name string) bool { return os.Getenv("YARROWRIDGE_STRIKE") == name }
