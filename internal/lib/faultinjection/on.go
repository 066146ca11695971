//go:build faultinjection

package faultinjection

import "os"

// Disabled reports whether a mechanism is disabled.
func Disabled(name string) bool { return os.Getenv("YARROWRIDGE_DISABLED_MECHANISM") == name }
