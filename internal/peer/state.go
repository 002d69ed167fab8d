// Package peer exchanges periodic state between entry VMs by datagrams. Nothing promised depends on one that arrives.
package peer

import (
	"context"
	"time"
)

// State is what one VM tells its peers. Every list is bounded by its sender so that a datagram stays small.
type State struct {
	VM          string
	Incarnation uint64
	// Sequence grows with each datagram of an incarnation.
	Sequence uint64
	Region   string
	Zone     string
	// ControlAddress is where the VM answers other entry VMs over connect, as host:port.
	ControlAddress string
	PeerAddress    string
	Revision       uint64
	Leaving        bool
	Endpoints      []EndpointReport
	Evidence       []VersionEvidence
	Demand         []AccountDemand
	Crashes        []CrashReport
	Sessions       []SessionSet
	Halts          []Halt
}

// EndpointReport is the load of an endpoint as the sender saw it Age ago.
type EndpointReport struct {
	Endpoint    string
	Incarnation uint64
	Queued      int
	Running     int
	Age         time.Duration
	Leaving     bool
	Suspect     bool
	Versions    []string
	// EngineLoad is the sender's own runs there, by how much of an engine they take; Failed is the share of its runs that fail.
	EngineLoad  float64
	FailureRate float64
}

// VersionEvidence counts a version's answers at the sender during the run of a roll-out that began at StartedAt.
type VersionEvidence struct {
	Model   string
	Version string
	// StartedAt is in Unix seconds.
	StartedAt int64
	Answers   uint64
	Failures  uint64
	Rated     uint64
	RatedBad  uint64
	// BadEndpoints has a bit, by the hash of its name, for each endpoint whose answers were bad.
	BadEndpoints uint64
}

// AccountDemand asks for a part of the receivers' shares of a client account's limit, or lends one.
type AccountDemand struct {
	Account string
	// RequestsPerSecond is the rate that the sender lacks.
	RequestsPerSecond float64
	// ID names the question; a loan repeats it.
	ID uint64
	// Loan answers a question; its VM is empty where there is none.
	Loan LimitLoan
}

// LimitLoan lends a VM a part of the sender's share, counted from the question that Stamp names.
type LimitLoan struct {
	VM                string
	DemandID          uint64
	RequestsPerSecond float64
}

// CrashReport says that an endpoint crashed while it ran the request with the fingerprint.
type CrashReport struct {
	Fingerprint uint64
	Endpoint    string
}

// SessionSet is a Bloom filter of the active sessions that the sender has on a version.
type SessionSet struct {
	Model   string
	Version string
	Filter  []byte
}

// Halt says that the sender halted a roll-out.
type Halt struct {
	Model   string
	Version string
	Reason  string
	// StartedAt is the run of the roll-out, in Unix seconds.
	StartedAt int64
}

// Health is what silence says of a member.
type Health int

// The values of Health.
const (
	Alive Health = iota + 1
	Suspect
	Dead
)

// String implements fmt.Stringer.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Member is a VM of the fleet.
type Member struct {
	VM             string
	Incarnation    uint64
	Region         string
	Zone           string
	ControlAddress string
	PeerAddress    string
	Revision       uint64
	Leaving        bool
	// HeardAt is when news of the VM last came; zero for the VM itself and for one that is only listed.
	HeardAt time.Time
	Health  Health
}

// Unresponsive reports whether the member has not been heard of for too long.
func (m Member) Unresponsive() bool { return m.Health == Suspect || m.Health == Dead }

// Section is a controller's part of the state. The peers controller calls it before each send and after each receipt;
// neither call may wait for the network. What doesn't fit into one datagram goes into a later one, so a list that is
// absent or short is no news about the rest. A state may also come by way of another VM, without loads,
// demand and sessions.
type Section interface {
	// Collect adds the controller's own part to s.
	Collect(ctx context.Context, s *State) error
	// Receive takes in what a peer sent.
	Receive(ctx context.Context, s State) error
}
