package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"cornelmux/internal/entry"
	"cornelmux/internal/settings"
	"cornelmux/pkg/catalog"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"INI file"`
}

// Execute implements flags.Commander. It runs an entry VM until SIGINT or SIGTERM.
func (c *serveCommand) Execute([]string) error {
	cfg, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return entry.New(cfg, entry.ThisMachine(), newLogger(os.Stderr, cfg.Log).WithValues("vm", cfg.VM.Name)).Run(ctx)
}

// newLogger returns the process's logger, which writes each record as a JSON object or, in text format, as key=value pairs.
func newLogger(w io.Writer, cfg settings.LogSettings) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.LevelInfo}
	if cfg.Level == settings.LevelDebug {
		options.Level = slog.LevelDebug
	}
	if cfg.Format == settings.FormatText {
		return logr.FromSlogHandler(slog.NewTextHandler(w, options))
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, options))
}

type checkCommand struct {
	outputOptions
	Settings      string `long:"settings" description:"INI file to check"`
	Configuration string `long:"configuration" description:"printed configuration to check"`
}

// Execute implements flags.Commander. It checks the given files and fails at the first error.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && c.Configuration == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "give --settings, --configuration or both"}
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
	return c.print(checkResult{OK: true}, "ok")
}

// checkResult is the JSON output of the check command if there is no error.
type checkResult struct {
	OK bool `json:"ok"`
}

type versionCommand struct{ outputOptions }

// versionResult is the JSON output of the version command.
type versionResult struct {
	Version string `json:"version"`
}

// Execute implements flags.Commander. It prints the version.
func (c *versionCommand) Execute([]string) error {
	return c.print(versionResult{version}, "cornelmux "+version)
}
