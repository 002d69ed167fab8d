// Command lab plays the scripted cases of the third review: it starts entry VMs as the deploy file does, with a store and runners of its
// own on loopback, sends requests, and judges what callers and runners saw.
package main

import (
	"context"
	"errors"
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

// maxRun bounds the time of a case.
const maxRun = 110 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("rule broken")

// plays holds the cases by name; each registers itself.
var plays = map[string]func(context.Context, *site, bool) error{}

func main() { os.Exit(run()) }

// run plays the case that the first argument names; the second is the path of its record. TROUBLE=0 leaves the disruption out.
func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = plays[os.Args[1]](ctx, s, os.Getenv("TROUBLE") != "0")
	s.close()
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("out of time: %w", ctx.Err()) // what was left out can't have held
	}
	switch {
	case err == nil:
		s.note("held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.note("%v", err)
		return exitBroken
	default:
		s.note("not run: %v", err)
		return exitNotRun
	}
}
