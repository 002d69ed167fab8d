// Package routing holds the table that sends requests to services: routes, services, client accounts and limits.
// All of it is plain data; a Table is never changed once it is built.
package routing

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The values of Kind.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests are answered by events, and may be resumed only where the route says so.
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
	Weight  int
}

// Route says where the requests of a host and path go, and how.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is kept waiting; 0 sets none.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is worth most.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that is still on time.
	MaxGap time.Duration
	// Priority is the rank; 0 is first.
	Priority int
	// Cascade lists the models that the router may choose from, cheapest first; it is empty where the caller names one.
	Cascade []string
	Targets []Target
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Anonymous lets requests without a key through.
	Anonymous bool
	// Resumable streams may go on at another endpoint after their last whole event.
	Resumable bool
}

// Idempotent reports whether a request of the route may be sent again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the engine's memory for prompts and answers, in tokens.
	CacheTokens int
	// TokensPerEvent is how many tokens an event of a stream holds; 0 is unknown.
	TokensPerEvent int
	// Models lists the models that the engines run, with their price.
	Models []Model
}

// Model is a model and its price for 1,000 generated tokens.
type Model struct {
	Name string
	Cost float64
}

// Service is a group of like endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint from all VMs together.
	MaxConnections int
	// Engine is set where the endpoints are model engines.
	Engine Engine
}

// minWeight is what a run of the cheapest model takes at least of an engine.
const minWeight = 0.15

// Weight estimates how much of an engine a run of the model takes, by the dearest model's; 1 where nothing is known.
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
	// Priority goes before the route's where Ranked is true.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the whole configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost   map[string][]*Route
	byKey    map[string]*Account
	services map[string]*Service
}

// Index prepares the table for look-ups and returns it. It is called once, before the table is shared.
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

// Match returns the route of the host with the longest prefix that begins path, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Account returns the client account that holds the key, or nil.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the target that a draw from 0 up to 1 falls on; targets without weight get nothing.
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
