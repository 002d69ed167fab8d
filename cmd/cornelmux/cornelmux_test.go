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

var update = flag.Bool("update", false, "write the pages anew")

func TestPagesAreTrueOfTheCode(t *testing.T) {
	rows := []struct{ page, file string }{
		{"settings", "SETTINGS.md"},
		{"result_codes", "RESULT_CODES.md"},
	}
	c := qt.New(t)
	for _, row := range rows {
		path := filepath.Join("..", "..", "docs", row.file)
		if *update {
			c.Assert(os.WriteFile(path, []byte(pages[row.page]()), 0o644), qt.IsNil)
		}
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		c.Check(string(data), qt.Equals, pages[row.page](), qt.Commentf("go test ./cmd/cornelmux -update writes it anew"))
	}
}

func TestReport(t *testing.T) {
	call := func(code connect.Code) error {
		return fmt.Errorf("change a: %w", explain(connect.NewError(code, errors.New("5002 conflict: change b"))))
	}
	rows := []struct {
		name string
		err  error
		code int
		text string
	}{
		{"done", nil, exitDone, ""},
		{"help", &flags.Error{Type: flags.ErrHelp, Message: "usage"}, exitDone, ""},
		{"wrong use", &flags.Error{Type: flags.ErrUnknownFlag, Message: "unknown flag"}, exitUsage, "--help"},
		{"failed", errors.New("no such file"), exitFailed, "cornelmux: no such file"},
		{"conflict", call(connect.CodeAborted), exitConflict, "next: read the configuration again"},
		{"unreachable", call(connect.CodeUnavailable), exitUnreachable, "next: try again with the same --change-id"},
		{"too slow", call(connect.CodeDeadlineExceeded), exitUnreachable, "5002 conflict: change b"},
		{"invalid", call(connect.CodeInvalidArgument), exitFailed, "cornelmux check"},
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
		{"nothing to check", []string{"check"}, exitUsage},
		{"no such file", []string{"check", "--settings", "/nowhere"}, exitFailed},
		{"help of a command", []string{"apply", "--help"}, exitDone},
		{"version", []string{"version", "--output", "json"}, exitDone},
		{"new key", []string{"keygen", "--file", key}, exitDone},
		{"key exists", []string{"keygen", "--file", key}, exitFailed},
		{"nobody listens", []string{"get", "--address", "127.0.0.1:1", "--key-file", key}, exitUnreachable},
		{"no key file", []string{"get", "--address", "127.0.0.1:1", "--key-file", key + "2"}, exitFailed},
	}
	c := qt.New(t)
	for _, row := range rows {
		c.Run(row.name, func(c *qt.C) {
			_, err := newParser().ParseArgs(row.args)
			var out, errs bytes.Buffer
			c.Assert(report(&out, &errs, err), qt.Equals, row.code, qt.Commentf("%s", errs.String()))
		})
	}
	made, err := settings.ReadKey(key)
	c.Assert(err, qt.IsNil)
	c.Assert(len(made) > keyBytes, qt.IsTrue)
	info, err := os.Stat(key)
	c.Assert(err, qt.IsNil)
	c.Assert(info.Mode().Perm(), qt.Equals, os.FileMode(keyMode))
}

func TestEveryCommandHasAnExample(t *testing.T) {
	c := qt.New(t)
	for _, command := range newParser().Commands() {
		if !command.Hidden && command.Name != "version" {
			c.Check(examples[command.Name], qt.Contains, "cornelmux "+command.Name)
		}
	}
}
