// Command harness runs the scripted cases of the review. It starts the processes of
// the system with the commands of the deploy file, and plays the platform's store, the
// operator, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"runtime"
)

var cases = map[string]func(*deployment) (int, string){}

// init keeps the main goroutine on the main thread. The processes of the system are
// started from there and are ended when that thread ends.
func init() { runtime.LockOSThread() }

func main() {
	os.Exit(runCase())
}

func runCase() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT FOLDER")
		return noRun
	}
	var d *deployment
	defer func() {
		if r := recover(); r != nil {
			text, ok := r.(abort)
			if !ok {
				panic(r)
			}
			fmt.Println("the case could not run:", string(text))
			status = noRun
		}
		if d != nil {
			d.close()
		}
	}()
	d = newDeployment(os.Args[2], os.Args[3])
	status, text := cases[os.Args[1]](d)
	d.record("%s", text)
	fmt.Println(text)
	return status
}
