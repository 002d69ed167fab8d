// Command cornelmux is the router (`cornelmux serve`) and the operators' tool.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

const version = "0.1.0"

type commands struct {
	Serve   serveCommand   `command:"serve" description:"run an entry VM"`
	Check   checkCommand   `command:"check" description:"check settings or a configuration"`
	Apply   applyCommand   `command:"apply" description:"submit a configuration"`
	Get     getCommand     `command:"get" description:"print the configuration in force"`
	Diff    diffCommand    `command:"diff" description:"print what apply would change"`
	Status  statusCommand  `command:"status" description:"print a VM's status"`
	Bills   billsCommand   `command:"bills" description:"print what requests cost, a bill for each request ID"`
	Version versionCommand `command:"version" description:"print the version"`

	Withdraw  withdrawCommand  `command:"withdraw" description:"take a version out of service"`
	Order     orderCommand     `command:"order" description:"have an endpoint load or unload a version or change its role"`
	Reinstate reinstateCommand `command:"reinstate" description:"bring a withdrawn version back"`
}

func main() {
	parser := flags.NewParser(&commands{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		var e *flags.Error
		if errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
