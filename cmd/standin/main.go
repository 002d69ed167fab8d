// Command standin simulates the platform, a model engine, a plain service or the rating service for tests and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cornelmux/internal/consul"
	"cornelmux/internal/standin"
	"cornelmux/internal/task"
)

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = time.Second
	// registerTimeout bounds a registration call.
	registerTimeout = time.Second
	// registerRetryInterval is the pause after a failed registration.
	registerRetryInterval = 2 * time.Second
)

// commonOptions are the options of all commands.
type commonOptions struct {
	Listen   string `long:"listen" required:"true" description:"address as host:port"`
	ID       string `long:"id" description:"name in the platform's list"`
	Platform string `long:"platform" description:"platform's URL to register with"`
	Region   string `long:"region" default:"region-1" description:"region"`
	Zone     string `long:"zone" default:"zone-1" description:"availability zone"`
}

type platformCommand struct {
	commonOptions
}

type engineCommand struct {
	commonOptions
	Versions string        `long:"versions" required:"true" description:"loaded versions, as model/version,…"`
	Interval time.Duration `long:"interval" default:"5ms" description:"time between tokens"`
}

type serviceCommand struct {
	commonOptions
	Name  string        `long:"name" required:"true" description:"service's name"`
	Delay time.Duration `long:"delay" default:"5ms" description:"time a call takes"`
}

type ratingCommand struct {
	commonOptions
	Bad string `long:"bad" default:"[cheap/" description:"text whose answers rate low"`
}

// commands declares the subcommands; go-flags reads them from the struct tags.
type commands struct {
	Platform platformCommand `command:"platform" description:"key-value service and list of VMs"`
	Engine   engineCommand   `command:"engine" description:"model engine"`
	Service  serviceCommand  `command:"service" description:"plain service"`
	Rating   ratingCommand   `command:"rating" description:"rating service"`
}

// component is a stand-in: an HTTP handler and the task that owns its state.
type component interface {
	http.Handler
	Run(ctx context.Context) error
}

// stateless makes a component of a handler that has no state.
type stateless struct{ http.Handler }

// Run implements component; it only waits until ctx ends.
func (stateless) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return c.serve(standin.NewPlatform(), "", nil)
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	return c.serve(standin.NewEngine(strings.Split(c.Versions, ","), c.Interval), "endpoint", map[string]string{"versions": c.Versions})
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(standin.NewService(c.Name, c.Delay), "endpoint", map[string]string{"services": c.Name})
}

// Execute implements flags.Commander.
func (c *ratingCommand) Execute([]string) error {
	return c.serve(stateless{&standin.RatingService{Bad: c.Bad}}, "", nil)
}

// serve listens, registers p with the platform under the service name, and serves requests until SIGINT or SIGTERM. Without
// a service name or a platform it doesn't register. A task that fails doesn't end it; the error is returned after the
// signal. Every command calls it, with the service's metadata in the platform's list.
func (c *commonOptions) serve(p component, service string, meta map[string]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: readHeaderTimeout}
	ends := make(chan task.End, 3)
	task.Start(ctx, "state", ends, p.Run)
	task.Start(ctx, "server", ends, func(context.Context) error { return server.Serve(l) })
	task.Start(ctx, "registration", ends, func(ctx context.Context) error { return c.register(ctx, l, service, meta) })
	<-ctx.Done()
	server.Close()
	err = task.Stop(cancel, ends, 3)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// register is the task that adds the stand-in at the listener's address to the platform's list, then waits until ctx ends. A
// failed registration is retried, since the platform may start later. Without a service name or a platform it only waits.
func (c *commonOptions) register(ctx context.Context, l net.Listener, service string, meta map[string]string) error {
	if service == "" || c.Platform == "" {
		<-ctx.Done()
		return nil
	}
	host, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return err
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	fullMeta := map[string]string{"region": c.Region, "zone": c.Zone}
	maps.Copy(fullMeta, meta)
	client := consul.New(c.Platform, http.DefaultClient, registerTimeout)
	registration := consul.Registration{ID: c.ID, Name: service, Address: host, Port: portNumber, Meta: fullMeta}
	for {
		if err := client.Register(ctx, registration); err == nil {
			<-ctx.Done()
			return nil
		}
		if !task.Sleep(ctx, registerRetryInterval) {
			return nil
		}
	}
}

func main() {
	parser := flags.NewParser(&commands{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		var e *flags.Error
		if errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
