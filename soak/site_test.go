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
	world "cornelmux/platform/standin"
)

const callerKey = "soak-key"

// site is a store and runners in this process, and VMs in processes of their own that reach them through relays.
type site struct {
	c       *qt.C
	seed    uint64
	dir     string
	store   *world.Store
	runs    chan world.Run
	ends    chan task.End
	started int
	runners []*runner
	vms     []*vm
	version int
	added   string
	client  *http.Client
}

type runner struct {
	*world.Runner
	service string
	zone    string
	relay   *standin.Relay
	born    int64
}

type vm struct {
	name      string
	callers   string
	ready     string
	settings  string
	relay     *standin.Relay
	process   *exec.Cmd
	logs      *os.File
	startedAt time.Time
	// busy says that a fault has the process in hand.
	busy bool
}

func newSite(ctx context.Context, c *qt.C, seed uint64) *site {
	s := &site{
		c: c, seed: seed, dir: c.Mkdir(), runs: make(chan world.Run, 4096), ends: make(chan task.End, 256), version: 3,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	s.store, err = world.NewStore(ctx, s.ends)
	c.Assert(err, qt.IsNil)
	s.started++
	for n := range 3 {
		s.addRunner(ctx, fmt.Sprint("app-", n), world.AppService, []string{"a", "b"}[n%2])
		s.addRunner(ctx, fmt.Sprint("model-", n), world.ModelService, []string{"a", "b"}[n%2])
	}
	s.configure(ctx)
	for n := range *vmCount {
		s.addVM(ctx, fmt.Sprint("vm-", n), []string{"a", "a", "a", "b"}[n%4])
	}
	c.Assert(s.settle(ctx), qt.IsNil)
	return s
}

// configure writes the next version, whose added route shows on every VM that it is in force.
func (s *site) configure(ctx context.Context) {
	s.version += 2
	s.added = fmt.Sprintf("/added-%d/", s.version)
	body := world.Configuration(s.version, world.Keys{"parish": callerKey}, s.added)
	s.c.Assert(s.store.Put(ctx, "op/config", body), qt.IsNil)
}

func (s *site) addRunner(ctx context.Context, id, service, zone string) *runner {
	n, err := world.NewRunner(ctx, id, "v1", s.runs, func(r *http.Request) world.Behavior { return s.manner(r, id) }, s.ends)
	s.c.Assert(err, qt.IsNil)
	relay, err := standin.NewRelay(ctx, n.Address, s.ends)
	s.c.Assert(err, qt.IsNil)
	s.started += 2
	r := &runner{Runner: n, service: service, zone: zone, relay: relay, born: time.Now().UnixMilli()}
	s.runners = append(s.runners, r)
	s.list(ctx, r, "ready")
	return r
}

func (s *site) list(ctx context.Context, r *runner, state string) {
	s.c.Assert(s.store.Put(ctx, "servers/"+r.ID, r.Entry(r.service, r.zone, r.relay.Address, state, r.born)), qt.IsNil)
}

// manner lets a few answers in a hundred go wrong, by the seed, the request and the runner.
func (s *site) manner(r *http.Request, id string) world.Behavior {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s", s.seed, id, r.Header.Get("Cornelmux-Request-Id"))
	n := int(h.Sum64() % 200)
	if m := world.Behavior(n + 1); n < int(world.BehaviorHang) {
		return m
	}
	return world.BehaviorAnswer
}

func (s *site) addVM(ctx context.Context, name, zone string) {
	v := &vm{name: name, settings: filepath.Join(s.dir, name+".conf")}
	var first string
	for _, to := range []*string{&v.callers, &v.ready, &first} {
		address, err := standin.FreeAddress()
		s.c.Assert(err, qt.IsNil)
		*to = address
	}
	_, port, _ := net.SplitHostPort(first)
	number, err := strconv.Atoi(port)
	s.c.Assert(err, qt.IsNil)
	v.relay, err = standin.NewRelay(ctx, s.store.Address, s.ends)
	s.c.Assert(err, qt.IsNil)
	s.started++
	text := world.SettingsFile(name, zone, v.callers, v.ready, v.relay.Address, number)
	s.c.Assert(os.WriteFile(v.settings, []byte(text), 0o600), qt.IsNil)
	v.logs, err = os.Create(filepath.Join(s.dir, name+".log"))
	s.c.Assert(err, qt.IsNil)
	s.vms = append(s.vms, v)
	s.start(v)
}

func (s *site) start(v *vm) {
	v.process = exec.Command(binary, "platform")
	v.process.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	v.process.Stdout, v.process.Stderr = v.logs, v.logs
	s.c.Assert(v.process.Start(), qt.IsNil)
	v.busy, v.startedAt = false, time.Now()
}

// end waits for the process to end after a signal.
func (v *vm) end(sig syscall.Signal) {
	_ = v.process.Process.Signal(sig) // it may have ended
	_ = v.process.Wait()
}

// heal ends every fault.
func (s *site) heal(ctx context.Context) {
	s.store.SetOutage(ctx, world.OutageNone)
	for _, r := range s.runners {
		r.relay.Set(standin.RelayPass)
	}
	for _, v := range s.vms {
		v.relay.Set(standin.RelayPass)
		_ = v.process.Process.Signal(syscall.SIGCONT)
	}
}

// settle waits until every VM is ready and has the newest configuration in force.
func (s *site) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for n := 0; ; n++ {
		behind := s.behind(ctx, n)
		if len(behind) == 0 {
			return nil
		}
		if !task.Sleep(ctx, 50*time.Millisecond) {
			return errors.New("not well again: " + strings.Join(behind, ", "))
		}
	}
}

func (s *site) behind(ctx context.Context, n int) (behind []string) {
	for _, v := range s.vms {
		resp, err := s.client.Get("http://" + v.ready + "/v1/readiness")
		if err != nil {
			behind = append(behind, v.name+": "+err.Error())
			continue
		}
		resp.Body.Close()
		probe := world.Call{ID: fmt.Sprintf("probe-%d-%s-%d-%d", s.seed, v.name, s.version, n), Path: s.added + "x", Key: callerKey}
		got, err := world.Send(ctx, s.client, v.callers, probe)
		if resp.StatusCode != http.StatusOK || err != nil || got.Status == http.StatusNotFound || got.Status == http.StatusServiceUnavailable {
			behind = append(behind, fmt.Sprintf("%s: ready %d, %s %d %v", v.name, resp.StatusCode, probe.Path, got.Status, err))
		}
	}
	return behind
}

// stop ends the processes that the site started, and everything in this one.
func (s *site) stop(cancel context.CancelFunc) {
	for _, v := range s.vms {
		_ = v.process.Process.Signal(syscall.SIGCONT)
		v.end(syscall.SIGKILL)
		v.logs.Close()
	}
	cancel()
	for range s.started {
		<-s.ends
	}
}

const logTail = 4000

func (s *site) printLogs() {
	for _, v := range s.vms {
		data, err := os.ReadFile(v.logs.Name())
		if err != nil {
			continue
		}
		s.c.Logf("%s:\n%s", v.name, data[max(len(data)-logTail, 0):])
	}
}
