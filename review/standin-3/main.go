// Standin-3 plays the cases of the third review against the project's own processes: it is their platform, targets,
// clients and operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTime ends a case that makes no progress.
const playTime = 115 * time.Second

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotValid = 2
)

// A play runs one case and reports whether its rule was broken.
type play func(w *world) (broken bool)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotValid)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case and returns its exit status. All processes have ended when it returns.
func run(p play, path string) (status int) {
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotValid
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	ended := make(chan int, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				w.note("the case couldn't run: %v", cause)
				ended <- exitNotValid
			}
		}()
		if p(w) {
			ended <- exitBroken
			return
		}
		ended <- exitHeld
	}()
	select {
	case status = <-ended:
	case <-time.After(playTime):
		w.note("the case couldn't run: it took longer than %s", playTime)
		status = exitNotValid
	case <-interrupted:
		status = exitNotValid
	}
	w.note("exit status %d", status)
	return status
}
