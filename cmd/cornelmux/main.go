// Command cornelmux runs an entry VM (`cornelmux serve`, `cornelmux platform`) and is the operators' command line client.
package main

import (
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

// version is printed by `cornelmux version`.
const version = "0.1.0"

// commands declares the subcommands; go-flags reads them from the struct tags.
type commands struct {
	Serve    serveCommand    `command:"serve" description:"run an entry VM"`
	Platform platformCommand `command:"platform" description:"run an entry VM on the users' platform"`
	Check    checkCommand    `command:"check" description:"check settings or a configuration"`
	Apply    applyCommand    `command:"apply" description:"submit a configuration"`
	Get      getCommand      `command:"get" description:"print the configuration in force"`
	Diff     diffCommand     `command:"diff" description:"print what apply would change"`
	Status   statusCommand   `command:"status" description:"print a VM's status"`
	Bills    billsCommand    `command:"bills" description:"print what requests cost, a bill for each request ID"`
	Version  versionCommand  `command:"version" description:"print the version"`
	Keygen   keygenCommand   `command:"keygen" description:"make a key file for operators or entry VMs"`
	Docs     docsCommand     `command:"docs" hidden:"true" description:"print a reference page"`

	Withdraw  withdrawCommand  `command:"withdraw" description:"take a version out of service"`
	Order     orderCommand     `command:"order" description:"have an endpoint load or unload a version or change its role"`
	Reinstate reinstateCommand `command:"reinstate" description:"bring a withdrawn version back"`
	RollOut   rollOutCommands  `command:"rollout" description:"start, step, halt, resume or show a roll-out"`
	Audit     auditCommand     `command:"audit" description:"print the trail of accepted changes"`
}

// about is shown by `cornelmux --help`.
const about = `cornelmux routes requests of callers to model and service endpoints, and is the operators' tool for it.

Completion in bash: complete -F _cornelmux cornelmux, where
  _cornelmux() { COMPREPLY=($(GO_FLAGS_COMPLETION=1 ${COMP_WORDS[0]} "${COMP_WORDS[@]:1:$COMP_CWORD}")); }

Exit codes: 0 done; 1 failed; 2 wrong use; 3 conflict with another change; 4 VM or platform not reached.`

// examples holds the example that each command's help shows, by the command's name.
var examples = map[string]string{
	"serve":     "cornelmux serve --settings vm1.ini",
	"platform":  "CORNELMUX_SETTINGS=/etc/cornelmux/boot.conf cornelmux platform",
	"check":     "cornelmux check --settings vm1.ini\ncornelmux check --configuration site.json --output json",
	"apply":     "site | cornelmux apply --address 10.0.0.1:8081 --key-file operator.key",
	"get":       "cornelmux get --address 10.0.0.1:8081 --key-file operator.key > site.json",
	"diff":      "site | cornelmux diff --address 10.0.0.1:8081 --key-file operator.key",
	"status":    "cornelmux status --address 10.0.0.1:8081 --key-file operator.key",
	"bills":     "cornelmux bills --address 10.0.0.1:8081 --key-file operator.key --account parish",
	"withdraw":  "cornelmux withdraw --address 10.0.0.1:8081 --key-file operator.key --model composer --version v2 --reason 'wrong date'",
	"reinstate": "cornelmux reinstate --address 10.0.0.1:8081 --key-file operator.key --model composer --version v2",
	"rollout":   "cornelmux rollout start --address 10.0.0.1:8081 --key-file operator.key --model composer --version v2 --step 0.01 --step 1",
	"order":     "cornelmux order --address 10.0.0.1:8081 --key-file operator.key --kind load --endpoint engine-1 --version composer/v2",
	"audit":     "cornelmux audit --address 10.0.0.1:8081 --key-file operator.key --after 40 --output json",
	"keygen":    "cornelmux keygen --file fleet.key",
}

// newParser returns the command line parser and adds the examples to the help of the commands. main calls it.
func newParser() *flags.Parser {
	parser := flags.NewNamedParser("cornelmux", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	if _, err := parser.AddGroup("Commands", "", &commands{}); err != nil {
		panic(err) // malformed struct tag in commands: it would fail every run
	}
	for _, c := range parser.Commands() {
		if example, ok := examples[c.Name]; ok {
			c.LongDescription = c.ShortDescription + "\n\nExample:\n  " + strings.ReplaceAll(example, "\n", "\n  ")
		}
	}
	return parser
}

func main() {
	_, err := newParser().Parse()
	os.Exit(report(os.Stdout, os.Stderr, err))
}
