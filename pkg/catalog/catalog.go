// Package catalog is the library that operators' programs import to build a configuration from typed objects,
// validate it, and print it as the JSON that `cornelmux apply` submits.
package catalog

// Configuration holds everything that operators configure.
type Configuration struct {
	Accounts    []ClientAccount `json:"accounts,omitempty"`
	Models      []Model         `json:"models,omitempty"`
	Cascades    []Cascade       `json:"cascades,omitempty"`
	Services    []Service       `json:"services,omitempty"`
	RollOuts    []RollOut       `json:"roll_outs,omitempty"`
	Withdrawals []Withdrawal    `json:"withdrawals,omitempty"`
}

// ClientAccount is a customer.
type ClientAccount struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the bearer key in lower-case hexadecimal; see HashKey.
	KeyHash string `json:"key_hash"`
	// HomeRegion is the region whose journal holds the entries of the account's requests.
	HomeRegion string `json:"home_region"`
	// Grants, Cascades and Services are what the account may use.
	Grants   []Grant  `json:"grants,omitempty"`
	Cascades []string `json:"cascades,omitempty"`
	Services []string `json:"services,omitempty"`
	// RequestID and Session say where requests carry their ID and their session.
	RequestID Source `json:"request_id"`
	Session   Source `json:"session"`
	// RequestsPerSecond is the rate limit over all entry VMs; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests that may arrive at once above the rate.
	Burst int `json:"burst,omitempty"`
	// Priority orders requests that wait for an endpoint; a greater number goes first.
	Priority int `json:"priority,omitempty"`
	// CrossRegion allows requests to endpoints of other regions, for which traffic is paid.
	CrossRegion bool `json:"cross_region,omitempty"`
	// ChatIdempotent marks chat requests as idempotent, so that they may be retried. By default they are not.
	ChatIdempotent bool `json:"chat_idempotent,omitempty"`
}

// Grant allows the use of a model in the listed versions, or in all versions if none is listed.
type Grant struct {
	Model    string   `json:"model"`
	Versions []string `json:"versions,omitempty"`
}

// Place is the part of a request that carries a value.
type Place string

// The values of Place. PlaceNone means that requests don't carry the value.
const (
	PlaceNone   Place = ""
	PlaceHeader Place = "header"
	PlaceField  Place = "field"
	PlacePath   Place = "path"
)

// Source says where a request carries its ID or session: in a header, in a top-level field of its JSON body,
// or in a path prefix /<name>/<value>/ before the usual path.
type Source struct {
	Place Place  `json:"place,omitempty"`
	Name  string `json:"name,omitempty"`
}

// Model is a language model as client accounts address it. One or more versions serve it.
type Model struct {
	Name string `json:"name"`
	// Stable is the version of all sessions that no rollout moves.
	Stable   string    `json:"stable"`
	Versions []Version `json:"versions"`
}

// Version is a version of a model.
type Version struct {
	Name string `json:"name"`
	// CostPerThousandTokens is the cost of 1,000 generated tokens, in the operator's currency.
	CostPerThousandTokens float64 `json:"cost_per_thousand_tokens,omitempty"`
}

// Cascade tries models from cheap to strong until an answer is rated well enough.
type Cascade struct {
	Name string `json:"name"`
	// Levels are in the order from cheap to strong.
	Levels []Level `json:"levels"`
	// QualityTarget is the lowest rating, 0 to 1, with which an answer is accepted.
	QualityTarget float64 `json:"quality_target"`
	// AllowUnrated accepts answers without a rating while the rating service is unreachable.
	AllowUnrated bool `json:"allow_unrated,omitempty"`
}

// Level is a level of a cascade.
type Level struct {
	Model string `json:"model"`
}

// Service is a plain HTTP service that isn't a model.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route is a call that a service offers. Path matches itself and everything below it.
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Idempotent says that the call may be retried.
	Idempotent bool `json:"idempotent,omitempty"`
}

// RollOutState is the state of a rollout.
type RollOutState string

// The values of RollOutState. A running rollout moves its share of new sessions, a halted one none, a done one all.
const (
	RollOutRunning RollOutState = "running"
	RollOutHalted  RollOutState = "halted"
	RollOutDone    RollOutState = "done"
)

// RollOut moves the sessions of a model from its stable version to another version in steps.
type RollOut struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Share is the fraction of sessions, 0 to 1, that run on Version.
	Share float64      `json:"share"`
	State RollOutState `json:"state"`
	// Reason says why the rollout was halted.
	Reason string `json:"reason,omitempty"`
	// Steps are the shares, 0 to 1, to go through in ascending order. StepSeconds is the time at each, in seconds; 0
	// means that only operators take steps.
	Steps       []float64 `json:"steps,omitempty"`
	StepSeconds int       `json:"step_seconds,omitempty"`
	// StepAt is the time of the current step in Unix seconds.
	StepAt int64 `json:"step_at,omitempty"`
	// StartedAt is the time of the last start or resume in Unix seconds. It identifies a run of the rollout.
	StartedAt int64 `json:"started_at,omitempty"`
}

// Withdrawal takes a version out of service until it is reinstated.
type Withdrawal struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Reason  string `json:"reason,omitempty"`
}

// FindAccount returns the client account with the name.
func (c *Configuration) FindAccount(name string) (ClientAccount, bool) {
	return find(c.Accounts, func(a ClientAccount) bool { return a.Name == name })
}

// FindModel returns the model with the name.
func (c *Configuration) FindModel(name string) (Model, bool) {
	return find(c.Models, func(m Model) bool { return m.Name == name })
}

// FindCascade returns the cascade with the name.
func (c *Configuration) FindCascade(name string) (Cascade, bool) {
	return find(c.Cascades, func(a Cascade) bool { return a.Name == name })
}

// FindService returns the service with the name.
func (c *Configuration) FindService(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// FindRollOut returns the rollout of the model, if it has one.
func (c *Configuration) FindRollOut(model string) (RollOut, bool) {
	return find(c.RollOuts, func(r RollOut) bool { return r.Model == model })
}

// FindVersion returns the version of the model with the name.
func (m Model) FindVersion(name string) (Version, bool) {
	return find(m.Versions, func(v Version) bool { return v.Name == name })
}

// Withdrawn reports whether the version is withdrawn.
func (c *Configuration) Withdrawn(model, version string) bool {
	_, ok := find(c.Withdrawals, func(w Withdrawal) bool { return w.Model == model && w.Version == version })
	return ok
}

// Allows reports whether the client account may use the version of the model. It is called when a version is selected for
// a request and when a cascade is planned.
func (a ClientAccount) Allows(model, version string) bool {
	g, ok := find(a.Grants, func(g Grant) bool { return g.Model == model })
	if !ok {
		return false
	}
	if len(g.Versions) == 0 {
		return true
	}
	_, ok = find(g.Versions, func(v string) bool { return v == version })
	return ok
}

// find returns the first element that matches.
func find[T any](list []T, match func(T) bool) (T, bool) {
	for _, v := range list {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}
