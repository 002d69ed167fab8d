// Package catalog is the operators' library: typed objects that make up a configuration,
// their validation and their printing as the JSON that `cornelmux apply` submits.
package catalog

// Configuration is everything that operators decide.
type Configuration struct {
	Accounts    []ClientAccount `json:"accounts,omitempty"`
	Models      []Model         `json:"models,omitempty"`
	Cascades    []Cascade       `json:"cascades,omitempty"`
	Services    []Service       `json:"services,omitempty"`
	RollOuts    []RollOut       `json:"roll_outs,omitempty"`
	Withdrawals []Withdrawal    `json:"withdrawals,omitempty"`
}

// ClientAccount is one customer of the system.
type ClientAccount struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the bearer key, in lower-case hexadecimal digits.
	KeyHash    string   `json:"key_hash"`
	HomeRegion string   `json:"home_region"`
	Grants     []Grant  `json:"grants,omitempty"`
	Cascades   []string `json:"cascades,omitempty"`
	Services   []string `json:"services,omitempty"`
	RequestID  Source   `json:"request_id"`
	Session    Source   `json:"session"`
	// RequestsPerSecond is the limit over all entry VMs; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is how many requests may come at once above the rate.
	Burst    int `json:"burst,omitempty"`
	Priority int `json:"priority,omitempty"`
	// CrossRegion allows paid traffic to endpoints of other regions.
	CrossRegion bool `json:"cross_region,omitempty"`
	// ChatIdempotent marks chat requests as safe to repeat; by default they are not.
	ChatIdempotent bool `json:"chat_idempotent,omitempty"`
}

// Grant allows a model; with no versions named, every version of it.
type Grant struct {
	Model    string   `json:"model"`
	Versions []string `json:"versions,omitempty"`
}

// Place says where in a request a value stands.
type Place string

// The values of Place.
const (
	PlaceNone   Place = ""
	PlaceHeader Place = "header"
	PlaceField  Place = "field"
	PlacePath   Place = "path"
)

// Source names where a request ID or session is found: a header, a top-level JSON field,
// or a path prefix /<name>/<value>/ before the usual path.
type Source struct {
	Place Place  `json:"place,omitempty"`
	Name  string `json:"name,omitempty"`
}

// Model is an interface served by one or more versions.
type Model struct {
	Name string `json:"name"`
	// Stable is the version that serves whatever no roll-out moves.
	Stable   string    `json:"stable"`
	Versions []Version `json:"versions"`
}

// Version is one build of a model.
type Version struct {
	Name string `json:"name"`
	// CostPerThousandTokens is in the operator's currency.
	CostPerThousandTokens float64 `json:"cost_per_thousand_tokens,omitempty"`
}

// Cascade tries models from cheap to strong until an answer rates well enough.
type Cascade struct {
	Name   string  `json:"name"`
	Levels []Level `json:"levels"`
	// QualityTarget is the least rating, 0 to 1, that an answer passes with.
	QualityTarget float64 `json:"quality_target"`
	// AllowUnrated passes an answer on while the rating service is out of reach.
	AllowUnrated bool `json:"allow_unrated,omitempty"`
}

// Level is one step of a cascade.
type Level struct {
	Model string `json:"model"`
}

// Service is a plain back end that is no model.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route is one call of a service. Path matches itself and everything below it.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent,omitempty"`
}

// RollOutState is the state of a roll-out.
type RollOutState string

// The values of RollOutState.
const (
	RollOutRunning RollOutState = "running"
	RollOutHalted  RollOutState = "halted"
	RollOutDone    RollOutState = "done"
)

// RollOut moves a share of a model's sessions from its stable version to another.
type RollOut struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Share is the part of sessions, 0 to 1, that go to Version.
	Share  float64      `json:"share"`
	State  RollOutState `json:"state"`
	Reason string       `json:"reason,omitempty"`
	// Steps are the shares to go through; StepSeconds is the time at each.
	Steps       []float64 `json:"steps,omitempty"`
	StepSeconds int       `json:"step_seconds,omitempty"`
	// StepAt is when the present step was taken, in Unix seconds.
	StepAt int64 `json:"step_at,omitempty"`
	// StartedAt tells the runs of a roll-out apart, in Unix seconds: a start or resume sets it anew.
	StartedAt int64 `json:"started_at,omitempty"`
}

// Withdrawal takes a version out of service until a reinstatement names it.
type Withdrawal struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Reason  string `json:"reason,omitempty"`
}

// FindAccount returns the named client account.
func (c *Configuration) FindAccount(name string) (ClientAccount, bool) {
	return find(c.Accounts, func(a ClientAccount) bool { return a.Name == name })
}

// FindModel returns the named model.
func (c *Configuration) FindModel(name string) (Model, bool) {
	return find(c.Models, func(m Model) bool { return m.Name == name })
}

// FindCascade returns the named cascade.
func (c *Configuration) FindCascade(name string) (Cascade, bool) {
	return find(c.Cascades, func(a Cascade) bool { return a.Name == name })
}

// FindService returns the named service.
func (c *Configuration) FindService(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// FindRollOut returns the roll-out of the model, if it has one.
func (c *Configuration) FindRollOut(model string) (RollOut, bool) {
	return find(c.RollOuts, func(r RollOut) bool { return r.Model == model })
}

// FindVersion returns the named version of the model.
func (m Model) FindVersion(name string) (Version, bool) {
	return find(m.Versions, func(v Version) bool { return v.Name == name })
}

// Withdrawn reports whether the version is out of service.
func (c *Configuration) Withdrawn(model, version string) bool {
	_, ok := find(c.Withdrawals, func(w Withdrawal) bool { return w.Model == model && w.Version == version })
	return ok
}

// Allows reports whether the client account may use the version of the model.
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

func find[T any](list []T, match func(T) bool) (T, bool) {
	for _, v := range list {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}
