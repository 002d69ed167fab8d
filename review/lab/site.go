package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// hostName is the host of all routes, callerKey the key of the client account of ordinary callers, crowdKey that of crowds.
	hostName  = "desk.example"
	callerKey = "k1"
	crowdKey  = "k2"
	// readyTimeout bounds the wait until a VM is ready.
	readyTimeout = 15 * time.Second
	// program is the build of the deploy file, as the repository's root names it.
	program = "target/cornelmux"
)

// settingsText is the settings file of a VM, with the bounds of a small deployment.
const settingsText = `node_name=%[1]s
role=entry
machine_class=frontend
serves=frontend
ip_address=%[2]s
zone=%[3]s
region=r-%[3]s
zones.a=r-a
zones.b=r-b
zones.c=r-c
listen_addresses.frontend=%[2]s:%[4]d
listen_addresses.ready=%[2]s:%[5]d
internal_port_range=%[6]d,%[6]d
bootstrap=true
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
discovery=platform
entry=virtual_ip
heartbeat_interval_ms=1200
bounds.reuse_after_s=2
bounds.contact_timeout_ms=4000
bounds.drain_timeout_ms=2500
bounds.grace_period_s=8
bounds.configuration_apply_ms=2500
bounds.retry_budget_ratio=0.9
bounds.budget_window_s=10
bounds.retry_budget_slack=52
bounds.session_s=5
platform_settings.address=%[7]s
platform_settings.form=kv
platform_settings.writes_per_s=400
platform_settings.reads_per_s=2000
platform_settings.history_s=20
platform_settings.value_bytes=1048576
platform_settings.ttl_min_ms=1000
`

// vm is one entry VM process.
type vm struct {
	name    string
	address string
	ready   string
	command *exec.Cmd
	ended   chan struct{}
}

// site holds what a case has started and its record.
type site struct {
	began  time.Time
	dir    string
	mu     sync.Mutex
	record *os.File
	vms    []*vm
	closed []func()
}

// newSite makes a site whose record goes to the path.
func newSite(path string) (*site, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	return &site{began: time.Now(), dir: dir, record: record}, nil
}

// note writes a line to the record, with the seconds since the start.
func (s *site) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line) // a lost line shows as a gap in the record
}

// atEnd has f called when the site closes.
func (s *site) atEnd(f func()) { s.closed = append(s.closed, f) }

// close ends all processes and stand-ins, and notes what the VMs logged of the store and of what they dropped.
func (s *site) close() {
	for _, v := range s.vms {
		_ = v.command.Process.Kill() // it may have ended
		<-v.ended
		s.noteLog(v)
	}
	for _, f := range s.closed {
		f()
	}
	_ = os.RemoveAll(s.dir) // a temporary folder
}

// notedLines are texts of the lines that noteLog copies.
var notedLines = []string{"dependency ", "endpoint dropped", "endpoint gone"}

// noteLog copies lines of a VM's log to the record.
func (s *site) noteLog(v *vm) {
	data, err := os.ReadFile(filepath.Join(s.dir, v.name+".log"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		if slices.ContainsFunc(notedLines, func(text string) bool { return strings.Contains(line, text) }) {
			s.note("log of %s: %s", v.name, strings.TrimSpace(line))
		}
	}
}

// freePort returns a port that is free on the IP address now.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startVM starts a VM of the zone on a loopback address of its own.
func (s *site) startVM(name, zone, store string) (*vm, error) {
	ip := fmt.Sprintf("127.0.0.%d", 10+len(s.vms))
	var ports [3]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	path := filepath.Join(s.dir, name+".conf")
	text := fmt.Sprintf(settingsText, name, ip, zone, ports[0], ports[1], ports[2], store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	v := &vm{name: name, address: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), ended: make(chan struct{})}
	v.command = exec.Command(program, "platform")
	v.command.Env = []string{"CORNELMUX_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.command.Stdout, v.command.Stderr = log, log
	if err := v.command.Start(); err != nil {
		return nil, err
	}
	s.vms = append(s.vms, v)
	go func() {
		_ = v.command.Wait() // how it ended shows in its state
		close(v.ended)
	}()
	s.note("%s of zone %s listens at %s", name, zone, v.address)
	return v, nil
}

// waitReady waits until all VMs answer the readiness check with 200.
func (s *site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range s.vms {
		for !v.isReady(ctx) {
			if !pause(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s isn't ready", v.name)
			}
		}
	}
	return nil
}

// isReady asks the VM's readiness check once.
func (v *vm) isReady(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/v1/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// hasEnded reports whether the VM's process has ended.
func (v *vm) hasEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// pause waits, and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
