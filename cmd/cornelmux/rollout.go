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

const confirmInterval = 500 * time.Millisecond

type rollOutCommands struct {
	Start  rollOutStartCommand  `command:"start" description:"begin to move sessions to a version"`
	Step   rollOutStepCommand   `command:"step" description:"take the next step now"`
	Halt   rollOutHaltCommand   `command:"halt" description:"give no new session the version; bound sessions stay, withdraw moves them"`
	Resume rollOutResumeCommand `command:"resume" description:"lift a halt, with evidence counted anew"`
	Status rollOutStatusCommand `command:"status" description:"print each roll-out and its evidence"`
}

// modelArgs names a model.
type modelArgs struct {
	Model string `long:"model" required:"true" description:"model"`
}

// find returns the model's roll-out in the configuration in force.
func (t *target) find(ctx context.Context, model string) (catalog.RollOut, catalog.Configuration, uint64, error) {
	cfg, revision, err := t.current(ctx)
	if err != nil {
		return catalog.RollOut{}, cfg, 0, err
	}
	r, ok := cfg.FindRollOut(model)
	if !ok {
		return r, cfg, revision, fmt.Errorf("model %s has no roll-out; begin one with: cornelmux rollout start", model)
	}
	return r, cfg, revision, nil
}

func setRollOut(r catalog.RollOut) catalog.Change {
	return catalog.Change{Set: catalog.Configuration{RollOuts: []catalog.RollOut{r}}}
}

type rollOutStartCommand struct {
	target
	change
	versionArgs
	Steps       []float64 `long:"step" default:"0.01" default:"0.05" default:"0.25" default:"1" description:"shares of sessions to go through; repeat the option"`
	StepSeconds int       `long:"step-seconds" default:"600" description:"seconds at each step; 0 takes steps only by command"`
}

// Execute implements flags.Commander.
func (c *rollOutStartCommand) Execute([]string) error {
	ctx := context.Background()
	cfg, revision, err := c.current(ctx)
	if err != nil {
		return err
	}
	now := time.Now().Unix()
	ch := setRollOut(catalog.RollOut{
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
	return c.submit(ctx, &c.target, revision, ch)
}

type rollOutStepCommand struct {
	target
	change
	modelArgs
}

// Execute implements flags.Commander.
func (c *rollOutStepCommand) Execute([]string) error {
	ctx := context.Background()
	r, _, revision, err := c.find(ctx, c.Model)
	if err != nil {
		return err
	}
	next, ok := rollout.Advance(r, time.Now())
	if !ok {
		return fmt.Errorf("the roll-out of %s/%s is %s at share %g and has no further step", r.Model, r.Version, r.State, r.Share)
	}
	return c.submit(ctx, &c.target, revision, setRollOut(next))
}

type rollOutHaltCommand struct {
	target
	change
	modelArgs
	Reason string `long:"reason" description:"reason for the audit trail"`
}

// Execute implements flags.Commander.
func (c *rollOutHaltCommand) Execute([]string) error {
	ctx := context.Background()
	r, _, revision, err := c.find(ctx, c.Model)
	if err != nil {
		return err
	}
	r.State, r.Reason = catalog.RollOutHalted, c.Reason
	return c.submit(ctx, &c.target, revision, setRollOut(r))
}

type rollOutResumeCommand struct {
	target
	change
	modelArgs
}

// Execute implements flags.Commander.
func (c *rollOutResumeCommand) Execute([]string) error {
	ctx := context.Background()
	r, _, revision, err := c.find(ctx, c.Model)
	if err != nil {
		return err
	}
	if r.State != catalog.RollOutHalted {
		return fmt.Errorf("the roll-out of %s/%s is %s, not halted", r.Model, r.Version, r.State)
	}
	now := time.Now().Unix()
	r.State, r.Reason, r.StepAt, r.StartedAt = catalog.RollOutRunning, "", now, max(now, r.StartedAt+1)
	return c.submit(ctx, &c.target, revision, setRollOut(r))
}

type rollOutStatusCommand struct{ target }

// Execute implements flags.Commander.
func (c *rollOutStatusCommand) Execute([]string) error {
	s, err := c.status(context.Background())
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(s.RollOuts)
}

func (t *target) status(ctx context.Context) (entry.Status, error) {
	var s entry.Status
	client, err := t.dial()
	if err != nil {
		return s, err
	}
	r, err := client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return s, explain(err)
	}
	return s, json.Unmarshal(r.Status, &s)
}

// confirm waits until every availability zone holds the revision, and names those that are not known to.
func (t *target) confirm(ctx context.Context, revision uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		s, err := t.status(ctx)
		if err != nil {
			return err
		}
		var open []string
		for _, z := range s.Zones {
			if !z.Confirms(revision) {
				open = append(open, fmt.Sprintf("%s (revision %d, %d of %d VMs unreachable)", z.Zone, z.Revision, z.Unreachable, z.VMs))
			}
		}
		if len(open) == 0 {
			fmt.Fprintf(os.Stderr, "revision %d is in force in all %d availability zone(s)\n", revision, len(s.Zones))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is accepted, but not confirmed within %s by availability zones: %s", revision, wait, strings.Join(open, ", "))
		}
		task.Sleep(ctx, confirmInterval)
	}
}

type auditCommand struct {
	target
	output
	After uint64 `long:"after" description:"print only changes after this revision"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	r, err := client.Audit(context.Background(), &wire.AuditRequest{AfterRevision: c.After})
	if err != nil {
		return explain(err)
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

func printRecord(r audit.Record) {
	at := time.Unix(r.UnixTime, 0).UTC().Format(time.RFC3339)
	fmt.Printf("%d -> %d %s %s change %s\n", r.BeforeRevision, r.Revision, at, r.Author, r.ChangeID)
	for _, o := range r.Objects {
		fmt.Printf("  %s %s -> %s\n", o.Name, shown(o.Before, o.BeforeDigest), shown(o.After, o.AfterDigest))
	}
}

// shown returns a value, or its digest where the record holds no value.
func shown(value json.RawMessage, digest string) string {
	switch {
	case digest == "":
		return "none"
	case len(value) == 0:
		return "digest " + digest
	default:
		return string(value)
	}
}
