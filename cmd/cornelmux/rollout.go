package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"cornelmux/internal/audit"
	"cornelmux/internal/entry"
	"cornelmux/internal/rollout"
	"cornelmux/internal/task"
	"cornelmux/internal/wire"
	"cornelmux/pkg/catalog"
)

// confirmPollInterval is the time between two status calls of waitUntilConfirmed.
const confirmPollInterval = 500 * time.Millisecond

// rollOutCommands declares the subcommands of `cornelmux rollout`.
type rollOutCommands struct {
	Start  rollOutStartCommand  `command:"start" description:"begin to move sessions to a version"`
	Step   rollOutStepCommand   `command:"step" description:"take the next step now"`
	Halt   rollOutHaltCommand   `command:"halt" description:"give no new session the version; bound sessions stay, withdraw moves them"`
	Resume rollOutResumeCommand `command:"resume" description:"lift a halt, with evidence counted anew"`
	Status rollOutStatusCommand `command:"status" description:"print each roll-out and its evidence"`
}

// modelOptions names a model.
type modelOptions struct {
	Model string `long:"model" required:"true" description:"model"`
}

// findRollOut returns the model's rollout, the configuration in force and its revision, which a change based on it names.
// It fails if the model has no rollout. The commands step, halt and resume call it; start and status do not.
func (t *targetOptions) findRollOut(ctx context.Context, model string) (catalog.RollOut, catalog.Configuration, uint64, error) {
	cfg, revision, err := t.currentConfiguration(ctx)
	if err != nil {
		return catalog.RollOut{}, cfg, 0, err
	}
	r, ok := cfg.FindRollOut(model)
	if !ok {
		return r, cfg, revision, fmt.Errorf("model %s has no roll-out; begin one with: cornelmux rollout start", model)
	}
	return r, cfg, revision, nil
}

// rollOutChange returns the change that sets the model's rollout to r.
func rollOutChange(r catalog.RollOut) catalog.Change {
	return catalog.Change{Set: catalog.Configuration{RollOuts: []catalog.RollOut{r}}}
}

type rollOutStartCommand struct {
	targetOptions
	changeOptions
	versionOptions
	Steps       []float64 `long:"step" default:"0.01" default:"0.05" default:"0.25" default:"1" description:"shares of sessions to go through; repeat the option"`
	StepSeconds int       `long:"step-seconds" default:"600" description:"seconds at each step; 0 takes steps only by command"`
}

// Execute implements flags.Commander. It starts a rollout at its first step, unless one of the model is running.
// If the model's last rollout is done, the same change makes its version the stable one.
func (c *rollOutStartCommand) Execute([]string) error {
	ctx := context.Background()
	cfg, revision, err := c.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	now := time.Now().Unix()
	ch := rollOutChange(catalog.RollOut{
		Model: c.Model, Version: c.Version, State: catalog.RollOutRunning, Share: c.Steps[0],
		Steps: c.Steps, StepSeconds: c.StepSeconds, StepAt: now, StartedAt: now,
	})
	old, exists := cfg.FindRollOut(c.Model)
	if exists && old.State == catalog.RollOutRunning {
		return fmt.Errorf("a roll-out of %s/%s is running; halt it first", old.Model, old.Version)
	}
	if m, ok := cfg.FindModel(c.Model); ok && exists && old.State == catalog.RollOutDone {
		m.Stable = old.Version
		ch.Set.Models = []catalog.Model{m}
	}
	return c.submit(ctx, &c.targetOptions, revision, ch)
}

type rollOutStepCommand struct {
	targetOptions
	changeOptions
	modelOptions
}

// Execute implements flags.Commander. It moves a running rollout to its next step without waiting for the step's duration.
func (c *rollOutStepCommand) Execute([]string) error {
	ctx := context.Background()
	r, _, revision, err := c.findRollOut(ctx, c.Model)
	if err != nil {
		return err
	}
	next, ok := rollout.Advance(r, time.Now())
	if !ok {
		return fmt.Errorf("the roll-out of %s/%s is %s at share %g and has no further step", r.Model, r.Version, r.State, r.Share)
	}
	return c.submit(ctx, &c.targetOptions, revision, rollOutChange(next))
}

type rollOutHaltCommand struct {
	targetOptions
	changeOptions
	modelOptions
	Reason string `long:"reason" description:"reason for the audit trail"`
}

// Execute implements flags.Commander. It halts a rollout: no new session gets the version.
func (c *rollOutHaltCommand) Execute([]string) error {
	ctx := context.Background()
	r, _, revision, err := c.findRollOut(ctx, c.Model)
	if err != nil {
		return err
	}
	r.State, r.Reason = catalog.RollOutHalted, c.Reason
	return c.submit(ctx, &c.targetOptions, revision, rollOutChange(r))
}

type rollOutResumeCommand struct {
	targetOptions
	changeOptions
	modelOptions
}

// Execute implements flags.Commander. It resumes a halted rollout at the share where it was halted.
func (c *rollOutResumeCommand) Execute([]string) error {
	ctx := context.Background()
	r, _, revision, err := c.findRollOut(ctx, c.Model)
	if err != nil {
		return err
	}
	if r.State != catalog.RollOutHalted {
		return fmt.Errorf("the roll-out of %s/%s is %s, not halted", r.Model, r.Version, r.State)
	}
	now := time.Now().Unix()
	// StartedAt must differ from that of the halted run, so that no evidence of it is counted.
	r.State, r.Reason, r.StepAt, r.StartedAt = catalog.RollOutRunning, "", now, max(now, r.StartedAt+1)
	return c.submit(ctx, &c.targetOptions, revision, rollOutChange(r))
}

type rollOutStatusCommand struct{ targetOptions }

// Execute implements flags.Commander. It prints the rollouts in the VM's status as indented JSON.
func (c *rollOutStatusCommand) Execute([]string) error {
	s, err := c.status(context.Background())
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(s.RollOuts)
}

// status fetches and decodes the VM's status, for `cornelmux rollout status` and waitUntilConfirmed.
func (t *targetOptions) status(ctx context.Context) (entry.Status, error) {
	var s entry.Status
	client, err := t.newClient()
	if err != nil {
		return s, err
	}
	r, err := client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return s, toCallError(err)
	}
	return s, json.Unmarshal(r.Status, &s)
}

// waitUntilConfirmed polls the VM's status until every availability zone confirms the revision.
// After wait it fails and lists the zones that have not confirmed; withdraw calls it.
func (t *targetOptions) waitUntilConfirmed(ctx context.Context, revision uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		s, err := t.status(ctx)
		if err != nil {
			return err
		}
		var unconfirmed []string
		for _, z := range s.Zones {
			if !z.Confirms(revision) {
				unconfirmed = append(unconfirmed, fmt.Sprintf("%s (revision %d, %d of %d VMs unreachable)", z.Zone, z.Revision, z.Unreachable, z.VMs))
			}
		}
		if len(unconfirmed) == 0 {
			fmt.Fprintf(os.Stderr, "revision %d is in force in all %d availability zone(s)\n", revision, len(s.Zones))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is accepted, but not confirmed within %s by availability zones: %s", revision, wait, strings.Join(unconfirmed, ", "))
		}
		task.Sleep(ctx, confirmPollInterval)
	}
}

type auditCommand struct {
	targetOptions
	outputOptions
	After uint64 `long:"after" description:"print only changes after this revision"`
}

// Execute implements flags.Commander. It prints the records of accepted changes, oldest first.
func (c *auditCommand) Execute([]string) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	r, err := client.Audit(context.Background(), &wire.AuditRequest{AfterRevision: c.After})
	if err != nil {
		return toCallError(err)
	}
	for _, data := range r.Records {
		if c.Output == "json" {
			fmt.Println(string(data))
			continue
		}
		var record audit.Record
		if err := json.Unmarshal(data, &record); err != nil {
			return fmt.Errorf("audit record: %w", err)
		}
		printRecord(record)
	}
	return nil
}

// printRecord prints an accepted change and the old and new value of each object in it.
func printRecord(r audit.Record) {
	at := time.Unix(r.UnixTime, 0).UTC().Format(time.RFC3339)
	fmt.Printf("%d -> %d %s %s change %s\n", r.BeforeRevision, r.Revision, at, r.Author, r.ChangeID)
	for _, o := range r.Objects {
		fmt.Printf("  %s %s -> %s\n", o.Name, formatValue(o.Before, o.BeforeDigest), formatValue(o.After, o.AfterDigest))
	}
}

// formatValue returns an object's value for printRecord, or its digest if the record leaves the value out.
// An object without a digest doesn't exist at that revision.
func formatValue(value json.RawMessage, digest string) string {
	switch {
	case digest == "":
		return "none"
	case len(value) == 0:
		return "digest " + digest
	default:
		return string(value)
	}
}
