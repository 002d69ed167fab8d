//go:build review

// Command standin plays one case of the review: it starts the store, the runners and the clients as stand-ins, and the VMs as
// processes of the program that the deploy file builds. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. trouble says that the disruption is played.
var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) (verdict, error){
	"model": playModel, "leaving": playLeaving, "upload": playUpload, "prompt": playPrompt, "pause": playPause,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	name, folder := os.Args[1], os.Args[2]
	temp, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temp)
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption played: %v", name, trouble)
	f := newFleet(ctx, rec, temp)
	v, err := cases[name](ctx, f, trouble)
	cancel()
	f.stopAll()
	if err == nil && os.Getenv("KEEP_LOGS") != "" {
		for _, m := range f.vms {
			if data, err := os.ReadFile(filepath.Join(temp, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), m.name+".log"), data, 0o600)
			}
		}
	}
	switch {
	case err != nil:
		rec.line("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case v.broken:
		rec.line("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return 1
	default:
		rec.line("held: %s", v.text)
		fmt.Println("held:", v.text)
		return 0
	}
}

// route is a route of the configuration.
func route(name, kind, service string, timeout, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": 250,
		"priority": 2, "service": service, "max_attempts": attempts, "allow_anonymous": false,
	}
	if kind == "streaming" {
		r["target_latency_ms"], r["session_affinity"], r["resume_streams"], r["gap_target_ms"] = 2000, true, true, 800
	}
	return r
}

// models are the models of the model service, smallest first.
var models = []string{"small", "middle", "large"}

// configure writes the operator's configuration: a model service and a plain one.
func (f *fleet) configure() {
	streaming := route("chat", "streaming", "models", 8000, 3)
	streaming["sizes"] = models
	f.store.put(wire.Configuration, map[string]any{
		"version": 7,
		"routes": []any{
			streaming, route("book", "unsafe", "app", 1200, 1), route("read", "safe", "app", 1200, 2),
			route("document", "unsafe", "app", 8000, 1),
		},
		"services": []any{
			map[string]any{
				"name": "models", "health_check_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, wire.CacheTokens: 563950, "stride": 4,
					"models": []any{
						map[string]any{"name": "small", "cost": 0.018}, map[string]any{"name": "middle", "cost": 0.14}, map[string]any{"name": "large", "cost": 0.27},
					},
				},
			},
			map[string]any{"name": "app", "health_check_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "one", "api_keys": []string{key}, "priority": 1}},
	})
}

// maxBodyBytes is max_body_bytes of the small deployments.
const maxBodyBytes = 4 << 20

// addRunners starts the runners of both services, models in the first.
func (f *fleet) addRunners(ctx context.Context, modelRunners, appRunners int) (list []*runner, err error) {
	for i := range modelRunners + appRunners {
		n := &runner{id: fmt.Sprintf("i-%d", i+1), zone: string(rune('a' + i%3)), rec: f.rec, store: f.store}
		n.service, n.models, n.slots = "models", models, 64
		if i >= modelRunners {
			n.service, n.models, n.slots, n.work = "app", nil, 6, 100*time.Millisecond
		}
		if err := startRunner(ctx, n); err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	return list, nil
}

// begin starts the VMs, one in each of the zones, and waits until they are ready.
func (f *fleet) begin(ctx context.Context, zones ...string) error {
	for i, zone := range zones {
		if _, err := f.addVM(ctx, fmt.Sprintf("frontend-%s-%d", zone, i+1), zone, i+1); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if err := f.waitReady(v); err != nil {
			return err
		}
	}
	return nil
}
