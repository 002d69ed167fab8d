package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// deafSize is the number of callers that read nothing, pipelined the number of requests that each sends one after the other.
	deafSize  = 1600
	pipelined = 100_000
	// pipelinedAtOnce is the number of them that one write holds.
	pipelinedAtOnce = 50
	// deafLeast is how many of the crowd have to connect for the case to be played.
	deafLeast = 1560
	// deafBuffer is how much a deaf caller's socket takes.
	deafBuffer = 4 << 10
	// deafInterval is the time from one deaf caller to the next, settleTime that until the ordinary callers come.
	deafInterval = 3 * time.Millisecond
	settleTime   = 35 * time.Second
	// ordinaryTries is how many requests ordinary callers send, each on a connection of its own.
	ordinaryTries = 40
)

func init() { plays["deaf"] = playDeaf }

// playDeaf has a crowd of callers send requests that are refused at once, and read none of the answers.
func playDeaf(ctx context.Context, s *site, trouble bool) error {
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
	before := s.callOrdinary(ctx, v, "before")
	var wg sync.WaitGroup
	var connected atomic.Int64
	crowd, leave := context.WithCancel(ctx)
	defer leave()
	for n := range deafSize {
		if !trouble {
			break
		}
		pause(ctx, deafInterval)
		wg.Add(1)
		go func() {
			defer wg.Done()
			deafCaller(crowd, v, n, &connected)
		}()
	}
	pause(ctx, settleTime)
	s.note("%d callers of the crowd have connected", connected.Load())
	if trouble && connected.Load() < deafLeast {
		return fmt.Errorf("too few callers could connect")
	}
	during := s.callOrdinary(ctx, v, "during")
	s.note("vm-1 is ready: %v", v.isReady(ctx))
	leave()
	wg.Wait()
	pause(ctx, 3*time.Second)
	after := s.callOrdinary(ctx, v, "after")
	s.note("ordinary callers: %d of %d requests answered before, %d during, %d after", before, ordinaryTries, during, after)
	if before == 0 {
		return fmt.Errorf("nothing was answered in calm")
	}
	if during == 0 {
		return fmt.Errorf("%w: Fault: no request of an ordinary caller is answered", errBroken)
	}
	return nil
}

// deafCaller sends requests until ctx ends, and reads nothing. It counts its connection.
func deafCaller(ctx context.Context, v *vm, n int, connected *atomic.Int64) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, deafBuffer) // without it, the kernel's default holds
		})
	}}
	conn, err := dialer.DialContext(ctx, "tcp", v.address)
	if err != nil {
		return
	}
	defer conn.Close()
	connected.Add(1)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var b strings.Builder
	for i := range pipelinedAtOnce {
		fmt.Fprintf(&b, "GET /pick/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: deaf-%d-%d\r\n", hostName, callerKey, names.RequestID, n, i)
		fmt.Fprintf(&b, "%s: 2500\r\n%s: other\r\n%s: 9,4\r\n\r\n", names.Deadline, names.Model, names.TokenCounts)
	}
	for sent := 0; sent < pipelined; sent += pipelinedAtOnce {
		if _, err := io.WriteString(conn, b.String()); err != nil { // blocks as long as the VM doesn't read
			return
		}
	}
	<-ctx.Done()
}

// callOrdinary has an ordinary caller send requests, each on a new connection, and returns how many were answered.
func (s *site) callOrdinary(ctx context.Context, v *vm, phase string) int {
	answered := 0
	failures := map[string]int{}
	for i := range ordinaryTries {
		a := send(ctx, newClient(), v, http.MethodGet, "/look/1", fmt.Sprintf("ordinary-%s-%d", phase, i), "", 2500*time.Millisecond, nil)
		if a.status == http.StatusOK && a.complete {
			answered++
		} else {
			failures[fmt.Sprintf("status %d, error %v", a.status, a.err != nil)]++
		}
		pause(ctx, 50*time.Millisecond)
	}
	s.note("%s: %d of %d answered; others: %v", phase, answered, ordinaryTries, failures)
	return answered
}
