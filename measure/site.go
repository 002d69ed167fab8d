package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"cornelmux/internal/consul"
	"cornelmux/internal/entry"
	"cornelmux/internal/settings"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
	"cornelmux/internal/wire"
	"cornelmux/internal/wire/wireconnect"
	"cornelmux/pkg/catalog"
)

const (
	// siteKey is the API key of the client account, and the operators' and the VMs' key.
	siteKey = "measure-key"
	// siteTimeout bounds calls to the site and waits for it.
	siteTimeout = 10 * time.Second
	// sitePollInterval is the time between two attempts of retry.
	sitePollInterval = 20 * time.Millisecond
	// maxSiteTasks is how many tasks a site may start, so that none waits to report its end.
	maxSiteTasks = 32
)

// site is the platform, engines and an entry VM in this process, over loopback.
type site struct {
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan task.End
	// taskCount is the number of tasks whose ends come on ends.
	taskCount   int
	servers     []*http.Server
	dir         string
	platformURL string
	callerURL   string
	controlURL  string
}

// newSite starts the platform's stand-in. newSystems calls it.
func newSite() (*site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{ctx: ctx, cancel: cancel, ends: make(chan task.End, maxSiteTasks)}
	var err error
	if s.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return s, err
	}
	p := standin.NewPlatform()
	s.start("platform", p.Run)
	s.platformURL, err = s.serve(p)
	return s, err
}

func (s *site) start(name string, f func(context.Context) error) {
	s.taskCount++
	task.Start(s.ctx, name, s.ends, f)
}

// serve serves h on a free port and returns its URL. The platform, the engines and the proxy run on it.
func (s *site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: siteTimeout}
	s.servers = append(s.servers, server)
	s.start("server", func(context.Context) error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return "http://" + l.Addr().String(), nil
}

// close ends every task and server and removes the site's files.
func (s *site) close() error {
	s.cancel()
	for _, server := range s.servers {
		server.Close()
	}
	return errors.Join(task.Stop(s.cancel, s.ends, s.taskCount), os.RemoveAll(s.dir))
}

// startEngine starts a stand-in engine, registers it with the platform and returns its URL. newSystems calls it.
func (s *site) startEngine(id string, interval time.Duration, versions ...string) (string, error) {
	e := standin.NewEngine(versions, interval)
	s.start(id, e.Run)
	url, err := s.serve(e)
	if err != nil {
		return "", err
	}
	host, port, err := net.SplitHostPort(url[len("http://"):])
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	client := consul.New(s.platformURL, http.DefaultClient, siteTimeout)
	return url, client.Register(s.ctx, consul.Registration{
		ID: id, Name: "endpoint", Address: host, Port: n, Meta: map[string]string{"region": "region-1", "zone": "zone-1"},
	})
}

// startVM starts an entry VM, submits the configuration to it and waits until it serves requests. MoreSettings are added to
// its settings. newSystems calls it.
func (s *site) startVM(moreSettings string, cfg catalog.Configuration) error {
	parsed, err := s.newSettings(moreSettings)
	if err != nil {
		return err
	}
	s.callerURL, s.controlURL = "http://"+parsed.Listen.Callers, "http://"+parsed.Listen.Control
	s.start("vm", entry.New(parsed, entry.ThisMachine(), logr.Discard()).Run)
	data, err := json.Marshal(catalog.Change{Set: cfg})
	if err != nil {
		return err
	}
	client := wireconnect.NewControlServiceClient(http.DefaultClient, s.controlURL, connect.WithInterceptors(bearerInterceptor(siteKey)))
	err = s.retry(func() error {
		_, err := client.Submit(s.ctx, &wire.SubmitRequest{ChangeId: "measure", Author: "measure", Change: data})
		return err
	})
	if err != nil {
		return err
	}
	return s.retry(s.checkServing)
}

// checkServing returns an error unless a chat request to the VM succeeds.
func (s *site) checkServing() error {
	resp, err := http.DefaultClient.Do(newChat(s.ctx, s.callerURL, "warm up"))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// retry calls f until it succeeds, or returns its last error after siteTimeout.
func (s *site) retry(f func() error) error {
	ctx, cancel := context.WithTimeout(s.ctx, siteTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil || !task.Sleep(ctx, sitePollInterval) {
			return err
		}
	}
}

// newSettings returns the settings of the VM, with free addresses and moreSettings added. startVM calls it.
func (s *site) newSettings(moreSettings string) (settings.Settings, error) {
	key := filepath.Join(s.dir, "key")
	if err := os.WriteFile(key, []byte(siteKey), 0o600); err != nil {
		return settings.Settings{}, err
	}
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return settings.Settings{}, err
		}
		addresses[i] = l.Addr().String()
		defer l.Close()
	}
	text := fmt.Sprintf("[vm]\nname=vm-1\nregion=region-1\nzone=zone-1\n[listen]\ncallers=%s\ncontrol=%s\npeers=%s\n"+
		"[keys]\noperator_key_file=%s\nfleet_key_file=%s\n[reach]\nplatform=%s\n[limits]\nleave_grace=1ms\n",
		addresses[0], addresses[1], addresses[2], key, key, s.platformURL)
	return settings.Parse("measure.ini", []byte(text+moreSettings))
}

// bearerInterceptor adds the key to each call as a bearer token.
func bearerInterceptor(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, r)
		}
	}
}
