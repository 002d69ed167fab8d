// Package soak runs entry VMs as separate processes, injects random faults from outside of them, and checks what callers and
// runners see against what is promised. A seed decides the faults, the calls and the wrong answers.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
)

var (
	firstSeed     = flag.Uint64("seed", 1, "first seed")
	seedCount     = flag.Int("seeds", 2, "how many seeds are run")
	faultDuration = flag.Duration("length", 5*time.Second, "how long faults are injected with each seed")
	vmCount       = flag.Int("vms", 5, "how many VMs a run has")
)

// regressions are seeds that failed once, each with its cause. They are run each time.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{113, "SIGHUP ended a process that had just started and didn't catch signals yet"},
}

const (
	// callers is the number of callers, each of which makes one call at a time.
	callers = 8
	// recoveryTimeout is how long after the last fault every VM may take to serve the newest configuration.
	recoveryTimeout = 8 * time.Second
	// maxFaultPause is the longest pause between the starts of two faults.
	maxFaultPause = 400 * time.Millisecond
	// runTimeout ends a run that hangs.
	runTimeout = 3 * time.Minute
)

// binary is the path of the program that run built.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program, runs the tests and returns the exit code.
func run(m *testing.M) int {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = dir + "/cornelmux"
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cornelmux").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// TestSoak runs the regressions and then the seeds that the flags ask for.
func TestSoak(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression %d", r.seed), func(t *testing.T) { soak(t, r.seed) })
	}
	for n := range *seedCount {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soak runs one seed: callers make calls while faults are injected, and afterwards every VM has to recover and no promise
// may have been violated.
func soak(t *testing.T, seed uint64) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	s := newSite(ctx, c, seed)
	defer func() {
		s.stop(cancel)
		if t.Failed() {
			s.printLogs()
		}
	}()
	check := newChecker(s.runs)
	ends := make(chan task.End, callers+1)
	callerCtx, stopCallers := context.WithCancel(ctx)
	task.Start(ctx, "checker", ends, check.run)
	for n := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(n)+100))
		task.Start(callerCtx, "caller", ends, func(ctx context.Context) error { return runCaller(ctx, s, n, random, check) })
	}
	faults := injectFaults(ctx, s, rand.New(rand.NewPCG(seed, 1)), &drill{random: rand.New(rand.NewPCG(seed, 2))}, *faultDuration)
	s.endFaults(ctx)
	recoveryErr := s.waitRecovered(ctx)
	stopCallers()
	for range callers {
		<-ends
	}
	rep := check.report(ctx)
	cancel()
	<-ends
	c.Check(recoveryErr, qt.IsNil, qt.Commentf("seed %d, faults %v", seed, faults))
	c.Check(rep.violations, qt.HasLen, 0, qt.Commentf("seed %d, faults %v", seed, faults))
	c.Check(rep.answered > 0, qt.IsTrue)
	t.Logf("seed %d: %d calls, %d answered completely, %d runs, faults %v", seed, rep.calls, rep.answered, rep.runs, faults)
}
