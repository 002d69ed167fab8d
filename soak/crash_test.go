package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/task"
	platformstandin "cornelmux/platform/standin"
)

const (
	// crashVMs and crashRunners are the numbers of VMs and of runners of streams in a crashSite.
	crashVMs     = 3
	crashRunners = 12
	// crashDelay is the time from a request with the deadly block to the crash of its runner, restartDelay that until the next
	// runner takes its place.
	crashDelay   = 40 * time.Millisecond
	restartDelay = 3 * time.Second
	// firstEventDelay and eventInterval are those of the sound answers.
	firstEventDelay = 60 * time.Millisecond
	eventInterval   = 60 * time.Millisecond
	// callInterval is the time between two requests; each deadlyEvery-th holds the deadly block.
	callInterval = 15 * time.Millisecond
	deadlyEvery  = 12
	// learnTime is the time after the fifth crash by which all VMs must know the block, and observedTime how long the requests after it
	// are observed. Of those that arrive at runners then, maxLater may hold the block.
	learnTime    = 4 * time.Second
	observedTime = 6 * time.Second
	maxLater     = 3
	// maxPlayTime ends a play without a fifth crash.
	maxPlayTime = 10 * time.Second
	// minServed is the least share of the sound requests of the observed time that are served.
	minServed = 0.9

	deadlyBlock = "dead"
)

// crashSign is what the VMs see of a runner that crashes: a part of the answer with the given head and event, and how its connections
// end.
type crashSign struct {
	name  string
	part  func(head, event string) string
	reset bool
	// sameBody says that all requests have the same body.
	sameBody bool
}

// Parts of an answer that a runner has sent when it crashes.
func nothing(string, string) string                { return "" }
func partOfHead(head, _ string) string             { return head[:len(head)/2] }
func wholeHead(head, _ string) string              { return head }
func headAndPartOfEvent(head, event string) string { return head + event[:len(event)/2] }
func headAndEvent(head, event string) string       { return head + event }

// eventsHead returns the head of a stream of events in chunks.
func eventsHead(request string) string {
	return "HTTP/1.1 200 OK\r\nCornelmux-Request-Id: " + request + "\r\nCornelmux-Response-Signature: s\r\n" +
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// chunk returns an event of the request as one chunk.
func chunk(request string, event int) string {
	text := platformstandin.Event(request, event)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// TestDeadlyBlockIsHeldBackWhateverACrashLooksLike guards against a prompt block that crashes one runner after the other because the
// process that dies takes the head of its answer with it, or has sent an event before.
func TestDeadlyBlockIsHeldBackWhateverACrashLooksLike(t *testing.T) {
	signs := []crashSign{
		{"no byte, end", nothing, false, false},
		{"no byte, end, same body", nothing, false, true},
		{"no byte, reset", nothing, true, false},
		{"part of the head, end", partOfHead, false, false},
		{"head, end", wholeHead, false, false},
		{"head, reset", wholeHead, true, false},
		{"head and a part of an event, end", headAndPartOfEvent, false, false},
		{"head and an event, end", headAndEvent, false, false},
		{"head and an event, reset", headAndEvent, true, false},
	}
	for _, sign := range signs {
		t.Run(sign.name, func(t *testing.T) {
			t.Parallel()
			s := newCrashSite(qt.New(t), sign)
			s.play()
			later := s.deadlyRuns(learnTime)
			t.Logf("crashes after %v, %d runs later, %d of %d sound requests served later", s.crashes, later, s.served, s.sound)
			qt.Check(t, later <= maxLater, qt.IsTrue, qt.Commentf("%d runs with the block began later than %v after the fifth of %d crashes", later, learnTime, len(s.crashes)))
			qt.Check(t, float64(s.served) >= minServed*float64(s.sound), qt.IsTrue, qt.Commentf("%d of %d sound requests served", s.served, s.sound))
		})
	}
}

// crashSite is a site whose runners of streams crash when they begin to answer a prompt with the deadly block.
type crashSite struct {
	*site
	ctx  context.Context
	sign crashSign
	// began is the time of the first request.
	began time.Time
	// observations brings what runners and callers saw.
	observations chan observation
	// crashes and runs are the times of the crashes and those at which requests with the block arrived, from the first request on.
	crashes, runs []time.Duration
	// sound and served count the sound requests of the observed time, and those of them that were served.
	sound, served int
	// calls counts the callers that were started and haven't ended.
	calls int
}

// observation is a crash, an arrival of the block at a runner, or a call that ended, with its time; that of a call is its start.
type observation struct {
	at         time.Time
	crash, run bool
	call       bool
	sound      bool
	served     bool
}

// newCrashSite starts the runners and the VMs.
func newCrashSite(c *qt.C, sign crashSign) *crashSite {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	s := &crashSite{site: newStoreSite(ctx, c, 0), ctx: ctx, sign: sign, observations: make(chan observation, 4096)}
	c.Cleanup(func() {
		s.stop(cancel)
		if c.Failed() {
			s.printLogs()
		}
	})
	s.addRunner(ctx, "app-0", platformstandin.AppService, "a") // the VMs are probed with requests to it
	for n := range crashRunners {
		s.taskCount++
		task.Start(ctx, "runner", s.ends, func(ctx context.Context) error { return s.runPlace(ctx, n) })
	}
	s.startVMs(ctx, crashVMs)
	return s
}

// play sends requests until the end of the observed time, and waits for their ends.
func (s *crashSite) play() {
	s.began = time.Now()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	ends := make(chan task.End, 1024)
	for n := 0; time.Since(s.began) < s.playTime(); n++ {
		select {
		case <-ticker.C:
			s.calls++
			task.Start(s.ctx, "call", ends, func(ctx context.Context) error { return s.call(ctx, n) })
		case o := <-s.observations:
			s.note(o)
		}
	}
	for s.calls > 0 {
		s.note(<-s.observations)
	}
}

// playTime returns when the observed time ends.
func (s *crashSite) playTime() time.Duration {
	if fifth, ok := s.fifthCrash(); ok {
		return fifth + learnTime + observedTime
	}
	return maxPlayTime
}

// fifthCrash returns the time of the fifth crash, if there was one.
func (s *crashSite) fifthCrash() (time.Duration, bool) {
	if len(s.crashes) < 5 {
		return 0, false
	}
	return s.crashes[4], true
}

// deadlyRuns returns how many requests with the block arrived at runners later than the given time after the fifth crash.
func (s *crashSite) deadlyRuns(after time.Duration) (n int) {
	fifth, ok := s.fifthCrash()
	for _, at := range s.runs {
		if ok && at-fifth > after {
			n++
		}
	}
	return n
}

// note counts what was observed.
func (s *crashSite) note(o observation) {
	at := o.at.Sub(s.began)
	switch {
	case o.crash:
		s.crashes = append(s.crashes, at.Round(time.Millisecond))
	case o.run:
		s.runs = append(s.runs, at)
	case o.call:
		s.calls--
		if fifth, ok := s.fifthCrash(); ok && o.sound && at-fifth > learnTime {
			s.sound++
			if o.served {
				s.served++
			}
		}
	}
}

// call sends the n-th request and reports how it ended.
func (s *crashSite) call(ctx context.Context, n int) error {
	o := observation{call: true, at: time.Now(), sound: n%deadlyEvery != 0}
	blocks := []string{fmt.Sprintf("c%d", n%3), fmt.Sprintf("5%d", n*7%40)}
	if !o.sound {
		blocks[1] = deadlyBlock
	}
	id := fmt.Sprintf("call-%d", n)
	c := platformstandin.Call{ID: id, Path: platformstandin.StreamingPrefix + "x", Key: callerKey, Stream: true, Blocks: blocks, Body: id}
	if s.sign.sameBody {
		c.Body = "same"
	}
	got, err := platformstandin.Send(ctx, http.DefaultClient, s.vms[n%crashVMs].callerAddress, c)
	o.served = err == nil && got.Body == c.ExpectedBody()
	s.observations <- o
	return err
}

// runPlace runs one runner after the other in a place of the fleet, each until it crashes.
func (s *crashSite) runPlace(ctx context.Context, n int) error {
	for life := 0; ; life++ {
		crashed, err := s.runRunner(ctx, fmt.Sprintf("model-%d-%d", n, life), []string{"a", "b"}[n%2])
		if !crashed || !task.Sleep(ctx, restartDelay) {
			return err
		}
	}
}

// runRunner registers a runner and answers its requests until it crashes or ctx ends.
func (s *crashSite) runRunner(ctx context.Context, id, zone string) (crashed bool, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends, crashes := make(chan task.End, 1), make(chan struct{}, 1)
	task.Start(ctx, "listener", ends, func(ctx context.Context) error { return s.serve(ctx, l, crashes) })
	entry := (&platformstandin.Runner{ID: id, Version: "v1"}).Entry(platformstandin.ModelService, zone, l.Addr().String(), "ready", time.Now().UnixMilli())
	_ = s.store.Put(ctx, "servers/"+id, entry) // fails only at the end of the test
	select {
	case <-crashes:
		crashed = true
		s.observations <- observation{crash: true, at: time.Now()}
		s.store.Delete(ctx, "servers/"+id)
	case <-ctx.Done():
	}
	cancel()
	<-ends
	return crashed, nil
}

// serve accepts the connections of a runner until ctx ends, and closes all of them then.
func (s *crashSite) serve(ctx context.Context, l net.Listener, crashes chan<- struct{}) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	ends := make(chan task.End, 1024)
	for conns := 0; ; conns++ {
		conn, err := l.Accept()
		if err != nil {
			return task.Stop(func() {}, ends, conns)
		}
		if s.sign.reset {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed socket
		}
		task.Start(ctx, "connection", ends, func(ctx context.Context) error {
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			return s.serveConn(ctx, conn, crashes)
		})
	}
}

// serveConn answers the requests of one connection. One with the deadly block crashes the runner.
func (s *crashSite) serveConn(ctx context.Context, conn net.Conn, crashes chan<- struct{}) error {
	for buffered := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return nil // the VM closed the connection
		}
		_, _ = io.Copy(io.Discard, r.Body) // a request that is cut off shows at the next read
		id, next := r.Header.Get("Cornelmux-Request-Id"), nextEvent(r)
		if strings.Contains(r.Header.Get("Cornelmux-Prompt-Prefix"), deadlyBlock+":") {
			s.observations <- observation{run: true, at: time.Now()}
			task.Sleep(ctx, crashDelay)
			_, _ = io.WriteString(conn, s.sign.part(eventsHead(id), chunk(id, next))) // a failed write shows at the VM
			select {
			case crashes <- struct{}{}:
			default: // it has crashed
			}
			<-ctx.Done()
			return nil
		}
		if !answerEvents(ctx, conn, id, next) {
			return nil
		}
	}
}

// nextEvent returns the first event that the request asks for.
func nextEvent(r *http.Request) int {
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after) // an absent ID starts at the first event
	return after + 1
}

// answerEvents writes a whole answer, from the event on, and reports whether it could.
func answerEvents(ctx context.Context, conn net.Conn, id string, event int) bool {
	if !task.Sleep(ctx, firstEventDelay) {
		return false
	}
	text := eventsHead(id)
	for ; event <= platformstandin.EventCount; event++ {
		if _, err := io.WriteString(conn, text+chunk(id, event)); err != nil || !task.Sleep(ctx, eventInterval) {
			return false
		}
		text = ""
	}
	_, err := io.WriteString(conn, text+"0\r\n\r\n")
	return err == nil
}
