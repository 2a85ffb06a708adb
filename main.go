// Command mimosarelay schedules agent programs between callers and back ends.
package main

import (
	"os"

	"mimosarelay/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
