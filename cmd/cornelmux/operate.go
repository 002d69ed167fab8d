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

// callTimeout bounds one control call, including reading its response.
const callTimeout = 15 * time.Second

// targetOptions selects the entry VM that a command calls and the key that it authenticates with.
type targetOptions struct {
	Address string `long:"address" required:"true" description:"control address of an entry VM, as host:port"`
	KeyFile string `long:"key-file" required:"true" description:"file that holds the operators' key"`
}

// keyTransport adds the operators' key to the header of each call.
type keyTransport struct{ key string }

// RoundTrip implements http.RoundTripper.
func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return http.DefaultTransport.RoundTrip(r)
}

// newClient returns a client of the VM's control service; it doesn't connect yet.
func (t *targetOptions) newClient() (wireconnect.ControlServiceClient, error) {
	key, err := settings.ReadKey(t.KeyFile)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: keyTransport{key}, Timeout: callTimeout}
	return wireconnect.NewControlServiceClient(client, "http://"+t.Address), nil
}

// currentConfiguration fetches the configuration in force and its revision, for the commands that read or replace it.
func (t *targetOptions) currentConfiguration(ctx context.Context) (catalog.Configuration, uint64, error) {
	client, err := t.newClient()
	if err != nil {
		return catalog.Configuration{}, 0, err
	}
	r, err := client.Configuration(ctx, &wire.ConfigurationRequest{})
	if err != nil {
		return catalog.Configuration{}, 0, toCallError(err)
	}
	cfg, err := catalog.Parse(r.Configuration)
	return cfg, r.Revision, err
}

// submitResult is the JSON output of a command that changes the configuration.
type submitResult struct {
	ChangeID string `json:"change_id"`
	Revision uint64 `json:"revision"`
}

// changeOptions sets the author and the ID of a change; a change submitted again under its ID takes effect once.
type changeOptions struct {
	outputOptions
	Author   string `long:"author" env:"USER" default:"operator" description:"who makes the change"`
	ChangeID string `long:"change-id" description:"ID of the change; a repeated ID is accepted once"`
	// acceptedRevision is the revision that contains the change; submit sets it.
	acceptedRevision uint64
}

// submit sends the change, made from the revision base, to the VM and prints the revision that contains it. Every command
// that changes the configuration calls it.
// Without --change-id it generates an ID, which an error names too, so that the change can be submitted again.
func (c *changeOptions) submit(ctx context.Context, t *targetOptions, base uint64, ch catalog.Change) error {
	data, err := json.Marshal(ch)
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = fmt.Sprintf("%s-%d", c.Author, time.Now().UnixNano())
	}
	client, err := t.newClient()
	if err != nil {
		return err
	}
	r, err := client.Submit(ctx, &wire.SubmitRequest{ChangeId: c.ChangeID, Author: c.Author, BaseRevision: base, Change: data})
	if err != nil {
		return fmt.Errorf("change %s: %w", c.ChangeID, toCallError(err))
	}
	c.acceptedRevision = r.Revision
	result := submitResult{c.ChangeID, r.Revision}
	return c.print(result, fmt.Sprintf("change %s accepted at revision %d", c.ChangeID, r.Revision))
}

// readConfiguration parses the configuration in a file, or on standard input if path is "-", for apply and diff.
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
	targetOptions
	changeOptions
	File string `long:"file" default:"-" description:"printed configuration; - reads standard input"`
}

// Execute implements flags.Commander. It submits the difference between the configuration in force and the given one.
func (c *applyCommand) Execute([]string) error {
	ctx := context.Background()
	desired, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	current, revision, err := c.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	ch := catalog.Diff(current, desired)
	if len(ch.Objects()) == 0 {
		return c.print(submitResult{c.ChangeID, revision}, fmt.Sprintf("nothing to change at revision %d", revision))
	}
	return c.submit(ctx, &c.targetOptions, revision, ch)
}

type diffCommand struct {
	targetOptions
	outputOptions
	File string `long:"file" default:"-" description:"printed configuration; - reads standard input"`
}

// Execute implements flags.Commander. It prints the names of the objects that apply would change.
func (c *diffCommand) Execute([]string) error {
	desired, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	current, _, err := c.currentConfiguration(context.Background())
	if err != nil {
		return err
	}
	ch := catalog.Diff(current, desired)
	names := ch.Objects()
	return c.print(names, strings.Join(names, "\n"))
}

type getCommand struct{ targetOptions }

// Execute implements flags.Commander. It prints the configuration in force.
func (c *getCommand) Execute([]string) error {
	cfg, _, err := c.currentConfiguration(context.Background())
	if err != nil {
		return err
	}
	return cfg.Print(os.Stdout)
}

type statusCommand struct{ targetOptions }

// Execute implements flags.Commander. It prints the VM's status, which is JSON, unchanged.
func (c *statusCommand) Execute([]string) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	r, err := client.Status(context.Background(), &wire.StatusRequest{})
	if err != nil {
		return toCallError(err)
	}
	fmt.Println(string(r.Status))
	return nil
}

// versionOptions names a version of a model.
type versionOptions struct {
	Model   string `long:"model" required:"true" description:"model"`
	Version string `long:"version" required:"true" description:"version"`
}

type withdrawCommand struct {
	targetOptions
	changeOptions
	versionOptions
	Reason string        `long:"reason" description:"reason for the audit trail"`
	Wait   time.Duration `long:"wait" default:"17s" description:"how long to wait until every availability zone has confirmed"`
}

// Execute implements flags.Commander. It withdraws a version, then waits until every availability zone has confirmed.
func (c *withdrawCommand) Execute([]string) error {
	ctx := context.Background()
	_, revision, err := c.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	w := catalog.Withdrawal{Model: c.Model, Version: c.Version, Reason: c.Reason}
	err = c.submit(ctx, &c.targetOptions, revision, catalog.Change{Set: catalog.Configuration{Withdrawals: []catalog.Withdrawal{w}}})
	if err != nil {
		return err
	}
	return c.targetOptions.waitUntilConfirmed(ctx, c.acceptedRevision, c.Wait)
}

type reinstateCommand struct {
	targetOptions
	changeOptions
	versionOptions
}

// Execute implements flags.Commander. It cancels the withdrawal of a version.
func (c *reinstateCommand) Execute([]string) error {
	ctx := context.Background()
	_, revision, err := c.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	return c.submit(ctx, &c.targetOptions, revision, catalog.Change{Reinstate: []string{c.Model + "/" + c.Version}})
}
