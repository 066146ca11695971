// Core is the control plane of yarrowridge: five of them agree on the layout and keep it safe.
package main

import (
	"os"

	"yarrowridge/internal/controlplane/control"
)

func main() { os.Exit(control.Main(os.Args[1:], os.Stderr)) }
