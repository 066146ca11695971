// Command platform runs yarrowridge's router or core on the users' platform: it reads the platform's settings file and uses
// the platform's interfaces to clients, runners and operators.
package main

import (
	"os"

	"yarrowridge/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stderr)) }
