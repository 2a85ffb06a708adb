// Command mimosarelay is a scheduler for agent programs: it forwards their calls
// to model engines and services.
package main

import (
	"os"

	"mimosarelay/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
