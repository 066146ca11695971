//go:build faultinjection

// Package faultinjection disables the mechanism that the environment variable YARROWRIDGE_DISABLED_MECHANISM names. This file
// is part of test builds only.
package faultinjection

import "os"

// Disabled reports whether this is the mechanism that the environment variable names.
func Disabled(name string) bool { return os.Getenv("YARROWRIDGE_DISABLED_MECHANISM") == name }
