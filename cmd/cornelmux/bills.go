package main

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"cornelmux/internal/wire"
)

const positionsFileMode = 0o600 // only the owner reads and writes it

type billsCommand struct {
	targetOptions
	Account   string `long:"account" description:"client account; all of them if empty"`
	Positions string `long:"positions" description:"file to write what was read to, for --drained"`
	Drained   string `long:"drained" description:"file that --positions wrote; its bills were stored and are dropped"`
}

// Execute implements flags.Commander. It prints each bill as one line of JSON.
// With --drained it instead has the VM drop the bills up to the positions in that file; an empty file drops none.
func (c *billsCommand) Execute([]string) error {
	request := &wire.BillsRequest{Account: c.Account}
	if c.Account != "" && c.Positions != "" {
		return fmt.Errorf("--positions takes the bills of all client accounts; leave --account out")
	}
	if c.Drained != "" {
		data, err := os.ReadFile(c.Drained)
		if err != nil {
			return err
		}
		if request.Drained = bytes.Split(bytes.TrimSpace(data), []byte{'\n'}); len(request.Drained[0]) == 0 {
			return nil
		}
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	r, err := client.Bills(context.Background(), request)
	if err != nil {
		return toCallError(err)
	}
	for _, b := range r.Bills {
		fmt.Println(string(b))
	}
	if c.Positions == "" {
		return nil
	}
	return os.WriteFile(c.Positions, append(bytes.Join(r.Read, []byte{'\n'}), '\n'), positionsFileMode)
}
