package main

import (
	"context"
	"fmt"

	"cornelmux/internal/wire"
)

type billsCommand struct {
	target
	Account string `long:"account" description:"client account; all of them if empty"`
}

// Execute implements flags.Commander. It prints one JSON object a line and changes nothing, so that it may be repeated.
func (c *billsCommand) Execute([]string) error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	r, err := client.Bills(context.Background(), &wire.BillsRequest{Account: c.Account})
	if err != nil {
		return explain(err)
	}
	for _, b := range r.Bills {
		fmt.Println(string(b))
	}
	return nil
}
