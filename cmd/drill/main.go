// Drill rehearses a yarrowridge fleet on one machine.
package main

import (
	"os"

	"yarrowridge/internal/testing/drill"
)

func main() { os.Exit(drill.Main(os.Args[1:], os.Stdout)) }
