package main

import (
	"context"
	"fmt"

	"cornelmux/internal/wire"
)

// orderCommand has an endpoint load or unload a version or change its role.
type orderCommand struct {
	targetOptions
	outputOptions
	Kind     string `long:"kind" required:"true" choice:"load" choice:"unload" choice:"role" description:"what the endpoint is to do"`
	Endpoint string `long:"endpoint" required:"true" description:"endpoint's ID in the platform's list"`
	Version  string `long:"version" description:"model/version to load or unload"`
	Role     string `long:"role" description:"role to take"`
}

// Execute implements flags.Commander. It returns as soon as the order is recorded, before the endpoint has executed it.
func (c *orderCommand) Execute([]string) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	r, err := client.Order(context.Background(), &wire.OrderRequest{Kind: c.Kind, Endpoint: c.Endpoint, Version: c.Version, Role: c.Role})
	if err != nil {
		return toCallError(err)
	}
	text := fmt.Sprintf("order recorded with fencing number %d; `cornelmux status` shows when the endpoint has done it", r.Fence)
	return c.print(orderResult{c.Endpoint, r.Fence}, text)
}

// orderResult is the JSON output of the order command.
type orderResult struct {
	Endpoint string `json:"endpoint"`
	// Fence is the order's fencing number.
	Fence uint64 `json:"fence"`
}
