package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slowSize is the number of callers whose bodies come slowly, slowBody the length that each announces, of which little comes.
	slowSize = 600
	slowBody = 64 << 10
	// slowPiece is how much of it comes each slowInterval.
	slowPiece    = 1 << 10
	slowInterval = 250 * time.Millisecond
	// ordinaryBody is the length of the body of an ordinary caller's booking, callTimeout how long such a caller waits. They send for calmPlay
	// before the crowd comes, and for ordinaryPlay beside it.
	ordinaryBody = 36 << 10
	callTimeout  = 2500 * time.Millisecond
	calmPlay     = 5 * time.Second
	ordinaryPlay = 20 * time.Second
	// starvedShare is how often a kind of request must be served, as a share of how often all are.
	starvedShare = 0.25
)

func init() { plays["bodies"] = playSlowBodies }

// playSlowBodies has a crowd of callers send their bodies slowly, beside ordinary callers.
func playSlowBodies(ctx context.Context, s *site, trouble bool) error {
	st, err := s.startStore()
	if err != nil {
		return err
	}
	if err := st.configure(ctx); err != nil {
		return err
	}
	for i := range 2 {
		r := &runner{id: fmt.Sprintf("app-%d", i+1), service: "app", zone: "a", slots: 6, work: 30 * time.Millisecond}
		if err := r.start(); err != nil {
			return err
		}
		s.atEnd(func() { r.stop() })
		if err := st.setEntry(ctx, r); err != nil {
			return err
		}
	}
	v, err := s.startVM("vm-1", "a", st.address)
	if err != nil {
		return err
	}
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	pause(ctx, 2*time.Second)
	read, booked := s.callBothKinds(ctx, v, "in calm", calmPlay)
	if read.share() < 1 || booked.share() < 1 {
		return fmt.Errorf("not all requests were answered in calm")
	}
	crowd, leave := context.WithCancel(ctx)
	defer leave()
	var wg sync.WaitGroup
	for n := range slowSize {
		if !trouble {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; crowd.Err() == nil; i++ {
				slowCaller(crowd, v, fmt.Sprintf("slow-%d-%d", n, i))
			}
		}()
	}
	pause(ctx, 3*time.Second)
	read, booked = s.callBothKinds(ctx, v, "beside the crowd", ordinaryPlay)
	leave()
	wg.Wait()
	all := tally{ok: read.ok + booked.ok, fail: read.fail + booked.fail}
	if booked.share() < starvedShare*all.share() {
		return fmt.Errorf("%w: Starved: %.3f of the bookings are answered, %.3f of all requests", errBroken, booked.share(), all.share())
	}
	return nil
}

// slowCaller sends one request, until the VM answers it or ctx ends.
func slowCaller(ctx context.Context, v *vm, id string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", v.address)
	if err != nil {
		pause(ctx, 100*time.Millisecond)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	fmt.Fprintf(conn, "POST /write/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", hostName, crowdKey, names.RequestID, id, slowBody)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = conn.Read(make([]byte, 1)) // the answer, or the end of the connection
	}()
	for ctx.Err() == nil {
		if _, err := io.WriteString(conn, strings.Repeat("x", slowPiece)); err != nil {
			return
		}
		select {
		case <-answered:
			return
		case <-time.After(slowInterval):
		}
	}
}

// callBothKinds has ordinary callers send look-ups without a body and bookings with one, and returns how many of each were answered.
func (s *site) callBothKinds(ctx context.Context, v *vm, phase string, d time.Duration) (read, booked *tally) {
	read, booked = &tally{}, &tally{}
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	kinds := []struct {
		t            *tally
		method, path string
		body         string
	}{
		{read, http.MethodGet, "/look/1", ""},
		{booked, http.MethodPost, "/book/1", strings.Repeat("b", ordinaryBody)},
	}
	for _, k := range kinds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				status := callAgain(ctx, v, k.method, k.path, fmt.Sprintf("%s-%d-%d", k.method, time.Since(s.began).Milliseconds(), i), k.body)
				k.t.add(time.Now(), status == http.StatusOK)
				if status != http.StatusOK {
					s.note("caller: %s %s: status %d", k.method, k.path, status)
				}
				pause(ctx, 100*time.Millisecond)
			}
		}()
	}
	wg.Wait()
	s.note("%s: %d of %d look-ups and %d of %d bookings answered", phase, read.ok, read.ok+read.fail, booked.ok, booked.ok+booked.fail)
	return read, booked
}

// callAgain sends a request, and once more after a promise that it hasn't run: when Retry-After says, after a third of the time that is
// left at most. It returns the last status.
func callAgain(ctx context.Context, v *vm, method, path, id, body string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, after := call(ctx, v, method, path, id, body)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return status
	}
	end, _ := ctx.Deadline()
	pause(ctx, min(after, time.Until(end)/3))
	status, _ = call(ctx, v, method, path, id+"-again", body)
	return status
}

// call sends a request on a new connection, and returns the status of a whole answer, or 0, and its Retry-After.
func call(ctx context.Context, v *vm, method, path, id, body string) (int, time.Duration) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.address+path, strings.NewReader(body))
	if err != nil {
		return 0, 0
	}
	left := callTimeout
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	r.Host = hostName
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	client := newClient()
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without one
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}
