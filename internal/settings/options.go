package settings

import "time"

// Settings are what a VM is told at its start.
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

// VMSettings say where the VM stands.
type VMSettings struct {
	Name   string
	Region string
	Zone   string
}

// ListenSettings are the VM's own addresses, as host:port.
type ListenSettings struct {
	Callers string
	Control string
	Peers   string
}

// KeySettings are the keys themselves, read from the files that the settings name.
type KeySettings struct {
	Operator string
	Fleet    string
}

// ReachSettings are the addresses of other systems, and how long they may take.
type ReachSettings struct {
	Platform        string
	PlatformTimeout time.Duration
	Rating          string
	RatingTimeout   time.Duration
	DialTimeout     time.Duration
	Silence         time.Duration
}

// LimitSettings bound what a VM takes on.
type LimitSettings struct {
	BodyBytes      int
	RequestTimeout time.Duration
	StopTimeout    time.Duration
	LeaveGrace     time.Duration
	Freshness      time.Duration
	SessionIdle    time.Duration
	MaxSessions    int
	StepSettle     time.Duration
	ClaimFor       time.Duration
	ResendWindow   time.Duration
	MaxAttempts    int
	MaxResumes     int
	FleetVMs       int
	LoadInterval   time.Duration
}

// JournalSettings bound what the journal holds and writes.
type JournalSettings struct {
	BillHold        time.Duration
	MaxBills        int
	KeptBytes       int
	WritesPerSecond int
	ForwardTimeout  time.Duration
}

// LogSettings say what the log holds and how.
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
	Section  string
	Key      string
	Unit     string
	Default  string
	Required bool
	Help     string
	set      func(string) error
}

// Options lists every key with its unit, default and help.
func Options() []Option { return options(&Settings{}) }

func options(s *Settings) []Option {
	return []Option{
		{Section: "vm", Key: "name", Unit: "text", Required: true, Help: "unique name of this VM", set: name(&s.VM.Name)},
		{Section: "vm", Key: "region", Unit: "text", Required: true, Help: "region of this VM", set: name(&s.VM.Region)},
		{Section: "vm", Key: "zone", Unit: "text", Required: true, Help: "availability zone of this VM", set: name(&s.VM.Zone)},
		{Section: "listen", Key: "callers", Unit: "host:port", Required: true, Help: "address for callers and the balancer's health checks", set: listen(&s.Listen.Callers)},
		{Section: "listen", Key: "control", Unit: "host:port", Required: true, Help: "address for operators and other entry VMs", set: reachable(&s.Listen.Control)},
		{Section: "listen", Key: "peers", Unit: "host:port", Required: true, Help: "UDP address for datagrams of other entry VMs", set: reachable(&s.Listen.Peers)},
		{Section: "keys", Key: "operator_key_file", Unit: "path", Required: true, Help: "file that holds the operators' key", set: keyFile(&s.Keys.Operator)},
		{Section: "keys", Key: "fleet_key_file", Unit: "path", Required: true, Help: "file that holds the key that entry VMs share", set: keyFile(&s.Keys.Fleet)},
		{Section: "reach", Key: "platform", Unit: "URL", Required: true, Help: "platform's key-value service", set: base(&s.Reach.Platform)},
		{Section: "reach", Key: "platform_timeout", Unit: "duration", Default: "2s", Help: "limit of a platform call that is no watch", set: duration(&s.Reach.PlatformTimeout)},
		{Section: "reach", Key: "rating", Unit: "URL", Help: "rating service; empty for none", set: base(&s.Reach.Rating)},
		{Section: "reach", Key: "rating_timeout", Unit: "duration", Default: "2s", Help: "limit of a rating", set: duration(&s.Reach.RatingTimeout)},
		{Section: "reach", Key: "dial_timeout", Unit: "duration", Default: "1s", Help: "limit of a connection to an endpoint", set: duration(&s.Reach.DialTimeout)},
		{Section: "reach", Key: "silence", Unit: "duration", Default: "10s", Help: "how long an endpoint's answer may stay silent", set: duration(&s.Reach.Silence)},
		{Section: "limits", Key: "body_bytes", Unit: "bytes", Default: "4194304", Help: "largest body of a request", set: number(&s.Limits.BodyBytes)},
		{Section: "limits", Key: "request_timeout", Unit: "duration", Default: "120s", Help: "deadline of a request", set: duration(&s.Limits.RequestTimeout)},
		{Section: "limits", Key: "stop_timeout", Unit: "duration", Default: "150s", Help: "how long a planned stop waits for requests in flight", set: duration(&s.Limits.StopTimeout)},
		{Section: "limits", Key: "leave_grace", Unit: "duration", Default: "1s", Help: "how long a leaving VM still answers refusals", set: duration(&s.Limits.LeaveGrace)},
		{Section: "limits", Key: "rollout_freshness", Unit: "duration", Default: "5s", Help: "age of the configuration's proof up to which versions under roll-out take new sessions", set: duration(&s.Limits.Freshness)},
		{Section: "limits", Key: "session_idle", Unit: "duration", Default: "30m", Help: "how long an unused session keeps its version", set: duration(&s.Limits.SessionIdle)},
		{Section: "limits", Key: "max_sessions", Unit: "count", Default: "200000", Help: "most sessions whose version is remembered; beyond it the least recent are forgotten", set: number(&s.Limits.MaxSessions)},
		{Section: "limits", Key: "step_settle", Unit: "duration", Default: "3s", Help: "time from the acceptance of a roll-out step until it decides on new sessions", set: duration(&s.Limits.StepSettle)},
		{Section: "limits", Key: "claim_for", Unit: "duration", Default: "20s", Help: "how long a recorded request may still be sent", set: duration(&s.Limits.ClaimFor)},
		{Section: "limits", Key: "resend_window", Unit: "duration", Default: "10m", Help: "how long a request ID is remembered", set: duration(&s.Limits.ResendWindow)},
		{Section: "limits", Key: "max_attempts", Unit: "count", Default: "3", Help: "most endpoints tried for one run", set: number(&s.Limits.MaxAttempts)},
		{Section: "limits", Key: "max_resumes", Unit: "count", Default: "2", Help: "most times a broken stream is resumed", set: number(&s.Limits.MaxResumes)},
		{Section: "limits", Key: "fleet_vms", Unit: "count", Default: "6", Help: "most entry VMs that serve at a time and so share client accounts' limits", set: number(&s.Limits.FleetVMs)},
		{Section: "limits", Key: "load_interval", Unit: "duration", Default: "2s", Help: "least time between two loads of versions over all entry VMs, for the weight store's rate", set: duration(&s.Limits.LoadInterval)},
		{Section: "journal", Key: "bill_hold", Unit: "duration", Default: "250ms", Help: "how long the end of an answer waits for its bill", set: duration(&s.Journal.BillHold)},
		{Section: "journal", Key: "max_bills", Unit: "count", Default: "4096", Help: "most requests that run or whose bill is not written", set: number(&s.Journal.MaxBills)},
		{Section: "journal", Key: "kept_bytes", Unit: "bytes", Default: "33554432", Help: "most bytes of answers kept for resends", set: number(&s.Journal.KeptBytes)},
		{Section: "journal", Key: "writes_per_second", Unit: "count per second", Default: "20", Help: "most platform writes of one partition by this VM", set: number(&s.Journal.WritesPerSecond)},
		{Section: "journal", Key: "forward_timeout", Unit: "duration", Default: "1s", Help: "limit of an append at another entry VM", set: duration(&s.Journal.ForwardTimeout)},
		{Section: "log", Key: "level", Unit: "info or debug", Default: LevelInfo, Help: "debug adds lines about each try that is repeated", set: oneOf(&s.Log.Level, LevelInfo, LevelDebug)},
		{Section: "log", Key: "format", Unit: "json or text", Default: FormatJSON, Help: "format of a line on standard error", set: oneOf(&s.Log.Format, FormatJSON, FormatText)},
	}
}
