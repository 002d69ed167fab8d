//go:build review

package main

import (
	"context"
	"fmt"
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

// memoryMB is limits.memory_mb of the small deployments.
const memoryMB = 284

// fleet is a small deployment on loopback: the store, runners and the VMs, which are processes of the deploy file's program.
type fleet struct {
	rec    *record
	store  *store
	folder string
	vms    []*vm
	// ends counts the processes that ended though nothing ended them but the limit of their memory.
	mu   sync.Mutex
	ends map[string]int
}

// vm is one machine with its process.
type vm struct {
	name, zone, ip, callers, ready, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	peak int
}

// newFleet starts the store; folder holds the settings files.
func newFleet(ctx context.Context, rec *record, folder string) *fleet {
	return &fleet{rec: rec, store: newStore(ctx), folder: folder, ends: map[string]int{}}
}

// freePort returns a port of the address that nothing listens on.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return strconv.Itoa(l.Addr().(*net.TCPAddr).Port), nil
}

// addVM starts the process of a machine in a zone.
func (f *fleet) addVM(ctx context.Context, name, zone string, number int) (*vm, error) {
	v := &vm{name: name, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+os.Getpid()/64%250, number)}
	var ports [4]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(v.ip); err != nil {
			return nil, err
		}
	}
	v.callers, v.ready = net.JoinHostPort(v.ip, ports[0]), net.JoinHostPort(v.ip, ports[1])
	address, err := f.store.listen(ctx, name, v.ip)
	if err != nil {
		return nil, err
	}
	v.settings = filepath.Join(f.folder, name+".conf")
	first, _ := strconv.Atoi(ports[3])
	text := fmt.Sprintf(settingsText, name, v.ip, zone, zone, v.callers, v.ready, net.JoinHostPort(v.ip, ports[2]), first, first+1, memoryMB, address)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	return v, f.start(v)
}

// settingsText is a settings file as DEPLOY.md shows it, with the bounds of the small deployments.
const settingsText = `node_name=%s
role=entry
machine_class=frontend
serves=frontend
ip_address=%s
zone=%s
region=r-%s
zones.a=r-a
zones.b=r-b
zones.c=r-c
listen_addresses.frontend=%s
listen_addresses.ready=%s
listen_addresses.control_plane=%s
internal_port_range=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=%d
limits.file_descriptors=4100
limits.link_mbps=1000.0
heartbeat_interval_ms=1200
bounds.contact_timeout_ms=4000
bounds.drain_timeout_ms=2500
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.configuration_apply_ms=2500
bounds.retry_budget_ratio=0.9
bounds.budget_window_s=10
bounds.retry_budget_slack=52
bounds.session_s=5
platform_settings.address=%s
platform_settings.form=kv
`

// start starts the process of a VM with the command of the deploy file.
func (f *fleet) start(v *vm) error {
	out, err := os.OpenFile(filepath.Join(f.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/cornelmux", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORNELMUX_SETTINGS=" + v.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.cmd = cmd
	v.mu.Unlock()
	f.rec.line("%s started, process %d, callers at %s", v.name, cmd.Process.Pid, v.callers)
	return nil
}

// waitReady waits until the VM's readiness check succeeds.
func (f *fleet) waitReady(v *vm) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.rec.line("%s is ready", v.name)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", v.name)
}

// stopAll kills the processes of all VMs.
func (f *fleet) stopAll() {
	for _, v := range f.vms {
		v.mu.Lock()
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
			v.cmd = nil
		}
		v.mu.Unlock()
	}
}

// memoryKB returns the resident memory of the VM's process.
func (v *vm) memoryKB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(fields[0])
	v.peak = max(v.peak, n)
	return n
}

// enforceMemory kills a process that exceeds memoryMB, as the platform does, and starts it again after a short delay.
func (f *fleet) enforceMemory(ctx context.Context) {
	for _, v := range f.vms {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
				kb := v.memoryKB()
				if kb <= memoryMB<<10 {
					continue
				}
				f.rec.line("%s uses %d MB, more than %d MB: killed", v.name, kb>>10, memoryMB)
				v.mu.Lock()
				_ = v.cmd.Process.Kill()
				_ = v.cmd.Wait()
				v.cmd = nil
				v.mu.Unlock()
				f.mu.Lock()
				f.ends[v.name]++
				f.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				if ctx.Err() == nil {
					_ = f.start(v)
				}
			}
		}()
	}
}
