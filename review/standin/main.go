// Command standin plays one case of the review: it starts the entries as separate processes with the command of the deploy
// file, stands in for the platform's store, the engines, the operator and the clients on loopback addresses, and checks one
// rule by what engines and clients see. It exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runTime bounds a whole run.
const runTime = 115 * time.Second

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play is one case. It returns how often the rule was broken and whether that is more than the rule allows.
type play func(ctx context.Context, w *world, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"keys":   playKeys,
	"stages": playStages,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/geraniumline", "the program under test")
	flag.Parse()
	p, known := plays[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return exitNotRun
	}
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", *name, trouble)
	w := newWorld(rec, *program)
	defer w.close()
	broken, err := p(ctx, w, trouble)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	default:
		rec.say("the rule held")
		return exitHeld
	}
}
