// Router is the data plane of yarrowridge: it takes queries from origins and carries them to runners.
package main

import (
	"os"

	"yarrowridge/internal/dataplane/router"
)

func main() { os.Exit(router.Main(os.Args[1:], os.Stderr)) }
