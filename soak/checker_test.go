package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"cornelmux/internal/task"
	"cornelmux/platform/standin"
)

// checker collects what callers and runners saw, and checks it against what is promised. One goroutine, run, owns the data.
type checker struct {
	// runs brings what the runners ran.
	runs <-chan standin.Run
	// results brings what the callers got.
	results chan callResult
	// reports hands out a report on everything so far.
	reports chan report
}

// callResult is a call and what its caller got.
type callResult struct {
	call     standin.Call
	response standin.Response
	err      error
}

// report lists the violated promises and counts the calls, those answered completely, and the runs.
type report struct {
	violations []string
	calls      int
	answered   int
	runs       int
}

func newChecker(runs <-chan standin.Run) *checker {
	return &checker{runs: runs, results: make(chan callResult, 1024), reports: make(chan report)}
}

// run collects results and runs until ctx ends.
func (c *checker) run(ctx context.Context) error {
	runs := map[string][]standin.Run{}
	var results []callResult
	for {
		select {
		case r := <-c.runs:
			runs[r.Request] = append(runs[r.Request], r)
		case res := <-c.results:
			results = append(results, res)
		case c.reports <- checkAll(results, runs):
		case <-ctx.Done():
			return nil
		}
	}
}

// report waits for runs that end just now and returns the report on everything so far. soak calls it once, after the callers
// have ended.
func (c *checker) report(ctx context.Context) report {
	task.Sleep(ctx, 300*time.Millisecond) // time for the last runs to arrive
	select {
	case rep := <-c.reports:
		return rep
	case <-ctx.Done():
		return report{violations: []string{"no report before the timeout"}}
	}
}

// checkAll checks, for run, every result, that no non-idempotent request ran twice, and that runners got requests unchanged.
func checkAll(results []callResult, runs map[string][]standin.Run) report {
	rep := report{calls: len(results)}
	calls := map[string]standin.Call{}
	for _, res := range results {
		calls[res.call.ID] = res.call
		if violation := checkResponse(res, len(runs[res.call.ID])); violation != "" {
			rep.violations = append(rep.violations, fmt.Sprintf("request %s %s: %s; it got %d, %v", res.call.ID, res.call.Path, violation, res.response.Status, res.err))
		}
		if res.response.Status == http.StatusOK && res.response.Complete {
			rep.answered++
		}
	}
	for id, requestRuns := range runs {
		rep.runs += len(requestRuns)
		call, ok := calls[id]
		if !ok {
			continue // its caller is still waiting
		}
		if strings.HasPrefix(call.Path, standin.NonIdempotentPrefix) && len(requestRuns) > 1 {
			rep.violations = append(rep.violations, fmt.Sprintf("request %s ran %d times", id, len(requestRuns)))
		}
		for _, r := range requestRuns {
			if r.Path != call.Path || r.Body != call.Body || r.Account != "parish" || r.Key != "" || !slices.Contains(models, r.Model) {
				rep.violations = append(rep.violations, fmt.Sprintf("request %s was altered on the way to the runner: %+v", id, r))
			}
		}
	}
	return rep
}

// models are the values of a run's Model: none for the app, or a size of the model service.
var models = []string{"", "small", "large"}

// checkResponse returns the promise that a response violates, or "". RunCount is how often the request ran.
func checkResponse(res callResult, runCount int) string {
	nonIdempotent := strings.HasPrefix(res.call.Path, standin.NonIdempotentPrefix)
	switch res.response.Status {
	case http.StatusOK:
		expected := res.call.ExpectedBody()
		switch {
		case !strings.HasSuffix(res.response.Signature, "."+res.call.ID):
			return "the signature is for another request: " + res.response.Signature
		case res.response.Complete && res.response.Body != expected:
			return "the answer ended as complete but isn't: " + res.response.Body
		case !strings.HasPrefix(expected, res.response.Body):
			return "the answer is not a prefix of the runner's: " + res.response.Body
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if nonIdempotent && runCount > 0 {
			return "the refusal says that the request did not run, but it ran"
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		return "a valid request was rejected"
	}
	return ""
}

// callTimeout is longer than any call may take; it ends a call to a VM that is frozen.
const callTimeout = 8 * time.Second

// runCaller is the task that makes random calls at random VMs until ctx ends. N tells the callers' request IDs apart. It
// keeps connections open between calls.
func runCaller(ctx context.Context, s *site, n int, random *rand.Rand, check *checker) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for i := 0; task.Sleep(ctx, time.Duration(random.IntN(40))*time.Millisecond); i++ {
		c := standin.Call{ID: fmt.Sprintf("s%d-%d-%d", s.seed, n, i), Key: callerKey}
		switch random.IntN(3) {
		case 0:
			c.Path = standin.IdempotentPrefix + fmt.Sprint(i)
		case 1:
			c.Path, c.Body = standin.NonIdempotentPrefix+fmt.Sprint(i), strings.Repeat("x", random.IntN(4000))
		default:
			c.Path, c.Stream = standin.StreamingPrefix+fmt.Sprint(i), true
		}
		response, err := standin.Send(context.WithoutCancel(ctx), client, s.vms[random.IntN(len(s.vms))].callerAddress, c)
		check.results <- callResult{c, response, err}
	}
	return nil
}
