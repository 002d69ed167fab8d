package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is limits.memory_mb of the settings, in bytes.
	memoryLimit = 284 << 20
	// crowdSize is the number of callers that nobody controls. Each sends a head of 64 KiB: promptParts short parts of a prompt, and
	// noteFields other fields of noteBytes each.
	crowdSize   = 1540
	promptParts = 4090
	noteFields  = 235
	noteBytes   = 160
	// crowdInterval is the time from one caller to the next.
	crowdInterval = 2500 * time.Microsecond
)

// crowdHead returns the head of a caller's request, whose body never comes.
func crowdHead(n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /write/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nCornelmux-Request-Id: crowd-%d\r\n", hostName, callerKey, n)
	fmt.Fprintf(&b, "Cornelmux-Request-Deadline: 8000\r\nCornelmux-Model: %s\r\nCornelmux-Token-Counts: 900,40\r\nContent-Length: 10\r\n", modelName)
	b.WriteString("Cornelmux-Prompt-Prefix: ")
	for i := range promptParts {
		fmt.Fprintf(&b, "%x:1,", i)
	}
	b.WriteString("f:1\r\n")
	for i := range noteFields {
		fmt.Fprintf(&b, "X-Note-%d: %s\r\n", i, strings.Repeat("n", noteBytes))
	}
	b.WriteString("\r\n")
	return b.String()
}

// residentBytes returns the resident memory of a process now, and its peak.
func residentBytes(pid int) (now, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) int64 {
		_, rest, _ := strings.Cut(string(data), name+":")
		parts := strings.Fields(rest)
		if len(parts) == 0 {
			return 0
		}
		n, _ := strconv.ParseInt(parts[0], 10, 64) // 0 if it can't be read
		return n << 10
	}
	return field("VmRSS"), field("VmHWM")
}

func init() { plays["longheads"] = playLongHeads }

// playLongHeads has a crowd of callers send long heads and no bodies.
func playLongHeads(ctx context.Context, s *site, trouble bool) error {
	st, err := s.startStore()
	if err != nil {
		return err
	}
	if err := st.configure(ctx); err != nil {
		return err
	}
	for i := range 2 {
		r := &runner{id: fmt.Sprintf("model-%d", i+1), service: "models", zone: "a", slots: 64, events: 10, gap: 40 * time.Millisecond}
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
	var wg sync.WaitGroup
	crowd, leave := context.WithCancel(ctx)
	defer leave()
	for n := range crowdSize {
		if !trouble {
			break
		}
		pause(ctx, crowdInterval)
		wg.Add(1)
		go func() {
			defer wg.Done()
			conn, err := (&net.Dialer{}).DialContext(crowd, "tcp", v.address)
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte(crowdHead(n))) // fails if the VM closes the connection
			<-crowd.Done()
		}()
	}
	client := newClient()
	served, most := 0, int64(0)
	for i := range 30 {
		a := send(ctx, client, v, http.MethodPost, "/write/1", fmt.Sprintf("ordinary-%d", i), fmt.Sprintf("a1:40,f%x:40", i), 8*time.Second, nil)
		if a.status == http.StatusOK && a.complete {
			served++
		}
		now, peak := residentBytes(v.command.Process.Pid)
		most = max(most, peak)
		s.note("vm-1: resident %d MB, peak %d MB, ended %v; ordinary caller: status %d", now>>20, peak>>20, v.hasEnded(), a.status)
	}
	leave()
	wg.Wait()
	s.note("peak %d MB of %d MB; %d of 30 requests of an ordinary caller served", most>>20, memoryLimit>>20, served)
	if most > memoryLimit || v.hasEnded() || served == 0 {
		return fmt.Errorf("%w: Fault: memory", errBroken)
	}
	return nil
}
