package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/jessevdk/go-flags"

	"cornelmux/internal/settings"
)

var updatePages = flag.Bool("update", false, "write the pages anew")

// TestDocsPagesMatchTheCode fails if a page under docs/ differs from what the code generates; -update writes the pages.
func TestDocsPagesMatchTheCode(t *testing.T) {
	rows := []struct{ page, file string }{
		{"settings", "SETTINGS.md"},
		{"result_codes", "RESULT_CODES.md"},
	}
	c := qt.New(t)
	for _, row := range rows {
		path := filepath.Join("..", "..", "docs", row.file)
		if *updatePages {
			c.Assert(os.WriteFile(path, []byte(pages[row.page]()), 0o644), qt.IsNil)
		}
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		c.Check(string(data), qt.Equals, pages[row.page](), qt.Commentf("run go test ./cmd/cornelmux -update to regenerate it"))
	}
}

// TestReport checks the exit code and the text for each kind of error.
func TestReport(t *testing.T) {
	newCallError := func(code connect.Code) error {
		return fmt.Errorf("change a: %w", toCallError(connect.NewError(code, errors.New("5002 conflict: change b"))))
	}
	rows := []struct {
		name string
		err  error
		code int
		text string
	}{
		{"no error", nil, exitDone, ""},
		{"help", &flags.Error{Type: flags.ErrHelp, Message: "usage"}, exitDone, ""},
		{"usage error", &flags.Error{Type: flags.ErrUnknownFlag, Message: "unknown flag"}, exitUsage, "--help"},
		{"other error", errors.New("no such file"), exitFailed, "cornelmux: no such file"},
		{"conflict", newCallError(connect.CodeAborted), exitConflict, "next: read the configuration again"},
		{"unreachable", newCallError(connect.CodeUnavailable), exitUnreachable, "next: try again with the same --change-id"},
		{"timeout", newCallError(connect.CodeDeadlineExceeded), exitUnreachable, "5002 conflict: change b"},
		{"invalid argument", newCallError(connect.CodeInvalidArgument), exitFailed, "cornelmux check"},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			var out, errs bytes.Buffer
			c.Assert(report(&out, &errs, row.err), qt.Equals, row.code)
			c.Assert(errs.String(), qt.Contains, row.text)
		})
	}
}

// TestArguments runs whole command lines and checks their exit codes; the rows share one key file.
func TestArguments(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	rows := []struct {
		name string
		args []string
		code int
	}{
		{"no command", nil, exitUsage},
		{"unknown command", []string{"start"}, exitUsage},
		{"missing option", []string{"get"}, exitUsage},
		{"unknown format", []string{"version", "--output", "xml"}, exitUsage},
		{"check without a file", []string{"check"}, exitUsage},
		{"missing settings file", []string{"check", "--settings", "/nowhere"}, exitFailed},
		{"help of a command", []string{"apply", "--help"}, exitDone},
		{"version", []string{"version", "--output", "json"}, exitDone},
		{"generate a key", []string{"keygen", "--file", key}, exitDone},
		{"key file exists", []string{"keygen", "--file", key}, exitFailed},
		{"no listener", []string{"get", "--address", "127.0.0.1:1", "--key-file", key}, exitUnreachable},
		{"missing key file", []string{"get", "--address", "127.0.0.1:1", "--key-file", key + "2"}, exitFailed},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			_, err := newParser().ParseArgs(row.args)
			var out, errs bytes.Buffer
			c.Assert(report(&out, &errs, err), qt.Equals, row.code, qt.Commentf("%s", errs.String()))
		})
	}
	generated, err := settings.ReadKey(key)
	c.Assert(err, qt.IsNil)
	c.Assert(len(generated) > keyBytes, qt.IsTrue)
	info, err := os.Stat(key)
	c.Assert(err, qt.IsNil)
	c.Assert(info.Mode().Perm(), qt.Equals, os.FileMode(keyFileMode))
}

// TestEveryCommandHasAnExample requires an example for each visible command but version.
func TestEveryCommandHasAnExample(t *testing.T) {
	c := qt.New(t)
	for _, command := range newParser().Commands() {
		if !command.Hidden && command.Name != "version" {
			c.Check(examples[command.Name], qt.Contains, "cornelmux "+command.Name)
		}
	}
}
