package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/consul"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
	"cornelmux/pkg/catalog"
	"cornelmux/platform"
	platformstandin "cornelmux/platform/standin"
)

const (
	// memoryMB is the memory of the VM in MiB, and descriptorLimit its file descriptors.
	memoryMB        = 96
	descriptorLimit = 600
	// heapBytes is what serve's heap may take, as its environment says.
	heapBytes = memoryMB << 20 * 6 / 10
	// bodyBytes is the longest body that both programs allow.
	bodyBytes = 4 << 20
	// callerKey is the API key of the client account, which the crowd has too.
	callerKey = "crowd-key"
	// hangLimit ends a wait that would otherwise hang.
	hangLimit = 30 * time.Second
	// attemptLimit ends one attempt of the ordinary caller.
	attemptLimit = 10 * time.Second
	// retryPause is the time between two attempts of the ordinary caller.
	retryPause = 100 * time.Millisecond
)

// site is one VM process and what stands behind it.
type site struct {
	c       *qt.C
	process *process
	// address is that of the VM for callers, as host:port.
	address string
	// requestLines returns the request line and header fields of a POST request with the ID, without what frames its body.
	requestLines func(id string) string
	// call makes the ordinary request with the ID.
	call func(ctx context.Context, id string) error
}

// startTasks returns a function that starts a task for the time of the test.
func startTasks(c *qt.C) (context.Context, func(name string, run func(context.Context) error)) {
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 16)
	started := 0
	c.Cleanup(func() {
		cancel()
		for range started {
			<-ends
		}
	})
	return ctx, func(name string, run func(context.Context) error) {
		started++
		task.Start(ctx, name, ends, run)
	}
}

// waitAnswered makes the ordinary request, on a new connection each time, until it is answered, and fails the test after hangLimit.
func (s *site) waitAnswered(what string) {
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	var last error
	for n := 0; ; n++ {
		attempt, end := context.WithTimeout(ctx, attemptLimit)
		err := s.call(attempt, fmt.Sprint(strings.ReplaceAll(what, " ", "-"), "-", n))
		end()
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			last = err
		}
		if !task.Sleep(ctx, retryPause) {
			s.c.Errorf("%s: %v", what, last)
			return
		}
	}
}

// freshClient makes each request on a connection of its own.
func freshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// newPlatformSite starts `cornelmux platform` with two runners.
func newPlatformSite(c *qt.C) *site {
	ctx, start := startTasks(c)
	runs := make(chan platformstandin.Run, 64)
	start("runs", func(ctx context.Context) error { return drop(ctx, runs) })
	ends := make(chan task.End, 4)
	store, err := platformstandin.NewStore(ctx, ends)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Configure(ctx, 3, platformstandin.Keys{"parish": callerKey}, bodyBytes), qt.IsNil)
	answer := func(*http.Request) platformstandin.Behavior { return platformstandin.BehaviorAnswer }
	for _, id := range []string{"app-1", "app-2"} {
		n, err := platformstandin.NewRunner(ctx, id, "v1", runs, answer, ends)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Register(ctx, n, platformstandin.AppService, "a"), qt.IsNil)
	}
	addresses := freeAddresses(c, 3)
	text := platformstandin.SettingsFile("vm-1", "a", addresses[0], addresses[1], store.Address, portOf(c, addresses[2])) +
		platformstandin.LimitLines(memoryMB, descriptorLimit)
	settings := writeFile(c, "vm.conf", text)
	s := &site{c: c, address: addresses[0]}
	s.process = startProcess(c, descriptorLimit, []string{platform.SettingsVariable + "=" + settings}, "platform")
	ordinary := func(id string) platformstandin.Call {
		return platformstandin.Call{ID: id, Path: platformstandin.NonIdempotentPrefix, Key: callerKey, Body: "x"}
	}
	s.requestLines = func(id string) string { return ordinary(id).RequestLines() }
	s.call = func(ctx context.Context, id string) error {
		got, err := platformstandin.Send(ctx, freshClient(), s.address, ordinary(id))
		if err == nil && got.Status != http.StatusOK {
			err = fmt.Errorf("%d %s", got.Status, got.Body)
		}
		return err
	}
	s.waitAnswered("start")
	return s
}

// drop receives the runs until ctx ends, so that no runner waits.
func drop(ctx context.Context, runs <-chan platformstandin.Run) error {
	for {
		select {
		case <-runs:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newServeSite starts `cornelmux serve` with a service.
func newServeSite(c *qt.C) *site {
	_, start := startTasks(c)
	store, service := standin.NewPlatform(), standin.NewService("reminders", time.Millisecond)
	start("platform", store.Run)
	start("service", service.Run)
	storeServer, serviceServer := httptest.NewServer(store), httptest.NewServer(service)
	c.Cleanup(func() {
		for _, server := range []*httptest.Server{storeServer, serviceServer} {
			server.CloseClientConnections()
			server.Close()
		}
	})
	serviceAddress := strings.TrimPrefix(serviceServer.URL, "http://")
	err := consul.New(storeServer.URL, http.DefaultClient, hangLimit).Register(context.Background(), consul.Registration{
		ID: "service-1", Name: "endpoint", Address: "127.0.0.1", Port: portOf(c, serviceAddress),
		Meta: map[string]string{"region": "region-1", "zone": "zone-1"},
	})
	c.Assert(err, qt.IsNil)
	addresses := freeAddresses(c, 3)
	key := writeFile(c, "key", "secret")
	settings := writeFile(c, "vm.ini", fmt.Sprintf("[vm]\nname=vm-1\nregion=region-1\nzone=zone-1\n"+
		"[listen]\ncallers=%s\ncontrol=%s\npeers=%s\n[keys]\noperator_key_file=%s\nfleet_key_file=%s\n[reach]\nplatform=%s\n"+
		"[limits]\nbody_bytes=%d\nrequest_timeout=12s\n[journal]\nkept_bytes=8388608\n", addresses[0], addresses[1], addresses[2], key, key, storeServer.URL, bodyBytes))
	s := &site{c: c, address: addresses[0]}
	heapLimit := fmt.Sprintf("GOMEMLIMIT=%d", heapBytes)
	s.process = startProcess(c, descriptorLimit, []string{heapLimit}, "serve", "--settings", settings)
	s.requestLines = func(id string) string {
		return fmt.Sprintf("POST /services/reminders/send HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\n", callerKey, id)
	}
	s.call = s.callService
	s.applyConfiguration(addresses[1], key)
	s.waitAnswered("start")
	return s
}

// callService makes an ordinary request to the service.
func (s *site) callService(ctx context.Context, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/services/reminders/send", strings.NewReader("x"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Idempotency-Key", id)
	resp, err := freshClient().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// applyConfiguration applies a configuration with a service, as operators do, once the VM listens.
func (s *site) applyConfiguration(control, keyFile string) {
	cfg := catalog.Configuration{
		Accounts: []catalog.ClientAccount{{
			Name: "parish", KeyHash: catalog.HashKey(callerKey), HomeRegion: "region-1", Services: []string{"reminders"},
			RequestID: catalog.Source{Place: catalog.PlaceHeader, Name: "Idempotency-Key"},
		}},
		Services: []catalog.Service{{Name: "reminders", Routes: []catalog.Route{{Method: "POST", Path: "/send"}}}},
	}
	var text bytes.Buffer
	s.c.Assert(cfg.Print(&text), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	for {
		p := exec.CommandContext(ctx, binary, "apply", "--address", control, "--key-file", keyFile)
		p.Stdin = strings.NewReader(text.String())
		out, err := p.CombinedOutput()
		if err == nil {
			return
		}
		if !task.Sleep(ctx, retryPause) {
			s.c.Fatalf("apply: %v\n%s", err, out)
		}
	}
}

func freeAddresses(c *qt.C, n int) []string {
	list := make([]string, n)
	for i := range list {
		address, err := standin.FreeAddress()
		c.Assert(err, qt.IsNil)
		list[i] = address
	}
	return list
}

func writeFile(c *qt.C, name, text string) string {
	path := filepath.Join(c.Mkdir(), name)
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}
