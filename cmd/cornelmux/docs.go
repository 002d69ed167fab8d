package main

import (
	"fmt"
	"strings"

	"cornelmux/internal/settings"
	"cornelmux/pkg/result"
)

type docsCommand struct {
	Page string `long:"page" required:"true" choice:"settings" choice:"result_codes" description:"page to print"`
}

// Execute implements flags.Commander. It prints the requested page.
func (c *docsCommand) Execute([]string) error {
	fmt.Print(pages[c.Page]())
	return nil
}

// pages maps the name of a documentation page to the function that generates it.
var pages = map[string]func() string{"settings": settingsPage, "result_codes": resultCodesPage}

// settingsPage lists all settings, with units and defaults, from the tables of package settings. Execute prints it.
func settingsPage() string {
	var b strings.Builder
	b.WriteString(`# Settings

Made by ` + "`cornelmux docs --page settings`" + `; a test compares it with the code.

An entry VM reads one INI file: ` + "`cornelmux serve --settings FILE`" + `; ` + "`cornelmux check --settings FILE`" + ` only checks it. Unknown
sections and keys, keys set twice, malformed values and values that clash are refused, each with file, line and key.
A value is taken as it stands: no references to other keys, no continued lines; a comment begins with # or ; after a space.
Keys stand in files of their own; ` + "`cornelmux keygen --file FILE`" + ` makes one.
`)
	section := ""
	for _, o := range settings.Options() {
		if o.Section != section {
			section = o.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		defaultText := o.Default
		switch {
		case o.Required:
			defaultText = "(required)"
		case defaultText == "":
			defaultText = "(none)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", o.Key, o.Unit, defaultText, o.Help)
	}
	b.WriteString("\n## Between keys\n\n")
	for _, r := range settings.Rules() {
		fmt.Fprintf(&b, "- %s: otherwise %s.\n", r.Text, r.Reason)
	}
	return b.String()
}

// resultCodesPage lists the result codes, from package result, and the exit codes of the commands. Execute prints
// it.
func resultCodesPage() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Made by ` + "`cornelmux docs --page result_codes`" + `; a test compares it with the code.

Every refusal or failure holds ` + "`error.code`, `error.name`, `error.message` and `error.run`" + `. The field ` + "`run`" + ` says whether
the work was done: ` + "`not_run`" + ` (nothing was sent to an endpoint), ` + "`unknown`" + ` (it may have been) or ` + "`ran`" + `. 1xxx are faults of
the request, 2xxx refusals of policy, 3xxx shortages, 4xxx failures after a send, 5xxx configuration, 9xxx faults of
the system.

| code | name | HTTP status | run | meaning |
| --- | --- | --- | --- | --- |
`)
	for _, e := range result.Table {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", e.Code, e.Name, e.Status, e.Run, e.Meaning)
	}
	b.WriteString("\n## Exit codes of the command line\n\n| code | meaning |\n| --- | --- |\n")
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&b, "| %d | %s |\n", code, meaning)
	}
	return b.String()
}

// exitMeanings describes the exit codes; the index is the code.
var exitMeanings = []string{
	exitDone:        "done",
	exitFailed:      "failed; the message says why",
	exitUsage:       "wrong use of the command",
	exitConflict:    "another change of the same object came first",
	exitUnreachable: "the VM or the platform was not reached; a change may have been accepted, so repeat it under the same ID",
}
