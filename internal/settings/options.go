package settings

import "time"

// Settings are the settings of a VM, which it reads when it starts.
type Settings struct {
	VM     VMSettings
	Listen ListenSettings
	Keys   KeySettings
	Reach  ReachSettings
	Limits LimitSettings
	Log    LogSettings
	// Journal bounds what the journal holds and writes.
	Journal JournalSettings
}

// VMSettings identify the VM and its location. Zone is its availability zone.
type VMSettings struct {
	Name   string
	Region string
	Zone   string
}

// ListenSettings are the addresses that the VM listens on, as IP address and port.
type ListenSettings struct {
	// Callers is for callers and the balancer's health checks.
	Callers string
	// Control is for operators and other entry VMs.
	Control string
	// Peers is for UDP datagrams of other entry VMs.
	Peers string
}

// KeySettings are the secret keys, read from the files that the settings name.
type KeySettings struct {
	// Operator authenticates operators, Fleet authenticates entry VMs to each other.
	Operator string
	Fleet    string
}

// ReachSettings are the addresses of other systems and the timeouts of calls to them.
type ReachSettings struct {
	// Platform is the URL of the platform's key-value service. PlatformTimeout bounds calls that aren't watches.
	Platform        string
	PlatformTimeout time.Duration
	// Rating is the URL of the rating service, or empty if there is none. RatingTimeout bounds one rating.
	Rating        string
	RatingTimeout time.Duration
	// DialTimeout bounds connecting to an endpoint.
	DialTimeout time.Duration
	// Silence is the time without a byte of an answer after which an endpoint's connection counts as dead.
	Silence time.Duration
}

// LimitSettings are limits and timeouts of a VM. Options describes each of them.
type LimitSettings struct {
	// BodyBytes is the maximum size of a request's body, in bytes.
	BodyBytes int
	// RequestTimeout is how long a request may take from its arrival.
	RequestTimeout time.Duration
	// StopTimeout is how long a graceful shutdown waits for requests in flight.
	StopTimeout time.Duration
	// LeaveGrace is how long a leaving VM still refuses new requests with an answer, before it stops listening.
	LeaveGrace time.Duration
	// Freshness is the age of the configuration's confirmation up to which versions under rollout get new sessions.
	Freshness time.Duration
	// SessionIdle is how long a session without requests keeps its version; MaxSessions is the number of sessions whose
	// version a VM remembers.
	SessionIdle time.Duration
	MaxSessions int
	// StepSettle is the time from the acceptance of a rollout step until it applies to new sessions.
	StepSettle time.Duration
	// ClaimFor is how long a claim may be used; ResendWindow is how long a request ID is remembered.
	ClaimFor     time.Duration
	ResendWindow time.Duration
	// MaxAttempts is the maximum number of endpoints tried for one run, MaxResumes that of resumptions of a stream.
	MaxAttempts int
	MaxResumes  int
	// FleetVMs is the maximum number of entry VMs that serve at a time and share the limits of client accounts.
	FleetVMs int
	// LoadInterval is the minimum time between two loads of versions over all entry VMs.
	LoadInterval time.Duration
}

// JournalSettings bound what the journal holds and writes.
type JournalSettings struct {
	// BillHold is how long the end of an answer waits at most for its bill.
	BillHold time.Duration
	// MaxBills is the maximum number of requests that run or whose bill isn't written.
	MaxBills int
	// KeptBytes is the maximum size of the answers kept for resends, in bytes.
	KeptBytes int
	// WritesPerSecond limits this VM's writes to one partition.
	WritesPerSecond int
	// ForwardTimeout bounds an append at another entry VM.
	ForwardTimeout time.Duration
}

// LogSettings are the level and the format of the log.
type LogSettings struct {
	Level  string
	Format string
}

// The values of the log settings.
const (
	LevelInfo  = "info"
	LevelDebug = "debug"
	FormatJSON = "json"
	FormatText = "text"
)

// Option describes one key of the INI file.
type Option struct {
	Section string
	Key     string
	// Unit is the unit or the form of the value, for the page of settings.
	Unit string
	// Default is the value, as in the file, of a key that the file doesn't set; it is empty for none.
	Default  string
	Required bool
	Help     string
	// set checks a value and stores it in the Settings that the option was made for.
	set func(string) error
}

// Options lists every key with its unit, default and help, from which the page of settings is generated.
func Options() []Option { return options(&Settings{}) }

// options returns the options, whose setters write to s. Parse and Options call it.
func options(s *Settings) []Option {
	return []Option{
		{Section: "vm", Key: "name", Unit: "text", Required: true, Help: "unique name of this VM", set: name(&s.VM.Name)},
		{Section: "vm", Key: "region", Unit: "text", Required: true, Help: "region of this VM", set: name(&s.VM.Region)},
		{Section: "vm", Key: "zone", Unit: "text", Required: true, Help: "availability zone of this VM", set: name(&s.VM.Zone)},
		{Section: "listen", Key: "callers", Unit: "host:port", Required: true, Help: "address for callers and the balancer's health checks", set: listenAddress(&s.Listen.Callers)},
		{Section: "listen", Key: "control", Unit: "host:port", Required: true, Help: "address for operators and other entry VMs", set: reachableAddress(&s.Listen.Control)},
		{Section: "listen", Key: "peers", Unit: "host:port", Required: true, Help: "UDP address for datagrams of other entry VMs", set: reachableAddress(&s.Listen.Peers)},
		{Section: "keys", Key: "operator_key_file", Unit: "path", Required: true, Help: "file that holds the operators' key", set: keyFile(&s.Keys.Operator)},
		{Section: "keys", Key: "fleet_key_file", Unit: "path", Required: true, Help: "file that holds the key that entry VMs share", set: keyFile(&s.Keys.Fleet)},
		{Section: "reach", Key: "platform", Unit: "URL", Required: true, Help: "platform's key-value service", set: serviceURL(&s.Reach.Platform)},
		{Section: "reach", Key: "platform_timeout", Unit: "duration", Default: "2s", Help: "limit of a platform call that is no watch", set: positiveDuration(&s.Reach.PlatformTimeout)},
		{Section: "reach", Key: "rating", Unit: "URL", Help: "rating service; empty for none", set: serviceURL(&s.Reach.Rating)},
		{Section: "reach", Key: "rating_timeout", Unit: "duration", Default: "2s", Help: "limit of a rating", set: positiveDuration(&s.Reach.RatingTimeout)},
		{Section: "reach", Key: "dial_timeout", Unit: "duration", Default: "1s", Help: "limit of a connection to an endpoint", set: positiveDuration(&s.Reach.DialTimeout)},
		{Section: "reach", Key: "silence", Unit: "duration", Default: "10s", Help: "how long an endpoint's answer may stay silent", set: positiveDuration(&s.Reach.Silence)},
		{Section: "limits", Key: "body_bytes", Unit: "bytes", Default: "4194304", Help: "largest body of a request", set: positiveInt(&s.Limits.BodyBytes)},
		{Section: "limits", Key: "request_timeout", Unit: "duration", Default: "120s", Help: "deadline of a request", set: positiveDuration(&s.Limits.RequestTimeout)},
		{Section: "limits", Key: "stop_timeout", Unit: "duration", Default: "150s", Help: "how long a planned stop waits for requests in flight", set: positiveDuration(&s.Limits.StopTimeout)},
		{Section: "limits", Key: "leave_grace", Unit: "duration", Default: "1s", Help: "how long a leaving VM still answers refusals", set: positiveDuration(&s.Limits.LeaveGrace)},
		{Section: "limits", Key: "rollout_freshness", Unit: "duration", Default: "5s", Help: "age of the configuration's proof up to which versions under roll-out take new sessions", set: positiveDuration(&s.Limits.Freshness)},
		{Section: "limits", Key: "session_idle", Unit: "duration", Default: "30m", Help: "how long an unused session keeps its version", set: positiveDuration(&s.Limits.SessionIdle)},
		{Section: "limits", Key: "max_sessions", Unit: "count", Default: "200000", Help: "most sessions whose version is remembered; beyond it the least recent are forgotten", set: positiveInt(&s.Limits.MaxSessions)},
		{Section: "limits", Key: "step_settle", Unit: "duration", Default: "3s", Help: "time from the acceptance of a roll-out step until it decides on new sessions", set: positiveDuration(&s.Limits.StepSettle)},
		{Section: "limits", Key: "claim_for", Unit: "duration", Default: "20s", Help: "how long a recorded request may still be sent", set: positiveDuration(&s.Limits.ClaimFor)},
		{Section: "limits", Key: "resend_window", Unit: "duration", Default: "10m", Help: "how long a request ID is remembered", set: positiveDuration(&s.Limits.ResendWindow)},
		{Section: "limits", Key: "max_attempts", Unit: "count", Default: "3", Help: "most endpoints tried for one run", set: positiveInt(&s.Limits.MaxAttempts)},
		{Section: "limits", Key: "max_resumes", Unit: "count", Default: "2", Help: "most times a broken stream is resumed", set: positiveInt(&s.Limits.MaxResumes)},
		{Section: "limits", Key: "fleet_vms", Unit: "count", Default: "6", Help: "most entry VMs that serve at a time and so share client accounts' limits", set: positiveInt(&s.Limits.FleetVMs)},
		{Section: "limits", Key: "load_interval", Unit: "duration", Default: "2s", Help: "least time between two loads of versions over all entry VMs, for the weight store's rate", set: positiveDuration(&s.Limits.LoadInterval)},
		{Section: "journal", Key: "bill_hold", Unit: "duration", Default: "250ms", Help: "how long the end of an answer waits for its bill", set: positiveDuration(&s.Journal.BillHold)},
		{Section: "journal", Key: "max_bills", Unit: "count", Default: "4096", Help: "most requests that run or whose bill is not written", set: positiveInt(&s.Journal.MaxBills)},
		{Section: "journal", Key: "kept_bytes", Unit: "bytes", Default: "33554432", Help: "most bytes of answers kept for resends", set: positiveInt(&s.Journal.KeptBytes)},
		{Section: "journal", Key: "writes_per_second", Unit: "count per second", Default: "20", Help: "most platform writes of one partition by this VM", set: positiveInt(&s.Journal.WritesPerSecond)},
		{Section: "journal", Key: "forward_timeout", Unit: "duration", Default: "1s", Help: "limit of an append at another entry VM", set: positiveDuration(&s.Journal.ForwardTimeout)},
		{Section: "log", Key: "level", Unit: "info or debug", Default: LevelInfo, Help: "debug adds lines about each try that is repeated", set: oneOf(&s.Log.Level, LevelInfo, LevelDebug)},
		{Section: "log", Key: "format", Unit: "json or text", Default: FormatJSON, Help: "format of a line on standard error", set: oneOf(&s.Log.Format, FormatJSON, FormatText)},
	}
}
