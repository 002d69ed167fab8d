package main

import (
	"context"
	_ "embed" // for engine
	"encoding/json"
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
	modelService = "models"
	// modelRunners and modelSlots are those of a small deployment's model service. A runner queues modelQueue requests more.
	modelRunners = 18
	modelSlots   = 64
	modelQueue   = 134
	// streamEvents come streamInterval apart: a stream is at work for most of streamTimeout, the route's timeout_ms.
	streamEvents   = 60
	streamInterval = 400 * time.Millisecond
	streamTimeout  = 25 * time.Second
	// memoryLimit is limits.memory_mb in bytes.
	memoryLimit = 284 << 20
	// maxHeadBytes is max_header_bytes of the configuration.
	maxHeadBytes = 16384
)

// engine describes the engines of the model service, as the operator's configuration does.
//
//go:embed engine.json
var engine []byte

// modelRunner streams events slowly. It runs modelSlots requests at once, queues modelQueue more and refuses the others.
type modelRunner struct {
	*runner
	slots, queue chan struct{}
}

// take puts one into a channel if there is room.
func take(c chan struct{}) bool {
	select {
	case c <- struct{}{}:
		return true
	default:
		return false
	}
}

// ServeHTTP implements http.Handler.
func (n *modelRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get(headerPrefix+"Request-Id")
	h.Set(headerPrefix+"Request-Id", id)
	if !take(n.queue) {
		h.Set(headerPrefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-n.queue }()
	select {
	case n.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-n.slots }()
	n.ran(run{runner: n.id, id: id, at: time.Now()})
	h.Set(headerPrefix+"Response-Signature", n.id+"."+id)
	h.Set(headerPrefix+"Confidence", "99")
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", i, id, i); err != nil || flush.Flush() != nil {
			return
		}
		select {
		case <-time.After(streamInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// modelSite is a site with a model service and an application.
type modelSite struct {
	store *store
	runs  *counter
}

// modelSite starts a store, and the runners of a model service and of an application.
func (c *play) modelSite(ctx context.Context, network string) (*modelSite, error) {
	s, err := newStore(network + ".1")
	if err != nil {
		return nil, err
	}
	runs := &counter{ids: map[string]bool{}}
	for i := range modelRunners {
		n := &modelRunner{
			&runner{id: fmt.Sprintf("m-%d", i), service: modelService, zone: "a", born: time.Now().UnixMilli(), record: c.record, ran: runs.add, state: "ready"},
			make(chan struct{}, modelSlots), make(chan struct{}, modelSlots+modelQueue),
		}
		if n.address, err = listen(network+".2", n); err != nil {
			return nil, err
		}
		go n.beatAlways(ctx, s)
	}
	for i := range 3 {
		n, err := newRunner(network+".3", fmt.Sprintf("i-%d", i), appService, "a", c.record, runs.add)
		if err != nil {
			return nil, err
		}
		go n.beatAlways(ctx, s)
	}
	chat := route("r-chat", "/chat/", "streaming")
	chat["service"], chat["timeout_ms"], chat["target_latency_ms"], chat["resume_streams"] = modelService, streamTimeout.Milliseconds(), 1500, true
	chat["gap_target_ms"], chat["sizes"], chat["session_affinity"], chat["max_attempts"] = 800, []string{"m0", "m1", "m2"}, true, 3
	body := configuration(3, map[string]string{"crowd": "key-crowd", "ordinary": "key-ordinary"}, chat, route("r-look", "/look/", "safe"))
	body["services"] = append(body["services"].([]any), map[string]any{
		"name": modelService, "health_check_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false,
		"engine": json.RawMessage(engine),
	})
	s.put(operatorPrefix+"config", body)
	return &modelSite{s, runs}, nil
}

// counter counts the requests that ran.
type counter struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (c *counter) add(r run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids[r.id] = true
}

func (c *counter) count(prefix string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.ids {
		if strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}

// crowdClient sends one streaming request on a connection of its own and reads its answer until that ends.
type crowdClient struct {
	status   int
	complete bool
}

// crowd sends n streaming requests, a hundred each 50 ms, whose prompts have so many parts. Their answers come on the channel.
func (c *play) crowd(v *vm, n, parts int) <-chan crowdClient {
	out := make(chan crowdClient, n)
	prompt := strings.TrimSuffix(strings.Repeat("1:1,", parts), ",")
	body := strings.Repeat("x", promptBytes)
	go func() {
		for i := range n {
			head := fmt.Sprintf("POST /chat/x HTTP/1.1\r\nHost: %s\r\n%[2]sRequest-Id: c%05[3]d\r\n%[2]sRequest-Deadline: %[4]d\r\nAuthorization: Bearer key-crowd\r\n"+
				"%[2]sModel: *\r\n%[2]sToken-Counts: %[5]d,240\r\n%[2]sPrompt-Prefix: %[6]s\r\nContent-Length: %[7]d\r\n\r\n",
				siteHost, headerPrefix, i, streamTimeout.Milliseconds(), parts, prompt, len(body))
			if i == 0 {
				c.note("each of the crowd's %d requests has a prompt of %d parts and a head of %d bytes, of which max_header_bytes allows %d, and a body of %d", n, parts, len(head), maxHeadBytes, len(body))
			}
			go func() { out <- streamOnce(v, head+body) }()
			if i%100 == 99 {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}()
	return out
}

// streamOnce sends a request and reads the answer.
func streamOnce(v *vm, request string) crowdClient {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return crowdClient{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout + 2*time.Second)) // fails only on a closed connection
	if _, err := conn.Write([]byte(request)); err != nil {
		return crowdClient{}
	}
	a := readAnswer(conn, http.MethodPost)
	return crowdClient{a.status, a.status == http.StatusOK && strings.Contains(a.body, fmt.Sprintf("id: %d\n", streamEvents))}
}

// tell notes how the crowd's requests ended.
func (c *play) tell(answers <-chan crowdClient, n int) {
	ends := map[string]int{}
	for range n {
		a := <-answers
		ends[fmt.Sprintf("status %d, whole %v", a.status, a.complete)]++
	}
	c.note("the crowd's answers: %v", ends)
}

// memory returns how much memory the VM's process holds, in bytes; 0 if it has ended.
func (v *vm) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			return kib << 10
		}
	}
	return 0
}

const (
	// crowdSize is the number of clients of the crowd, longPrompt the number of parts of their prompts, shortPrompt that without trouble.
	crowdSize   = 1540
	longPrompt  = 3950
	shortPrompt = 10
	// crowdTime is how long the memory is watched while the crowd's requests run.
	crowdTime = 10 * time.Second
	// promptBytes is the length of their bodies.
	promptBytes = 11000
	// fullCrowd is more than the connections that a VM keeps open, smallCrowd the number of clients without trouble.
	fullCrowd  = 1700
	smallCrowd = 100
	// contactTimeout is contact_timeout_ms, leastClients how many clients the rule asks for.
	contactTimeout = 4 * time.Second
	leastClients   = 7
)

const (
	// faultyVMs and faultyEnds are how many machines have to end how often for a fault.
	faultyVMs  = 2
	faultyEnds = 3
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = 500 * time.Millisecond
)

// longPrompts checks that processes stay within limits.memory_mb. The platform kills one that doesn't, and starts it again. The
// disruption is a crowd of clients with long prompts, in heads within max_header_bytes; without it the same clients have short prompts.
func longPrompts(ctx context.Context, c *play) ([]string, error) {
	site, err := c.modelSite(ctx, "127.0.64")
	if err != nil {
		return nil, err
	}
	parts := shortPrompt
	if c.trouble {
		parts = longPrompt
	}
	ends := make([]int, faultyVMs)
	for i := range faultyVMs {
		for ends[i] < faultyEnds {
			v, err := c.start(fmt.Sprintf("vm-%d", i), "a", fmt.Sprintf("127.0.64.%d", 10+i), site.store)
			if err != nil {
				return nil, err
			}
			time.Sleep(time.Second)
			if !c.outgrows(v, parts) {
				break
			}
			ends[i]++
			time.Sleep(restartDelay)
		}
	}
	for _, n := range ends {
		if n < faultyEnds {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("Fault: the processes of %d machines ended %v times, since they held more memory than limits.memory_mb", faultyVMs, ends)}, nil
}

// outgrows sends a crowd to the VM, and kills it if it holds more than memoryLimit, as the platform does. It reports whether it did.
func (c *play) outgrows(v *vm, parts int) (killed bool) {
	answers := c.crowd(v, crowdSize, parts)
	most := 0
	for until := time.Now().Add(crowdTime); !killed && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		most = max(most, v.memory())
		if most > memoryLimit {
			killed = true
			_ = v.process.Process.Kill() // fails only if it has ended
		}
	}
	c.note("%s held %d bytes at most, limits.memory_mb is %d bytes; killed: %v", v.name, most, memoryLimit, killed)
	if killed {
		c.tell(answers, crowdSize)
	}
	return killed
}

// fullHouse checks that a VM which says that it is ready answers ordinary callers. The disruption is a crowd of clients with long streams.
func fullHouse(ctx context.Context, c *play) ([]string, error) {
	site, err := c.modelSite(ctx, "127.0.65")
	if err != nil {
		return nil, err
	}
	v, err := c.start("vm-a", "a", "127.0.65.10", site.store)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	size := smallCrowd
	if c.trouble {
		size = fullCrowd
	}
	answers := c.crowd(v, size, shortPrompt)
	time.Sleep(3 * time.Second)
	c.note("%d of the crowd's requests are at runners", site.runs.count("c"))
	var broken []string
	var failing time.Time
	tried := 0
	for until, i := time.Now().Add(18*time.Second), 0; time.Now().Before(until); i++ {
		ready := v.isReady()
		a := ask(c.record, v, "GET", "/look/x", "key-ordinary", fmt.Sprintf("o%05d", i), "")
		switch {
		case a.status != 0 || !ready:
			failing, tried = time.Time{}, 0
		case failing.IsZero():
			failing, tried = time.Now(), 1
		default:
			tried++
		}
		if !failing.IsZero() && time.Since(failing) > contactTimeout && tried >= leastClients {
			broken = []string{fmt.Sprintf("RECOVER: for %.1f s none of %d ordinary callers got an answer on a new connection, while vm-a said that it is ready", time.Since(failing).Seconds(), tried)}
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.tell(answers, size)
	return broken, nil
}
