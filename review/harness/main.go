//go:build review

// Command harness plays the scripted cases of the review. It starts gateways with the command of
// the deploy file, and stand-ins for the platform's store, the back ends and the clients, all on
// loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE GATEWAY-PROGRAM RECORD-FILE")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*bed, bool) (bool, error){"unrelated-refusal": unrelatedRefusal, "endless-garbage": endlessGarbage, "older-store": olderStore}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(play func(*bed, bool) (bool, error), program, recordPath string, trouble bool) int {
	b, err := newBed(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer b.close()
	// The case has to end within 120 seconds whatever happens.
	time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "cannot run: out of time")
		b.close()
		os.Exit(exitNotRun)
	})
	held, err := play(b, trouble)
	switch {
	case err != nil:
		b.record.write("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	case !held:
		fmt.Println("rule broken; see", recordPath)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}
