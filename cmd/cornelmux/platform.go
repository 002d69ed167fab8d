package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"cornelmux/internal/logsink"
	"cornelmux/internal/settings"
	"cornelmux/internal/task"
	"cornelmux/platform"
)

type platformCommand struct {
	Check bool `long:"check" description:"check the settings and end"`
}

// Execute implements flags.Commander. It runs an entry VM until SIGINT or SIGTERM; SIGHUP reloads its settings.
func (c *platformCommand) Execute([]string) error {
	// Catch SIGHUP before anything else: by default it ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fmt.Errorf("%s is not set", platform.SettingsVariable)
	}
	cfg, err := platform.LoadSettings(path)
	if err != nil || c.Check {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	sink := logsink.New(os.Stdout)
	// The log sink has a context of its own, so that it still writes what is logged during the shutdown.
	logCtx, cancel := context.WithCancel(context.Background())
	ends := make(chan task.End, 1)
	task.Start(logCtx, "log", ends, sink.Run)
	log := newLogger(sink, settings.LogSettings{}).WithValues("vm", cfg.VM)
	slog.SetDefault(slog.New(logr.ToSlogHandler(log))) // libraries log through the same sink
	err = platform.New(cfg, hangups, log).Run(ctx)
	return errors.Join(err, task.Stop(cancel, ends, 1))
}
