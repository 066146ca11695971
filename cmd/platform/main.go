// Command platform runs yarrowridge's router or core on the users' platform: its settings come from the
// platform's file, and clients, runners and operators are spoken to in the platform's way.
package main

import (
	"os"

	"yarrowridge/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stderr)) }
