package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"cornelmux/internal/settings"
	"cornelmux/internal/wire"
	"cornelmux/internal/wire/wireconnect"
	"cornelmux/pkg/catalog"
)

const callTimeout = 15 * time.Second

// target says which VM an operator's command talks to.
type target struct {
	Address string `long:"address" required:"true" description:"control address of an entry VM, as host:port"`
	KeyFile string `long:"key-file" required:"true" description:"file that holds the operators' key"`
}

// keyTransport adds the operators' key to each call.
type keyTransport struct{ key string }

// RoundTrip implements http.RoundTripper.
func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return http.DefaultTransport.RoundTrip(r)
}

func (t *target) dial() (wireconnect.ControlServiceClient, error) {
	key, err := settings.ReadKey(t.KeyFile)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: keyTransport{key}, Timeout: callTimeout}
	return wireconnect.NewControlServiceClient(client, "http://"+t.Address), nil
}

// current returns the configuration in force and its revision.
func (t *target) current(ctx context.Context) (catalog.Configuration, uint64, error) {
	client, err := t.dial()
	if err != nil {
		return catalog.Configuration{}, 0, err
	}
	r, err := client.Configuration(ctx, &wire.ConfigurationRequest{})
	if err != nil {
		return catalog.Configuration{}, 0, explain(err)
	}
	cfg, err := catalog.Parse(r.Configuration)
	return cfg, r.Revision, err
}

// accepted is the output of a command that changes the configuration.
type accepted struct {
	ChangeID string `json:"change_id"`
	Revision uint64 `json:"revision"`
}

// change says who submits a change, and lets a submission be repeated under the same ID.
type change struct {
	output
	Author   string `long:"author" env:"USER" default:"operator" description:"who makes the change"`
	ChangeID string `long:"change-id" description:"ID of the change; a repeated ID is accepted once"`
	// accepted is the revision that holds the change.
	accepted uint64
}

func (c *change) submit(ctx context.Context, t *target, base uint64, ch catalog.Change) error {
	data, err := json.Marshal(ch)
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = fmt.Sprintf("%s-%d", c.Author, time.Now().UnixNano())
	}
	client, err := t.dial()
	if err != nil {
		return err
	}
	r, err := client.Submit(ctx, &wire.SubmitRequest{ChangeId: c.ChangeID, Author: c.Author, BaseRevision: base, Change: data})
	if err != nil {
		return fmt.Errorf("change %s: %w", c.ChangeID, explain(err))
	}
	c.accepted = r.Revision
	done := accepted{c.ChangeID, r.Revision}
	return c.print(done, fmt.Sprintf("change %s accepted at revision %d", c.ChangeID, r.Revision))
}

func readConfiguration(path string) (catalog.Configuration, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return catalog.Configuration{}, err
	}
	return catalog.Parse(data)
}

type applyCommand struct {
	target
	change
	File string `long:"file" default:"-" description:"printed configuration; - reads standard input"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	ctx := context.Background()
	want, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	have, revision, err := c.current(ctx)
	if err != nil {
		return err
	}
	ch := catalog.Diff(have, want)
	if len(ch.Objects()) == 0 {
		return c.print(accepted{c.ChangeID, revision}, fmt.Sprintf("nothing to change at revision %d", revision))
	}
	return c.submit(ctx, &c.target, revision, ch)
}

type diffCommand struct {
	target
	output
	File string `long:"file" default:"-" description:"printed configuration; - reads standard input"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	want, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	have, _, err := c.current(context.Background())
	if err != nil {
		return err
	}
	ch := catalog.Diff(have, want)
	names := ch.Objects()
	return c.print(names, strings.Join(names, "\n"))
}

type getCommand struct{ target }

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	cfg, _, err := c.current(context.Background())
	if err != nil {
		return err
	}
	return cfg.Print(os.Stdout)
}

type statusCommand struct{ target }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	r, err := client.Status(context.Background(), &wire.StatusRequest{})
	if err != nil {
		return explain(err)
	}
	fmt.Println(string(r.Status))
	return nil
}

// versionArgs names a version.
type versionArgs struct {
	Model   string `long:"model" required:"true" description:"model"`
	Version string `long:"version" required:"true" description:"version"`
}

type withdrawCommand struct {
	target
	change
	versionArgs
	Reason string        `long:"reason" description:"reason for the audit trail"`
	Wait   time.Duration `long:"wait" default:"17s" description:"how long to wait until every availability zone has confirmed"`
}

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	ctx := context.Background()
	_, revision, err := c.current(ctx)
	if err != nil {
		return err
	}
	w := catalog.Withdrawal{Model: c.Model, Version: c.Version, Reason: c.Reason}
	err = c.submit(ctx, &c.target, revision, catalog.Change{Set: catalog.Configuration{Withdrawals: []catalog.Withdrawal{w}}})
	if err != nil {
		return err
	}
	return c.target.confirm(ctx, c.accepted, c.Wait)
}

type reinstateCommand struct {
	target
	change
	versionArgs
}

// Execute implements flags.Commander.
func (c *reinstateCommand) Execute([]string) error {
	ctx := context.Background()
	_, revision, err := c.current(ctx)
	if err != nil {
		return err
	}
	return c.submit(ctx, &c.target, revision, catalog.Change{Reinstate: []string{c.Model + "/" + c.Version}})
}
