// Command core runs one core of yarrowridge's control plane. The cores, usually five, agree on the configuration and
// replicate it.
package main

import (
	"os"

	"yarrowridge/internal/controlplane/control"
)

func main() { os.Exit(control.Main(os.Args[1:], os.Stderr)) }
