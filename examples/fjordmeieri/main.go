// Command fjordmeieri prints the configuration of Fjordmeieri Systemhus.
package main

import (
	"fmt"
	"os"

	"cornelmux/pkg/catalog"
)

// salesKey is the example's key; a real one is made by the customer and never stands in code.
const salesKey = "sales-desk-demo-key"

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
		// The desks' devices put both values into the body and can't be changed.
		RequestID:         catalog.Source{Place: catalog.PlaceField, Name: "order_id"},
		Session:           catalog.Source{Place: catalog.PlaceField, Name: "driver"},
		RequestsPerSecond: 50,
		Burst:             100,
		CrossRegion:       true,
		ChatIdempotent:    true,
	}
	rolling := catalog.RollOut{
		Model: "summary", Version: "v4", Share: 0.05, State: catalog.RollOutRunning,
		Steps: []float64{0.05, 0.25, 1}, StepSeconds: 600,
	}
	cfg := catalog.Configuration{
		Accounts: []catalog.ClientAccount{desk},
		Models:   []catalog.Model{summary, strong},
		Cascades: []catalog.Cascade{contracts},
		Services: []catalog.Service{orders},
		RollOuts: []catalog.RollOut{rolling},
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
