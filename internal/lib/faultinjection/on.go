//go:build faultinjection

// Package faultinjection disables, in a build for tests, the one mechanism that the environment names.
package faultinjection

import "os"

// Disabled reports whether a mechanism is disabled.
func Disabled(name string) bool { return os.Getenv("YARROWRIDGE_DISABLED_MECHANISM") == name }
