// Command harness plays the cases of an independent review against the programs of the deploy file. It starts cores and
// routers as processes on loopback addresses, plays their clients, runners and operator, and judges one rule per case by what
// these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// maxRunTime is the longest time that a case may take.
const maxRunTime = 100 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// errBroken is wrapped by the error of a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// caseFunc plays a case. With trouble unset it leaves out the disruption.
type caseFunc func(f *fleet, trouble bool) error

// cases lists the cases by the name that the scripts pass.
var cases = map[string]caseFunc{}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name and returns the exit code.
func run(arguments []string) int {
	if len(arguments) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		return exitNotRun
	}
	play, known := cases[arguments[0]]
	if !known {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "harness: unknown case; there are", names)
		return exitNotRun
	}
	record, err := newRecord(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	defer record.close()
	f, err := newFleet(arguments[1], record)
	if err != nil {
		record.add("harness", "could not begin: %v", err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("harness", "case %s, trouble %v", arguments[0], trouble)
	played := make(chan error, 1)
	go func() { played <- play(f, trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case err = <-played:
	case received := <-interrupted:
		err = fmt.Errorf("interrupted by %v", received)
	case <-time.After(maxRunTime):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		record.add("verdict", "the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.add("verdict", "%v", err)
		return exitBroken
	}
	record.add("verdict", "could not run: %v", err)
	return exitNotRun
}
