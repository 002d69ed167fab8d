package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"cornelmux/internal/entry"
	"cornelmux/internal/settings"
	"cornelmux/pkg/catalog"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"INI file"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	cfg, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, nil)).WithValues("vm", cfg.VM.Name)
	return entry.New(cfg, log).Run(ctx)
}

type checkCommand struct {
	Settings      string `long:"settings" description:"INI file to check"`
	Configuration string `long:"configuration" description:"printed configuration to check"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && c.Configuration == "" {
		return fmt.Errorf("give --settings, --configuration or both")
	}
	if c.Settings != "" {
		if _, err := settings.Load(c.Settings); err != nil {
			return err
		}
	}
	if c.Configuration != "" {
		data, err := os.ReadFile(c.Configuration)
		if err != nil {
			return err
		}
		if _, err := catalog.Parse(data); err != nil {
			return err
		}
	}
	fmt.Println("ok")
	return nil
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	fmt.Println("cornelmux", version)
	return nil
}
