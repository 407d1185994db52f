// Command standin-2 runs the scripted cases 5, 6 and 8 of the review. It holds the stand-ins for the platform's store, the
// endpoints and the callers, and starts the project's own entries as separate processes.
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

// timeLimit bounds a run.
const timeLimit = 110 * time.Second

// cases maps the name of each case to its function, which reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"resume":  runResume,
	"part":    runPart,
	"smuggle": runSmuggle,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	// All processes are ended when the case is, or takes too long.
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		w.log("not run: stopped or out of time")
		w.close()
		os.Exit(exitNotRun)
	}()
	w.log("case %s, disruption %v", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.log("not run: %v", err)
		return exitNotRun
	case broken:
		w.log("result: rule broken")
		return exitBroken
	default:
		w.log("result: rule held")
		return exitHeld
	}
}
