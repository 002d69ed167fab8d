package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"cornelmux/internal/configuration"
	"cornelmux/internal/consul"
	"cornelmux/internal/settings"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
)

const (
	// testKey is the API key of the client account.
	testKey = "test-key"
	// testTimeout ends a test that would otherwise hang.
	testTimeout = 20 * time.Second
)

// site is a small installation in one process: the platform, two engines, a service and two entry VMs.
type site struct {
	c        *qt.C
	platform *httptest.Server
	service  *httptest.Server
	vms      []*VM
	urls     []string
}

func newSite(t *testing.T) *site { return newLoggedSite(t, logr.Discard()) }

// newLoggedSite starts a site whose VMs log to log, and waits until VM 1 is up. It stops with the test.
func newLoggedSite(t *testing.T, log logr.Logger) *site {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 16)
	started := 0
	start := func(name string, run func(context.Context) error) {
		started++
		task.Start(ctx, name, ends, run)
	}
	serve := func(name string, h http.Handler, run func(context.Context) error) *httptest.Server {
		start(name, run)
		server := httptest.NewServer(h)
		c.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return server
	}
	p := standin.NewPlatform()
	s := &site{c: c, platform: serve("platform", p, p.Run)}
	for i, versions := range [][]string{{"composer/v1", "cheap/v1"}, {"composer/v1", "composer/v2"}} {
		e := standin.NewEngine(versions, time.Millisecond)
		s.register(serve("engine", e, e.Run), fmt.Sprintf("engine-%d", i+1), i+1)
	}
	service := standin.NewService("reminders", time.Millisecond)
	s.service = serve("service", service, service.Run)
	s.register(s.service, "service-1", 1)
	rating := httptest.NewServer(&standin.RatingService{Bad: "[cheap/"})
	c.Cleanup(rating.Close)
	for n := 1; n <= 2; n++ {
		cfg := s.settings(n, rating.URL)
		vm := New(cfg, ThisMachine(), log)
		s.vms = append(s.vms, vm)
		s.urls = append(s.urls, "http://"+cfg.Listen.Callers)
		start("vm", vm.Run)
	}
	c.Cleanup(func() { c.Check(task.Stop(cancel, ends, started), qt.IsNil) })
	s.waitFor(func() error { return s.checkHealth(0) }, "VM 1 is up")
	return s
}

// settings returns the settings of VM n, with free ports.
func (s *site) settings(n int, rating string) settings.Settings {
	path := filepath.Join(s.c.Mkdir(), "vm.ini")
	key := filepath.Join(filepath.Dir(path), "key")
	s.c.Assert(writeFile(key, "secret"), qt.IsNil)
	text := fmt.Sprintf("[vm]\nname=vm-%d\nregion=region-1\nzone=zone-%d\n[listen]\ncallers=%s\ncontrol=%s\npeers=%s\n"+
		"[keys]\noperator_key_file=%s\nfleet_key_file=%s\n[reach]\nplatform=%s\nrating=%s\n[limits]\nleave_grace=1ms\n",
		n, n, freeAddress(s.c), freeAddress(s.c), freeAddress(s.c), key, key, s.platform.URL, rating)
	cfg, err := settings.Parse(path, []byte(text))
	s.c.Assert(err, qt.IsNil)
	return cfg
}

// register registers an endpoint with the platform.
func (s *site) register(server *httptest.Server, id string, zone int) {
	host, port, err := net.SplitHostPort(strings.TrimPrefix(server.URL, "http://"))
	s.c.Assert(err, qt.IsNil)
	n, err := strconv.Atoi(port)
	s.c.Assert(err, qt.IsNil)
	client := consul.New(s.platform.URL, http.DefaultClient, testTimeout)
	err = client.Register(context.Background(), consul.Registration{
		ID: id, Name: "endpoint", Address: host, Port: n,
		Meta: map[string]string{"region": "region-1", "zone": fmt.Sprintf("zone-%d", zone)},
	})
	s.c.Assert(err, qt.IsNil)
}

// submitAndWait submits a change at VM 1 and waits until it is in force on every VM.
func (s *site) submitAndWait(id string, ch catalog.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	revision, err := s.vms[0].configurations.Submit(ctx, configuration.Submission{ChangeID: id, Author: "test", Change: ch})
	s.c.Assert(err, qt.IsNil)
	for _, vm := range s.vms {
		s.waitFor(func() error {
			got, err := vm.configurations.Current(ctx)
			if err == nil && got.Revision < revision {
				err = fmt.Errorf("revision %d", got.Revision)
			}
			return err
		}, "the change is in force")
	}
}

// checkHealth returns an error if the VM doesn't serve callers; any status of the health check is good.
func (s *site) checkHealth(vm int) error {
	resp, err := http.Get(s.urls[vm] + "/healthz")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// waitFor calls f until it succeeds, and fails the test after testTimeout.
func (s *site) waitFor(f func() error, what string) {
	deadline := time.Now().Add(testTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		s.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s: %v", what, err))
		task.Sleep(context.Background(), 10*time.Millisecond)
	}
}

// call is a request of a caller, reply the answer to it.
type call struct {
	method  string
	path    string
	id      string
	session string
	body    string
}

type reply struct {
	status  int
	version string
	body    string
}

// send sends a call to a VM, counted from 0.
func (s *site) send(vm int, r call) reply {
	req, err := http.NewRequest(r.method, s.urls[vm]+r.path, strings.NewReader(r.body))
	s.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", r.id)
	req.Header.Set("X-Session-Id", r.session)
	resp, err := http.DefaultClient.Do(req)
	s.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.c.Assert(err, qt.IsNil)
	return reply{resp.StatusCode, resp.Header.Get(headerVersion), string(body)}
}

// configure submits testConfiguration and waits until both VMs know every endpoint.
func (s *site) configure() {
	s.submitAndWait("first", catalog.Change{Set: testConfiguration()})
	for _, vm := range s.vms {
		s.waitFor(func() error {
			list, err := vm.endpoints.Snapshot(context.Background())
			known := 0
			for _, e := range list {
				if !e.Suspect && len(e.Versions)+len(e.Services) > 0 {
					known++
				}
			}
			if err == nil && known < 3 {
				err = fmt.Errorf("%d endpoints", known)
			}
			return err
		}, "endpoints are known")
	}
}

// testConfiguration returns a configuration with one client account, which has no grant for the model "secret".
func testConfiguration() catalog.Configuration {
	return catalog.Configuration{
		Accounts: []catalog.ClientAccount{{
			Name: "parish", KeyHash: catalog.HashKey(testKey), HomeRegion: "region-1",
			Grants:   []catalog.Grant{{Model: "composer"}, {Model: "cheap"}},
			Cascades: []string{"draft"}, Services: []string{"reminders"},
			RequestID:      catalog.Source{Place: catalog.PlaceHeader, Name: "Idempotency-Key"},
			Session:        catalog.Source{Place: catalog.PlaceHeader, Name: "X-Session-Id"},
			ChatIdempotent: true,
		}},
		Models: []catalog.Model{
			{Name: "composer", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}, {Name: "v2"}}},
			{Name: "cheap", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}}},
			{Name: "secret", Stable: "v1", Versions: []catalog.Version{{Name: "v1"}}},
		},
		Cascades: []catalog.Cascade{{
			Name: "draft", QualityTarget: 0.8, Levels: []catalog.Level{{Model: "cheap"}, {Model: "composer"}},
		}},
		Services: []catalog.Service{{Name: "reminders", Routes: []catalog.Route{
			{Method: "POST", Path: "/send"}, {Method: "GET", Path: "/calendar", Idempotent: true},
		}}},
	}
}
