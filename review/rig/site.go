package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// operatorPrefix and runnerPrefix begin the keys that the operator and the runners write.
	operatorPrefix = "op/"
	runnerPrefix   = "servers" + "/"
	// headerPrefix begins the platform's header fields.
	headerPrefix = "Cornelmux-"
	siteHost     = "site.example"
	appService   = "app"
	// heartbeat is the time between two writes of a runner's entry.
	heartbeat = 1200 * time.Millisecond
	// bootTimeout bounds the start of a VM, stopTimeout its end.
	bootTimeout = 15 * time.Second
	stopTimeout = 10 * time.Second
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// note writes a line with the seconds since the case began.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// listen serves h on a free port of host until the process ends.
func listen(host string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	go http.Serve(l, h) //nolint:errcheck // ends with the process
	return l.Addr().String(), nil
}

// runner is a server of the platform. It answers each request at once, and notes each run.
type runner struct {
	id, service, zone, address string
	born                       int64
	record                     *record
	ran                        func(run)
	// bookingTime is how long the runner works on a POST.
	bookingTime time.Duration

	mu    sync.Mutex
	state string
	count int
}

// run is one request that a runner ran.
type run struct {
	runner, id, method, target, body string
	at                               time.Time
}

func newRunner(host, id, service, zone string, rec *record, ran func(run)) (*runner, error) {
	n := &runner{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), record: rec, ran: ran, state: "ready"}
	address, err := listen(host, n)
	n.address = address
	return n, err
}

// ServeHTTP implements http.Handler.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerPrefix + "Request-Id")
	if id != "" {
		w.Header().Set(headerPrefix+"Request-Id", id)
	}
	w.Header().Set(headerPrefix+"Instance-Id", n.id)
	if want := r.Header.Get(headerPrefix + "Expected-Instance"); want != "" && want != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(headerPrefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n.record.note("runner %s runs %s: %s %s", n.id, id, r.Method, r.URL.RequestURI())
	n.ran(run{n.id, id, r.Method, r.URL.RequestURI(), string(body), time.Now()})
	if r.Method == http.MethodPost {
		time.Sleep(n.bookingTime)
	}
	w.Header().Set(headerPrefix+"Response-Signature", n.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id) // fails only if the VM has disconnected
}

// beat writes the runner's entry.
func (n *runner) beat(s *store) (uint64, bool) {
	n.mu.Lock()
	n.count++
	entry := map[string]any{
		"service": n.service, "address": n.address, "zone": n.zone, "version": "v1", "slots": 6, "state": n.state,
		"cold_remaining_ms": 0, "sequence": n.count, "born": n.born,
	}
	n.mu.Unlock()
	return s.put(runnerPrefix+n.id, entry)
}

// beatAlways writes the entry each heartbeat until ctx ends; while the store is away, it tries again soon.
func (n *runner) beatAlways(ctx context.Context, s *store) {
	for ctx.Err() == nil {
		wait := heartbeat
		if _, ok := n.beat(s); !ok {
			wait = heartbeat / 4
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// route is a route of the operator's configuration.
func route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": siteHost, "path_prefix": prefix, "kind": kind, "service": appService,
		"timeout_ms": 1200, "target_latency_ms": 250, "priority": 2, "max_attempts": 1, "allow_anonymous": false,
	}
}

// configuration returns the operator's configuration; keys maps tenants to their keys.
func configuration(version int, keys map[string]string, routes ...map[string]any) map[string]any {
	tenants := []any{}
	for name, key := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}, "priority": 1})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": appService, "health_check_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// vm is a process of the system under test.
type vm struct {
	name, callers, ready string
	process              *exec.Cmd
	ended                chan error
}

// freeAddress returns host with a port that is free now.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startVM starts the deploy file's command on host, with the settings of a small deployment, and waits until it is ready.
func startVM(command []string, folder, name, zone, host, storeAddress string) (*vm, error) {
	v := &vm{name: name, ended: make(chan error, 1)}
	addresses := make([]string, 3)
	for i := range addresses {
		a, err := freeAddress(host)
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	v.callers, v.ready = addresses[0], addresses[1]
	_, peerPort, _ := net.SplitHostPort(addresses[2])
	path := filepath.Join(folder, name+".conf")
	if err := os.WriteFile(path, []byte(settings(name, zone, host, v.callers, v.ready, peerPort, storeAddress)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	v.process = exec.Command(command[0], command[1:]...)
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "CORNELMUX_SETTINGS=" + path}
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return nil, err
	}
	go func() { v.ended <- v.process.Wait() }()
	for deadline := time.Now().Add(bootTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if v.isReady() {
			return v, nil
		}
	}
	return v, fmt.Errorf("%s isn't ready after %v", name, bootTimeout)
}

// isReady asks the VM as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the process, by SIGTERM and then by SIGKILL.
func (v *vm) stop() {
	_ = v.process.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	select {
	case <-v.ended:
	case <-time.After(stopTimeout):
		_ = v.process.Process.Kill() // fails only if it has ended
		<-v.ended
	}
}

// settings returns a VM's settings file.
func settings(name, zone, host, callers, ready, peerPort, storeAddress string) string {
	port, _ := strconv.Atoi(peerPort)
	return strings.Join([]string{
		"node_name=" + name, "role=entry", "machine_class=frontend", "serves=frontend", "ip_address=" + host,
		"zone=" + zone, "region=r-" + zone, "zones.a=r-a", "zones.b=r-b",
		"listen_addresses.frontend=" + callers, "listen_addresses.ready=" + ready,
		fmt.Sprintf("internal_port_range=%d,%d", port, port), "bootstrap=true",
		"limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.file_descriptors=4100",
		"heartbeat_interval_ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
		"bounds.contact_timeout_ms=4000", "bounds.drain_timeout_ms=2500", "bounds.grace_period_s=8", "bounds.configuration_apply_ms=2500",
		"bounds.retry_budget_ratio=0.9", "bounds.budget_window_s=10", "bounds.retry_budget_slack=52", "bounds.session_s=5",
		"platform_settings.address=" + storeAddress, "platform_settings.form=kv", "platform_settings.history_s=20", "",
	}, "\n")
}

// answer is what a client received; status is 0 if the connection ended without an answer.
type answer struct {
	status int
	body   string
	signed bool
}

// ask sends one request to a VM on a connection of its own, and notes it with its answer. The target is written as it is.
func ask(rec *record, v *vm, method, target, key, id, body string) answer {
	rec.note("client sends %s to %s: %s %s with key %s", id, v.name, method, target, key)
	a := exchange(v, method, target, key, id, body)
	rec.note("client gets for %s: status %d, signed %v, body %q", id, a.status, a.signed, a.body)
	return a
}

// clientHosts is the number of addresses from which clients send.
const clientHosts = 8

// exchange sends a request from one of the clients' addresses, which follows from its ID, and returns the answer.
func exchange(v *vm, method, target, key, id, body string) answer {
	sum := 0
	for _, b := range []byte(id) {
		sum += int(b)
	}
	client := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 70, byte(1+sum%clientHosts))}}
	conn, err := client.Dial("tcp", v.callers)
	if err != nil {
		return answer{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second)) // fails only on a closed connection
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%sRequest-Id: %s\r\n%sRequest-Deadline: 2500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, target, siteHost, headerPrefix, id, headerPrefix, key, len(body), body)
	return readAnswer(conn, method)
}

// deployCommand returns the command of the deploy file's only role.
func deployCommand(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			var command string
			if err := json.Unmarshal([]byte(text), &command); err != nil {
				return nil, err
			}
			return strings.Fields(command), nil
		}
	}
	return nil, fmt.Errorf("%s has no run line", path)
}
