package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
	// ordinaryClients is how many ordinary callers try at a time, each request on a new connection, for ordinaryTime; the rule asks for
	// seven. tryInterval is the time from the end of one try to the next.
	ordinaryClients = 8
	ordinaryTime    = 10 * time.Second
	tryInterval     = 100 * time.Millisecond
	// readyInterval is how often the readiness check is asked meanwhile; the load balancer asks it once a second.
	readyInterval = 250 * time.Millisecond
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
	if before.longest >= contactTimeout || !before.ready {
		return fmt.Errorf("new connections aren't taken in calm")
	}
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
	leave()
	wg.Wait()
	pause(ctx, 3*time.Second)
	s.callOrdinary(ctx, v, "after")
	if during.ready && during.longest >= contactTimeout {
		return fmt.Errorf("%w: RECOVER: no new connection is taken for %d ms while the VM says that it is ready", errBroken, during.longest.Milliseconds())
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
		fmt.Fprintf(&b, "GET /pick/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: deaf-%d-%d\r\n", hostName, crowdKey, names.RequestID, n, i)
		fmt.Fprintf(&b, "%s: 2500\r\n%s: other\r\n%s: 9,4\r\n\r\n", names.Deadline, names.Model, names.TokenCounts)
	}
	for sent := 0; sent < pipelined; sent += pipelinedAtOnce {
		if _, err := io.WriteString(conn, b.String()); err != nil { // blocks as long as the VM doesn't read
			return
		}
	}
	<-ctx.Done()
}

// channels is what ordinary callers saw of their new connections.
type channels struct {
	tries, answered int
	// longest is the longest time in which none of them got an answer, ready whether each readiness check meanwhile was answered with 200.
	longest time.Duration
	ready   bool
}

// callOrdinary has several ordinary callers send requests at a time, each on a new connection.
func (s *site) callOrdinary(ctx context.Context, v *vm, phase string) channels {
	began := time.Now()
	end := began.Add(ordinaryTime)
	out := channels{ready: true}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := []time.Time{began}
	for n := range ordinaryClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
				client := newClient()
				a := send(ctx, client, v, http.MethodGet, "/look/1", fmt.Sprintf("ordinary-%s-%d-%d", phase, n, i), "", 2500*time.Millisecond, nil)
				client.CloseIdleConnections()
				mu.Lock()
				out.tries++
				if a.status != 0 { // whatever the answer, the connection was taken
					out.answered++
					answers = append(answers, time.Now())
				}
				mu.Unlock()
				pause(ctx, tryInterval)
			}
		}()
	}
	for time.Now().Before(end) && pause(ctx, readyInterval) {
		out.ready = out.ready && v.isReady(ctx)
	}
	wg.Wait()
	slices.SortFunc(answers, time.Time.Compare)
	for i, at := range append(answers[1:], end) {
		out.longest = max(out.longest, at.Sub(answers[i]))
	}
	s.note("%s: %d of %d requests of %d ordinary callers answered, none for at most %d ms; the VM said all along that it is ready: %v",
		phase, out.answered, out.tries, ordinaryClients, out.longest.Milliseconds(), out.ready)
	return out
}
