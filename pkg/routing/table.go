// Package routing holds the route table: routes, services, client accounts and limits.
// All of it is plain data; a Table must not be changed after Index.
package routing

import (
	"strings"
	"time"
)

// Kind is how a request may be retried and answered.
type Kind int

// The values of Kind.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests must run at most once.
	KindNonIdempotent
	// KindStream requests are answered by a stream of events, which may be resumed only if the route allows it.
	KindStream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindNonIdempotent:
		return "once"
	case KindStream:
		return "stream"
	default:
		return "unknown"
	}
}

// Target is one service of a route and its share of the traffic.
type Target struct {
	Service string
	// Weight divided by the sum of the targets' weights is the share of the route's requests that go to Service.
	Weight int
}

// Route defines where the requests of a host and path prefix go, and how they are handled.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout bounds the whole request; 0 means no timeout.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, should begin; 0 means none.
	Objective time.Duration
	// MaxGap is the longest time between two events of a stream that still counts as on time.
	MaxGap time.Duration
	// Priority is the default for client accounts without their own; 0 goes first, unlike the priorities of package
	// catalog, where a greater number does.
	Priority int
	// Cascade lists the models that the router may choose from, cheapest first; empty if the caller names the model.
	Cascade []string
	Targets []Target
	// MaxAttempts is the maximum number of placements of one request.
	MaxAttempts int
	// Anonymous permits requests without a known key.
	Anonymous bool
	// Homes holds the regions in which the route's requests may be served.
	Homes Regions
	// Resumable reports that a stream may continue at another endpoint after its last whole event.
	Resumable bool
}

// Idempotent reports whether a request of the route may be sent again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the size of an engine's cache for prompts and answers, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream; 0 if unknown.
	TokensPerEvent int
	// Models lists the models that the engines run.
	Models []Model
}

// Model is a model and its cost for 1,000 generated tokens; only the ratio of two costs is used.
type Model struct {
	Name string
	// Cost is the cost of 1,000 generated tokens; 0 means unknown.
	Cost float64
}

// Service is a group of equivalent endpoints.
type Service struct {
	Name string
	// MaxConnections is the configured bound on the connections to one endpoint from all VMs together. Nothing enforces
	// it.
	MaxConnections int
	// Engine is set if the endpoints are model engines.
	Engine Engine
	// ColdTime is how long an endpoint is cold after it started. ColdRate is how many requests a second a cold endpoint takes
	// from all VMs together; 0 means that its endpoints don't start cold.
	ColdTime time.Duration
	ColdRate float64
}

// minWeight is the least share of an engine, 0 to 1, that a run takes, however cheap its model.
const minWeight = 0.15

// Weight estimates the share of an engine, from minWeight to 1, that a run of the model takes: its cost divided by that
// of the engine's most expensive model, or 1 if either cost is unknown. Filter Forward calls it to place a run and to
// report its end.
func (e *Engine) Weight(model string) float64 {
	var most, cost float64
	for _, m := range e.Models {
		most = max(most, m.Cost)
		if m.Name == model {
			cost = m.Cost
		}
	}
	if most <= 0 || cost <= 0 {
		return 1
	}
	return max(cost/most, minWeight)
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes holds the regions in which the account's requests may be served.
	Homes Regions
}

// Limits bounds the requests of callers. Sizes are in bytes. Only BodyBytes is applied, by filter Route; 0 stands for
// the filter's default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the route table.
type Table struct {
	// Version is the number of the configuration.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost   map[string][]*Route
	byKey    map[string]*Account
	services map[string]*Service
}

// Index builds the lookup maps and returns the table. Whoever makes a table must call it once, before the table is
// shared: package platform does so for each configuration that it decodes.
func (t *Table) Index() *Table {
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	t.byKey = map[string]*Account{}
	for i := range t.Accounts {
		for _, k := range t.Accounts[i].Keys {
			t.byKey[k] = &t.Accounts[i]
		}
	}
	t.services = map[string]*Service{}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil. Filter Route calls it for each request.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Account returns the client account with the key, or nil.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service of the target at draw, which is in [0, 1). Targets without weight are never picked; without
// any weight it returns "". Filter Route calls it with a random number for each request.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		at -= float64(max(t.Weight, 0))
		if at < 0 {
			return t.Service
		}
	}
	return ""
}
