// Command tsagaan_lavra prints the configuration of Tsagaan Lavra Reminders as JSON, for the demo: demo/run.sh applies it.
package main

import (
	"fmt"
	"os"

	"cornelmux/pkg/catalog"
)

// parishKey is the API key of the demo. The office generates a real one, which never appears in code.
const parishKey = "parish-demo-key"

// main builds the configuration, checks it and prints it to standard output.
func main() {
	composer := catalog.Model{Name: "composer", Stable: "v1", Versions: []catalog.Version{
		{Name: "v1", CostPerThousandTokens: 0.4},
		{Name: "v2", CostPerThousandTokens: 0.4},
	}}
	cheap := catalog.Model{Name: "cheap", Stable: "v1", Versions: []catalog.Version{{Name: "v1", CostPerThousandTokens: 0.1}}}
	reminders := catalog.Service{Name: "reminders", Routes: []catalog.Route{
		{Method: "POST", Path: "/send"},
		{Method: "GET", Path: "/calendar", Idempotent: true},
	}}
	draft := catalog.Cascade{
		Name: "draft", QualityTarget: 0.8,
		Levels: []catalog.Level{{Model: "cheap"}, {Model: "composer"}},
	}
	parish := catalog.ClientAccount{
		Name: "parish", KeyHash: catalog.HashKey(parishKey), HomeRegion: "ulaanbaatar",
		Grants:    []catalog.Grant{{Model: "composer"}, {Model: "cheap"}},
		Cascades:  []string{"draft"},
		Services:  []string{"reminders"},
		RequestID: catalog.Source{Place: catalog.PlaceHeader, Name: "Idempotency-Key"},
		Session:   catalog.Source{Place: catalog.PlaceHeader, Name: "X-Session-Id"},
		// Chat requests only draft texts, so they may be retried. Reminders go through the service, whose /send route
		// is not idempotent.
		ChatIdempotent: true,
	}
	cfg := catalog.Configuration{
		Accounts: []catalog.ClientAccount{parish},
		Models:   []catalog.Model{composer, cheap},
		Cascades: []catalog.Cascade{draft},
		Services: []catalog.Service{reminders},
	}
	if err := cfg.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if err := cfg.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
