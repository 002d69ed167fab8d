// Command fjordmeieri prints the configuration of Fjordmeieri Systemhus as JSON, an example for operators to adapt. It is run
// by hand; no test or script uses it.
package main

import (
	"fmt"
	"os"

	"cornelmux/pkg/catalog"
)

// salesKey is the API key of this example. The customer generates a real one, which never appears in code.
const salesKey = "sales-desk-demo-key"

// main builds the configuration, checks it and prints it to standard output. Share and Steps are shares of sessions, 0 to 1,
// and Burst is a number of requests.
func main() {
	summary := catalog.Model{Name: "summary", Stable: "v3", Versions: []catalog.Version{
		{Name: "v3", CostPerThousandTokens: 0.2},
		{Name: "v4", CostPerThousandTokens: 0.2},
	}}
	strong := catalog.Model{Name: "strong", Stable: "v1", Versions: []catalog.Version{{Name: "v1", CostPerThousandTokens: 2}}}
	contracts := catalog.Cascade{
		Name: "contracts", QualityTarget: 0.85, AllowUnrated: true,
		Levels: []catalog.Level{{Model: "summary"}, {Model: "strong"}},
	}
	orders := catalog.Service{Name: "orders", Routes: []catalog.Route{
		{Method: "GET", Path: "/stock", Idempotent: true},
		{Method: "POST", Path: "/bookings"},
	}}
	desk := catalog.ClientAccount{
		Name: "sales_desk", KeyHash: catalog.HashKey(salesKey), HomeRegion: "vest",
		Grants:   []catalog.Grant{{Model: "summary"}, {Model: "strong"}},
		Cascades: []string{"contracts"},
		Services: []string{"orders"},
		// The devices of the sales desks send the request ID and the session as fields of the body, and their software can't be
		// changed.
		RequestID:         catalog.Source{Place: catalog.PlaceField, Name: "order_id"},
		Session:           catalog.Source{Place: catalog.PlaceField, Name: "driver"},
		RequestsPerSecond: 50,
		Burst:             100,
		CrossRegion:       true,
		ChatIdempotent:    true,
	}
	rollOut := catalog.RollOut{
		Model: "summary", Version: "v4", Share: 0.05, State: catalog.RollOutRunning,
		Steps: []float64{0.05, 0.25, 1}, StepSeconds: 600,
	}
	cfg := catalog.Configuration{
		Accounts: []catalog.ClientAccount{desk},
		Models:   []catalog.Model{summary, strong},
		Cascades: []catalog.Cascade{contracts},
		Services: []catalog.Service{orders},
		RollOuts: []catalog.RollOut{rollOut},
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
