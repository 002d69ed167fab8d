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

// judge owns what callers and runners saw, and says which promises were broken.
type judge struct {
	runs    <-chan standin.Run
	calls   chan seen
	answers chan verdict
}

// seen is a call and what its caller got.
type seen struct {
	call standin.Call
	got  standin.Response
	err  error
}

type verdict struct {
	broken   []string
	calls    int
	answered int
	runs     int
}

func newJudge(runs <-chan standin.Run) *judge {
	return &judge{runs: runs, calls: make(chan seen, 1024), answers: make(chan verdict)}
}

func (j *judge) run(ctx context.Context) error {
	runs := map[string][]standin.Run{}
	var calls []seen
	for {
		select {
		case r := <-j.runs:
			runs[r.Request] = append(runs[r.Request], r)
		case s := <-j.calls:
			calls = append(calls, s)
		case j.answers <- judgeAll(calls, runs):
		case <-ctx.Done():
			return nil
		}
	}
}

// verdict judges everything so far.
func (j *judge) verdict(ctx context.Context) verdict {
	task.Sleep(ctx, 300*time.Millisecond) // runs that end now are still taken in
	select {
	case v := <-j.answers:
		return v
	case <-ctx.Done():
		return verdict{broken: []string{"no verdict in time"}}
	}
}

func judgeAll(calls []seen, runs map[string][]standin.Run) verdict {
	v := verdict{calls: len(calls)}
	known := map[string]standin.Call{}
	for _, s := range calls {
		known[s.call.ID] = s.call
		if text := judgeAnswer(s, len(runs[s.call.ID])); text != "" {
			v.broken = append(v.broken, fmt.Sprintf("request %s %s: %s; it got %d, %v", s.call.ID, s.call.Path, text, s.got.Status, s.err))
		}
		if s.got.Status == http.StatusOK && s.got.Complete {
			v.answered++
		}
	}
	for id, list := range runs {
		v.runs += len(list)
		call, ok := known[id]
		if !ok {
			continue // its caller still waits
		}
		if strings.HasPrefix(call.Path, standin.NonIdempotentPrefix) && len(list) > 1 {
			v.broken = append(v.broken, fmt.Sprintf("request %s ran %d times", id, len(list)))
		}
		for _, r := range list {
			if r.Path != call.Path || r.Body != call.Body || r.Account != "parish" || r.Key != "" || !slices.Contains(models, r.Model) {
				v.broken = append(v.broken, fmt.Sprintf("request %s was changed on its way: %+v", id, r))
			}
		}
	}
	return v
}

var models = []string{"", "small", "large"}

// judgeAnswer says which promise an answer breaks, or "".
func judgeAnswer(s seen, runs int) string {
	once := strings.HasPrefix(s.call.Path, standin.NonIdempotentPrefix)
	switch s.got.Status {
	case http.StatusOK:
		whole := s.call.ExpectedBody()
		switch {
		case !strings.HasSuffix(s.got.Signature, "."+s.call.ID):
			return "the signature is for another request: " + s.got.Signature
		case s.got.Complete && s.got.Body != whole:
			return "the answer looks whole and isn't: " + s.got.Body
		case !strings.HasPrefix(whole, s.got.Body):
			return "the answer isn't the runner's: " + s.got.Body
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if once && runs > 0 {
			return "the refusal says that it didn't run"
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		return "a proper request was refused for good"
	}
	return ""
}

// callTimeout is longer than any call may take; it ends one at a process that a fault holds.
const callTimeout = 8 * time.Second

// call makes calls at VMs by turns until ctx ends, keeping its connections.
func call(ctx context.Context, s *site, n int, random *rand.Rand, j *judge) error {
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
		got, err := standin.Send(context.WithoutCancel(ctx), client, s.vms[random.IntN(len(s.vms))].callers, c)
		j.calls <- seen{c, got, err}
	}
	return nil
}
