package soak

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/standin"
	"cornelmux/internal/task"
	"cornelmux/platform"
	platformstandin "cornelmux/platform/standin"
)

// callerKey is the API key of the client account.
const callerKey = "soak-key"

// site is a store and runners in this process, and VMs in processes of their own that reach them through relays.
type site struct {
	c *qt.C
	// seed decides, together with the request and the runner, which answers go wrong.
	seed  uint64
	dir   string
	store *platformstandin.Store
	// runs brings what the runners ran.
	runs chan platformstandin.Run
	// ends brings the ends of the taskCount tasks that the site started.
	ends      chan task.End
	taskCount int
	runners   []*runner
	vms       []*vm
	// version is that of the newest configuration, and addedRoute the path prefix that only this configuration has.
	version    int
	addedRoute string
	client     *http.Client
}

// runner is a runner and its entry in the store.
type runner struct {
	*platformstandin.Runner
	service string
	zone    string
	relay   *standin.Relay
	// bornMs is the start time in the store entry, in Unix milliseconds. state and sequence are those of the newest entry.
	bornMs   int64
	state    string
	sequence int
}

// vm is a VM process and the relay through which it reaches the store. Addresses are host:port.
type vm struct {
	name             string
	callerAddress    string
	readinessAddress string
	settingsPath     string
	relay            *standin.Relay
	process          *exec.Cmd
	logFile          *os.File
	// startedAt is when the latest process was started.
	startedAt time.Time
	// faulted says that an active fault affects the process.
	faulted bool
}

// newSite starts the store, six runners in two zones and the VMs, and waits until the VMs serve the configuration.
func newSite(ctx context.Context, c *qt.C, seed uint64) *site {
	s := newStoreSite(ctx, c, seed)
	for n := range 3 {
		s.addRunner(ctx, fmt.Sprint("app-", n), platformstandin.AppService, []string{"a", "b"}[n%2])
		s.addRunner(ctx, fmt.Sprint("model-", n), platformstandin.ModelService, []string{"a", "b"}[n%2])
	}
	s.startVMs(ctx, *vmCount)
	return s
}

// newStoreSite starts the store alone.
func newStoreSite(ctx context.Context, c *qt.C, seed uint64) *site {
	s := &site{
		c: c, seed: seed, dir: c.Mkdir(), runs: make(chan platformstandin.Run, 4096), ends: make(chan task.End, 256), version: 3,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	s.store, err = platformstandin.NewStore(ctx, s.ends)
	c.Assert(err, qt.IsNil)
	s.taskCount++
	return s
}

// startVMs writes a configuration, starts the VMs, and waits until they serve it.
func (s *site) startVMs(ctx context.Context, count int) {
	s.configure(ctx)
	for n := range count {
		s.addVM(ctx, fmt.Sprint("vm-", n), []string{"a", "a", "a", "b"}[n%4])
	}
	s.c.Assert(s.waitRecovered(ctx), qt.IsNil)
}

// configure writes a configuration with the next version. Its added route shows which VMs have it in force.
func (s *site) configure(ctx context.Context) {
	s.version += 2
	s.addedRoute = fmt.Sprintf("/added-%d/", s.version)
	s.writeConfiguration(ctx)
}

// writeConfiguration writes the newest configuration.
func (s *site) writeConfiguration(ctx context.Context) {
	body := platformstandin.Configuration(s.version, platformstandin.Keys{"parish": callerKey}, s.addedRoute)
	s.c.Assert(s.store.Put(ctx, "op/config", body), qt.IsNil)
}

// writeAgain writes what a restore of the store may have lost.
func (s *site) writeAgain(ctx context.Context) {
	s.writeConfiguration(ctx)
	for _, r := range s.runners {
		s.putEntry(ctx, r, r.state)
	}
}

// addRunner starts a runner with a relay and writes its entry.
func (s *site) addRunner(ctx context.Context, id, service, zone string) *runner {
	n, err := platformstandin.NewRunner(ctx, id, "v1", s.runs, func(r *http.Request) platformstandin.Behavior { return s.behavior(r, id) }, s.ends)
	s.c.Assert(err, qt.IsNil)
	relay, err := standin.NewRelay(ctx, n.Address, s.ends)
	s.c.Assert(err, qt.IsNil)
	s.taskCount += 2
	r := &runner{Runner: n, service: service, zone: zone, relay: relay, bornMs: time.Now().UnixMilli()}
	s.runners = append(s.runners, r)
	s.putEntry(ctx, r, "ready")
	return r
}

// putEntry writes the runner's entry, with the relay's address, to the store.
func (s *site) putEntry(ctx context.Context, r *runner, state string) {
	r.state = state
	r.sequence++
	entry := r.Entry(r.service, r.zone, r.relay.Address, state, r.bornMs)
	entry["sequence"] = r.sequence
	s.c.Assert(s.store.Put(ctx, "servers/"+r.ID, entry), qt.IsNil)
}

// behavior makes one answer in 25 go wrong, decided by the seed, the request and the runner. Runners call it for each request.
func (s *site) behavior(r *http.Request, id string) platformstandin.Behavior {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s", s.seed, id, r.Header.Get("Cornelmux-Request-Id"))
	n := int(h.Sum64() % 200)
	if m := platformstandin.Behavior(n + 1); n < int(platformstandin.BehaviorHang) {
		return m
	}
	return platformstandin.BehaviorAnswer
}

// addVM writes a VM's settings and starts it.
func (s *site) addVM(ctx context.Context, name, zone string) {
	v := &vm{name: name, settingsPath: filepath.Join(s.dir, name+".conf")}
	var firstPortAddress string
	for _, address := range []*string{&v.callerAddress, &v.readinessAddress, &firstPortAddress} {
		free, err := standin.FreeAddress()
		s.c.Assert(err, qt.IsNil)
		*address = free
	}
	_, port, _ := net.SplitHostPort(firstPortAddress)
	firstPort, err := strconv.Atoi(port)
	s.c.Assert(err, qt.IsNil)
	v.relay, err = standin.NewRelay(ctx, s.store.Address, s.ends)
	s.c.Assert(err, qt.IsNil)
	s.taskCount++
	text := platformstandin.SettingsFile(name, zone, v.callerAddress, v.readinessAddress, v.relay.Address, firstPort)
	s.c.Assert(os.WriteFile(v.settingsPath, []byte(text), 0o600), qt.IsNil)
	v.logFile, err = os.Create(filepath.Join(s.dir, name+".log"))
	s.c.Assert(err, qt.IsNil)
	s.vms = append(s.vms, v)
	s.start(v)
}

// start starts a process for the VM; its output goes to the VM's log file.
func (s *site) start(v *vm) {
	v.process = exec.Command(binary, "platform")
	v.process.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settingsPath)
	v.process.Stdout, v.process.Stderr = v.logFile, v.logFile
	s.c.Assert(v.process.Start(), qt.IsNil)
	v.faulted, v.startedAt = false, time.Now()
}

// signalAndWait sends a signal and waits for the process to end.
func (v *vm) signalAndWait(sig syscall.Signal) {
	_ = v.process.Process.Signal(sig) // it may have ended
	_ = v.process.Wait()
}

// endFaults ends the faults of the store, the relays and the VMs' processes.
func (s *site) endFaults(ctx context.Context) {
	s.store.SetOutage(ctx, platformstandin.OutageNone)
	for _, r := range s.runners {
		r.relay.Set(standin.RelayPass)
	}
	for _, v := range s.vms {
		v.relay.Set(standin.RelayPass)
		_ = v.process.Process.Signal(syscall.SIGCONT)
	}
}

// waitRecovered waits until every VM is ready and has the newest configuration in force, at the start and after the faults. It
// returns an error that lists the other VMs after recoveryTimeout.
func (s *site) waitRecovered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for n := 0; ; n++ {
		unrecovered := s.unrecoveredVMs(ctx, n)
		if len(unrecovered) == 0 {
			return nil
		}
		if !task.Sleep(ctx, 50*time.Millisecond) {
			return errors.New("not recovered: " + strings.Join(unrecovered, ", "))
		}
	}
}

// unrecoveredVMs returns the VMs that aren't ready or don't serve the added route, each with the reason. N makes the IDs of
// the probes unique.
func (s *site) unrecoveredVMs(ctx context.Context, n int) (list []string) {
	for _, v := range s.vms {
		resp, err := s.client.Get("http://" + v.readinessAddress + "/v1/readiness")
		if err != nil {
			list = append(list, v.name+": "+err.Error())
			continue
		}
		resp.Body.Close()
		probe := platformstandin.Call{ID: fmt.Sprintf("probe-%d-%s-%d-%d", s.seed, v.name, s.version, n), Path: s.addedRoute + "x", Key: callerKey}
		got, err := platformstandin.Send(ctx, s.client, v.callerAddress, probe)
		if resp.StatusCode != http.StatusOK || err != nil || got.Status == http.StatusNotFound || got.Status == http.StatusServiceUnavailable {
			list = append(list, fmt.Sprintf("%s: ready %d, %s %d %v", v.name, resp.StatusCode, probe.Path, got.Status, err))
		}
	}
	return list
}

// stop ends the VMs' processes and every task that the site started.
func (s *site) stop(cancel context.CancelFunc) {
	for _, v := range s.vms {
		_ = v.process.Process.Signal(syscall.SIGCONT)
		v.signalAndWait(syscall.SIGKILL)
		v.logFile.Close()
	}
	cancel()
	for range s.taskCount {
		<-s.ends
	}
}

// logTail is how much of each log is printed, in bytes.
const logTail = 4000

// printLogs prints the end of each VM's log.
func (s *site) printLogs() {
	for _, v := range s.vms {
		data, err := os.ReadFile(v.logFile.Name())
		if err != nil {
			continue
		}
		s.c.Logf("%s:\n%s", v.name, data[max(len(data)-logTail, 0):])
	}
}
