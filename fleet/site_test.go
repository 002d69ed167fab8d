// Package fleet tests the programs as real processes over loopback: VMs, engines and the platform are killed, frozen, cut
// off from each other, or refuse calls.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/standin"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

const (
	// testTimeout ends a wait or a request that would hang.
	testTimeout = 60 * time.Second
	// pollInterval is the time between two attempts.
	pollInterval = 20 * time.Millisecond
)

// site is a set of processes: the platform, two engines, a service, a rating service and two entry VMs.
// The entry VMs reach the platform, and the engines and the service are reached, through relays.
type site struct {
	c           *qt.C
	dir         string
	platformURL string
	serviceURL  string
	// engineURLs are the URLs by which the test reaches the engines without their relays.
	engineURLs map[string]string
	vms        []*vm
	// relays are keyed by the ID of the engine or service behind them, or by "platform of " and the VM's name.
	relays map[string]*standin.Relay
	// procs are the latest processes by name.
	procs map[string]*exec.Cmd
	// sessionCount counts the sessions that newSessionServedBy started, so that each gets a name of its own.
	sessionCount int
}

// vm is an entry VM; callerAddress and controlAddress are host:port.
type vm struct {
	name           string
	settingsPath   string
	callerAddress  string
	controlAddress string
}

// setting is a line of a VM's settings file.
type setting struct{ section, key, value string }

// newSite starts every process and applies a configuration. Overrides replace settings of both VMs. When the test ends, the
// processes and relays are ended, and their logs are printed if it failed.
func newSite(t *testing.T, overrides ...setting) *site {
	c := qt.New(t)
	s := &site{c: c, dir: c.Mkdir(), engineURLs: map[string]string{}, relays: map[string]*standin.Relay{}, procs: map[string]*exec.Cmd{}}
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 16)
	c.Cleanup(func() {
		for _, p := range s.procs {
			_ = p.Process.Signal(syscall.SIGCONT)
			_ = p.Process.Kill()
			_ = p.Wait()
		}
		c.Check(task.Stop(cancel, ends, len(s.relays)), qt.IsNil)
		if c.Failed() {
			s.printLogs()
		}
	})
	relayTo := func(name, target string) string {
		r, err := standin.NewRelay(ctx, target, ends)
		c.Assert(err, qt.IsNil)
		s.relays[name] = r
		return r.Address
	}
	platformAddress, ratingAddress := s.startStandins(relayTo)
	s.writeFile("operator.key", "operator-key")
	s.writeFile("fleet.key", "fleet-key")
	for n := 1; n <= 2; n++ {
		name := fmt.Sprintf("vm-%d", n)
		v := &vm{name: name, callerAddress: freeAddress(c), controlAddress: freeAddress(c)}
		v.settingsPath = s.writeSettings(v, n, relayTo("platform of "+name, platformAddress), ratingAddress, overrides)
		s.vms = append(s.vms, v)
		s.startVM(v)
		s.waitListening(v.controlAddress)
	}
	s.applyConfiguration()
	return s
}

// startStandins starts the platform, the rating service, both engines and the service, and registers the addresses of their
// relays. newSite calls it with a function that starts a relay.
func (s *site) startStandins(relayTo func(name, target string) string) (platformAddress, ratingAddress string) {
	platformAddress = freeAddress(s.c)
	s.platformURL = "http://" + platformAddress
	s.start("platform", "standin", "platform", "--listen", platformAddress)
	ratingAddress = freeAddress(s.c)
	s.start("rating", "standin", "rating", "--listen", ratingAddress)
	s.waitListening(platformAddress)
	s.startEngine("engine-1", "zone-1", "composer/v1,cheap/v1", relayTo)
	s.startEngine("engine-2", "zone-2", "composer/v1,composer/v2", relayTo)
	serviceAddress := freeAddress(s.c)
	s.serviceURL = "http://" + serviceAddress
	s.start("service-1", "standin", "service", "--listen", serviceAddress, "--name", "reminders", "--delay", "50ms")
	s.waitListening(serviceAddress)
	s.register("service-1", "zone-1", relayTo("service-1", serviceAddress))
	return platformAddress, ratingAddress
}

// startEngine starts an engine and registers the address of its relay.
func (s *site) startEngine(id, zone, versions string, relayTo func(name, target string) string) {
	address := freeAddress(s.c)
	s.engineURLs[id] = "http://" + address
	s.start(id, "standin", "engine", "--listen", address, "--versions", versions, "--interval", "20ms")
	s.waitListening(address)
	s.register(id, zone, relayTo(id, address))
}

// register adds an endpoint to the platform's list.
func (s *site) register(id, zone, address string) {
	host, port, err := net.SplitHostPort(address)
	s.c.Assert(err, qt.IsNil)
	body := fmt.Sprintf(`{"ID":%q,"Name":"endpoint","Address":%q,"Port":%s,"Meta":{"region":"region-1","zone":%q}}`, id, host, port, zone)
	s.put(s.platformURL+"/v1/agent/service/register", body)
}

func (s *site) put(url, body string) {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	s.c.Assert(err, qt.IsNil)
	resp.Body.Close()
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// setFaults sets the faults of the platform.
func (s *site) setFaults(f standin.PlatformFaults) {
	data, err := json.Marshal(f)
	s.c.Assert(err, qt.IsNil)
	s.put(s.platformURL+"/faults", string(data))
}

// writeSettings writes the settings file of VM number n, counted from 1, for newSite and returns its path. Platform is the
// host:port of the relay to the platform, rating that of the rating service.
func (s *site) writeSettings(v *vm, n int, platform, rating string, overrides []setting) string {
	settings := []setting{
		{"vm", "name", v.name},
		{"vm", "region", "region-1"},
		{"vm", "zone", fmt.Sprintf("zone-%d", n)},
		{"listen", "callers", v.callerAddress},
		{"listen", "control", v.controlAddress},
		{"listen", "peers", freeAddress(s.c)},
		{"keys", "operator_key_file", filepath.Join(s.dir, "operator.key")},
		{"keys", "fleet_key_file", filepath.Join(s.dir, "fleet.key")},
		{"reach", "platform", "http://" + platform},
		{"reach", "rating", "http://" + rating},
		{"reach", "silence", "1s"},
		{"limits", "leave_grace", "100ms"},
	}
	for _, override := range overrides {
		isOverridden := func(s setting) bool { return s.section == override.section && s.key == override.key }
		settings = append(slices.DeleteFunc(settings, isOverridden), override)
	}
	slices.SortStableFunc(settings, func(a, b setting) int { return strings.Compare(a.section, b.section) })
	var b strings.Builder
	section := ""
	for _, entry := range settings {
		if entry.section != section {
			section = entry.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "%s = %s\n", entry.key, entry.value)
	}
	return s.writeFile(v.name+".ini", b.String())
}

func (s *site) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name)
	s.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// waitUntil repeats f until it returns no error, and fails the test after testTimeout.
func (s *site) waitUntil(what string, f func() error) {
	deadline := time.Now().Add(testTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.c.Fatalf("%s: %v", what, err)
		}
		task.Sleep(context.Background(), pollInterval)
	}
}

// runOperator runs an operator's command against a VM and returns what it printed.
func (s *site) runOperator(v *vm, stdin string, args ...string) (string, error) {
	args = append(args, "--address", v.controlAddress, "--key-file", filepath.Join(s.dir, "operator.key"))
	p := exec.Command(filepath.Join(binaryDir, "cornelmux"), args...)
	p.Stdin = strings.NewReader(stdin)
	out, err := p.CombinedOutput()
	return string(out), err
}

// applyConfiguration applies a configuration with two models, a cascade and a service at the first VM, and waits until
// both VMs serve it.
func (s *site) applyConfiguration() {
	cfg := catalog.Configuration{
		Accounts: []catalog.ClientAccount{{
			Name: "parish", KeyHash: catalog.HashKey(callerKey), HomeRegion: "region-1",
			Grants:   []catalog.Grant{{Model: "composer"}, {Model: "cheap"}},
			Cascades: []string{"draft"}, Services: []string{"reminders"},
			RequestID:      catalog.Source{Place: catalog.PlaceHeader, Name: "Idempotency-Key"},
			Session:        catalog.Source{Place: catalog.PlaceHeader, Name: "X-Session-Id"},
			ChatIdempotent: true,
		}},
		Models: []catalog.Model{
			{Name: "composer", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}, {Name: "v2"}}},
			{Name: "cheap", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}}},
		},
		Cascades: []catalog.Cascade{{
			Name: "draft", QualityTarget: 0.8, Levels: []catalog.Level{{Model: "cheap"}, {Model: "composer"}},
		}},
		Services: []catalog.Service{{Name: "reminders", Routes: []catalog.Route{
			{Method: "POST", Path: "/send"}, {Method: "GET", Path: "/calendar", Idempotent: true},
		}}},
	}
	var b bytes.Buffer
	s.c.Assert(cfg.Print(&b), qt.IsNil)
	out, err := s.runOperator(s.vms[0], b.String(), "apply")
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for _, v := range s.vms {
		s.waitServing(v)
	}
}

// waitServing waits until requests to both models and to the service succeed at the VM.
func (s *site) waitServing(v *vm) {
	for _, r := range []call{chatCall("", "warm", "composer", "warm"), chatCall("", "warm", "cheap", "warm"), {method: "GET", path: "/services/reminders/calendar"}} {
		s.waitUntil(v.name+" serves "+r.path, func() error {
			got, err := s.send(v, r)
			if err == nil && got.status != http.StatusOK {
				err = fmt.Errorf("%d %s", got.status, got.body)
			}
			return err
		})
	}
}

func freeAddress(c *qt.C) string {
	address, err := standin.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}
