package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"evicted-streams":  evictedStreams,
	"replaced-keepers": replacedKeepers,
	"unread-bodies":    unreadBodies,
	"full-queues":      fullQueues,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitFailed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.conclude("the case could not run: %v", err)
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
