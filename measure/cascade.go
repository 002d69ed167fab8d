package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"cornelmux/internal/cascade"
	"cornelmux/internal/task"
)

const (
	// cascadeAccounts is the number of client accounts, cascadeRounds that of timed requests of each account.
	cascadeAccounts = 10_000
	cascadeRounds   = 10
)

// measureCascade measures the cascade controller: its state for each client account and its time for each request.
func measureCascade() ([]Line, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends := make(chan task.End, 1)
	c := cascade.New(nil, nil, costSeed, logr.Discard())
	task.Start(ctx, "cascades", ends, c.Run)
	before := liveHeap()
	if err := planAll(ctx, c); err != nil {
		return nil, err
	}
	stateBytes := float64(liveHeap()-before) / cascadeAccounts
	start := time.Now()
	for range cascadeRounds {
		if err := planAll(ctx, c); err != nil {
			return nil, err
		}
	}
	micros := float64(time.Since(start).Nanoseconds()) / (cascadeRounds * cascadeAccounts) / 1000
	return []Line{
		{"cascade_state_per_account", stateBytes, "bytes", "none"},
		{"cascade_messages_per_request", 2, "messages", "none"},
		{"cascade_time_per_request", micros, "us", "< 20"},
	}, task.Stop(cancel, ends, 1)
}

// planAll plans one request of each client account and reports its outcome. measureCascade calls it once before the timed
// rounds and once in each.
func planAll(ctx context.Context, c *cascade.Controller) error {
	for i := range cascadeAccounts {
		key := cascade.Key{Account: fmt.Sprintf("account-%d", i), Cascade: "draft"}
		levels := make([]cascade.Level, len(costPrices))
		for l, price := range costPrices {
			levels[l] = cascade.Level{Model: "composer", Usable: true, Price: price}
		}
		if _, err := c.Plan(ctx, cascade.Query{Key: key, Levels: levels, Idempotent: true}); err != nil {
			return err
		}
		if err := c.Observe(cascade.Outcome{Key: key, Model: "composer", Tokens: costTokensPerAnswer}); err != nil {
			return err
		}
	}
	return nil
}
