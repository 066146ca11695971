// Command router runs one router of yarrowridge's data plane: it accepts requests from clients and forwards them to runners.
package main

import (
	"os"

	"yarrowridge/internal/dataplane/router"
)

func main() { os.Exit(router.Main(os.Args[1:], os.Stderr)) }
