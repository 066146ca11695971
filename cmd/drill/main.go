// Command drill runs a whole yarrowridge fleet on one machine for load and fault tests.
package main

import (
	"os"

	"yarrowridge/internal/testing/drill"
)

func main() { os.Exit(drill.Main(os.Args[1:], os.Stdout)) }
