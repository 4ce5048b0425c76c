// Command standin-2 plays the scripted cases of the second review. It starts the project's processes on loopback addresses
// and stands in for their clients, their targets and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit ends a play that makes no progress, before the 120 seconds of a script are over.
const playLimit = 105 * time.Second

// A play runs a case, with its disruption if trouble is set, and returns what broke the rule, or nothing.
type play func(s *system, trouble bool) (broken string, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, folder string, trouble bool) int {
	chosen, known := plays[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	s, err := newSystem(r)
	if err != nil {
		r.printf("could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	limit := time.AfterFunc(playLimit, func() {
		r.printf("could not run: no end after %v", playLimit)
		s.close()
		r.close()
		os.Exit(exitNotRun)
	})
	defer limit.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitNotRun)
	}()
	r.printf("case %s, trouble %t", name, trouble)
	broken, err := chosen(s, trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return exitNotRun
	case broken != "":
		r.printf("RULE BROKEN: %s", broken)
		return exitBroken
	default:
		r.printf("the rule held")
		return exitHeld
	}
}
