// Command standin plays the platform, a model engine, a plain service or the rating service for tests and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
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
	registerTimeout = time.Second
	registerEvery   = 2 * time.Second
)

type common struct {
	Listen   string `long:"listen" required:"true" description:"address as host:port"`
	ID       string `long:"id" description:"name in the platform's list"`
	Platform string `long:"platform" description:"platform's URL to register with"`
	Region   string `long:"region" default:"region-1" description:"region"`
	Zone     string `long:"zone" default:"zone-1" description:"availability zone"`
}

type platformCommand struct {
	common
}

type engineCommand struct {
	common
	Versions string        `long:"versions" required:"true" description:"loaded versions, as model/version,…"`
	Interval time.Duration `long:"interval" default:"5ms" description:"time between tokens"`
}

type serviceCommand struct {
	common
	Name  string        `long:"name" required:"true" description:"service's name"`
	Delay time.Duration `long:"delay" default:"5ms" description:"time a call takes"`
}

type ratingCommand struct {
	common
	Bad string `long:"bad" default:"[cheap/" description:"text whose answers rate low"`
}

type commands struct {
	Platform platformCommand `command:"platform" description:"key-value service and list of VMs"`
	Engine   engineCommand   `command:"engine" description:"model engine"`
	Service  serviceCommand  `command:"service" description:"plain service"`
	Rating   ratingCommand   `command:"rating" description:"rating service"`
}

// part is a stand-in with state of its own.
type part interface {
	http.Handler
	Run(ctx context.Context) error
}

// stateless gives a handler without state the shape of a part.
type stateless struct{ http.Handler }

func (stateless) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return c.run(standin.NewPlatform(), "", nil)
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	return c.run(standin.NewEngine(strings.Split(c.Versions, ","), c.Interval), "endpoint", map[string]string{"versions": c.Versions})
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return c.run(standin.NewService(c.Name, c.Delay), "endpoint", map[string]string{"services": c.Name})
}

// Execute implements flags.Commander.
func (c *ratingCommand) Execute([]string) error {
	return c.run(stateless{&standin.RatingService{Bad: c.Bad}}, "", nil)
}

// run serves p until a signal ends it, and keeps it registered as service where it has one.
func (c *common) run(p part, service string, meta map[string]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: registerTimeout}
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

// register renews the entry in the platform's list until ctx ends.
func (c *common) register(ctx context.Context, l net.Listener, service string, meta map[string]string) error {
	if service == "" || c.Platform == "" {
		<-ctx.Done()
		return nil
	}
	host, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	all := map[string]string{"region": c.Region, "zone": c.Zone}
	for k, v := range meta {
		all[k] = v
	}
	client := consul.New(c.Platform, http.DefaultClient, registerTimeout)
	registration := consul.Registration{ID: c.ID, Name: service, Address: host, Port: n, Meta: all}
	for {
		if err := client.Register(ctx, registration); err == nil {
			<-ctx.Done()
			return nil
		}
		if !task.Sleep(ctx, registerEvery) {
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
