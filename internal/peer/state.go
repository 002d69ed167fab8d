// Package peer exchanges the state of entry VMs by datagrams at regular intervals. Datagrams may get lost, so
// correctness doesn't depend on any of them.
package peer

import (
	"context"
	"slices"
	"time"
)

// State is what one VM tells its peers. The sender bounds every list so that a datagram stays small.
type State struct {
	VM string
	// Incarnation is the start of the VM's process, in Unix nanoseconds; a later one replaces an earlier one.
	Incarnation uint64
	// Sequence grows with each datagram of an incarnation.
	Sequence uint64
	// SentAt is the time since Incarnation by the sender's monotonic clock; 0 if unknown. Delay is how much later than typical
	// the state was read; the receiver sets it.
	SentAt time.Duration
	Delay  time.Duration
	Region string
	Zone   string
	// ControlAddress is where the VM serves connect calls of other entry VMs, as host:port.
	ControlAddress string
	// PeerAddress is where the VM receives datagrams, as host:port.
	PeerAddress string
	// Revision is that of the configuration that the VM uses.
	Revision uint64
	// Leaving is set once the VM shuts down.
	Leaving   bool
	Endpoints []EndpointReport
	Evidence  []VersionEvidence
	Demand    []AccountDemand
	Crashes   []CrashReport
	Sessions  []SessionSet
	Halts     []Halt
	Latencies []LatencyBaseline
	LostRuns  []LostRun
	// Clearances and BlockQuarantines say which prompt blocks are sound and which crash endpoints.
	Clearances       []Clearance
	BlockQuarantines []BlockQuarantine
	ZoneLoads        []ZoneLoad
}

// EndpointReport is the load of an endpoint as the sender saw it.
type EndpointReport struct {
	Endpoint string
	// Incarnation is that of the endpoint's process.
	Incarnation uint64
	// Queued and Running are the numbers of runs that the endpoint reported to an entry VM. A platform VM sends no Queued,
	// and in Running the number of its own runs there.
	Queued  int
	Running int
	// Age is the time since the endpoint reported the load.
	Age time.Duration
	// Leaving says that the endpoint is shutting down, Suspect that the sender believes it to be failing.
	Leaving bool
	Suspect bool
	// Versions lists the models that the endpoint serves, as "model/version".
	Versions []string
	// EngineLoad is the summed weight of the sender's own requests there; a request's weight is the part of an engine
	// that it takes. FailureRate is the share of the sender's requests that fail, from 0 to 1.
	EngineLoad  float64
	FailureRate float64
	// Slowness is how many times longer than expected the sender's requests take there; 0 if it knows too little.
	Slowness float64
	// WaitingWork is the time that the endpoint needs for the prompts of the sender's requests that wait there.
	WaitingWork time.Duration
}

// ZoneLoad is the mean load of a service's endpoints in the sender's availability zone, as far as the sender knows it.
type ZoneLoad struct {
	Service string
	// EngineLoad is the mean over the endpoints of the summed weight of their requests, Utilization that of the share of their
	// slots in use.
	EngineLoad  float64
	Utilization float64
}

// VersionEvidence counts a version's answers at the sender in one run of a rollout or in one traffic shift.
type VersionEvidence struct {
	// Model is the model, or the service of a traffic shift.
	Model   string
	Version string
	// StartedAt identifies the run by its start in Unix seconds, or the traffic shift by the revision of its order.
	StartedAt int64
	Answers   uint64
	Failures  uint64
	// Rated counts the rated answers, RatedBad those that failed the rating; for a traffic shift, the answers whose
	// latency was judged and those that were slow.
	Rated    uint64
	RatedBad uint64
	// BadEndpoints has one bit, chosen by the hash of its ID, for each endpoint with bad answers in a traffic shift.
	BadEndpoints uint64
	// Paced counts the streams whose time between events was judged in a traffic shift, PacedSlow those that were slow.
	Paced     uint64
	PacedSlow uint64
}

// LatencyBaseline is a typical latency of a service's old version at the sender, while a traffic shift runs.
type LatencyBaseline struct {
	Service string
	// Kind is the hash of the name of what was timed, Load the class of the endpoints' load.
	Kind uint64
	Load int
	// Count is the number of answers behind Mean.
	Count int
	Mean  time.Duration
}

// AccountDemand asks the receivers to lend a part of their shares of a client account's limit, or lends one.
type AccountDemand struct {
	Account string
	// RequestsPerSecond is the rate that the sender lacks.
	RequestsPerSecond float64
	// ID identifies the demand; a loan that answers it repeats it as DemandID.
	ID uint64
	// Loan answers a demand of another VM; its VM is empty if there is none.
	Loan LimitLoan
}

// LimitLoan lends a VM a part of the sender's share. Its term starts when the VM made the demand.
type LimitLoan struct {
	VM                string
	DemandID          uint64
	RequestsPerSecond float64
}

// maxParameters is the maximum number of a query's parameters that have fingerprints.
const maxParameters = 4

// Parameters are the fingerprints of the first parameters of a request's query; 0 is none.
type Parameters [maxParameters]uint64

// NewParameters returns the first of the fingerprints.
func NewParameters(list []uint64) (p Parameters) {
	copy(p[:], list)
	return p
}

// List returns the fingerprints without those that are none.
func (p Parameters) List() []uint64 {
	return slices.DeleteFunc(slices.Clone(p[:]), func(f uint64) bool { return f == 0 })
}

// CrashReport tells that an endpoint crashed while it ran a request. Fingerprint is the Path of its endpoint.Fingerprints.
type CrashReport struct {
	Fingerprint uint64
	Endpoint    string
	// Target and Parameters are the others. A VM of an earlier version doesn't tell them.
	Target     uint64
	Parameters Parameters
}

// LostRun tells that the connection of a run ended at the start of its answer, as by a prompt that crashes the endpoint.
type LostRun struct {
	// Request is the fingerprint of the request, Endpoint the hash of the endpoint and its incarnation.
	Request  uint64
	Endpoint uint64
	// Blocks are the IDs of the prompt blocks that other requests may share.
	Blocks []uint64
	// Age is the time since the loss.
	Age time.Duration
}

// Clearance tells that a run survived its start. Key is a prompt block of the run, or its endpoint or request as in LostRun.
type Clearance struct {
	Key uint64
	// Age is the time since the run was sent.
	Age time.Duration
}

// BlockQuarantine tells that requests whose prompts hold the block and its companions are refused.
type BlockQuarantine struct {
	Block uint64
	// Companions are blocks that may be the cause as well.
	Companions []uint64
	// Age is the time since the first lost run on which the quarantine rests, Remaining that until its end.
	Age       time.Duration
	Remaining time.Duration
	// Requests and Endpoints count those that lost runs, over Span.
	Requests  int
	Endpoints int
	Span      time.Duration
}

// SessionSet is a Bloom filter of the sessions that are active on a version at the sender.
type SessionSet struct {
	Model   string
	Version string
	// Filter is the encoded Bloom filter.
	Filter []byte
}

// Halt tells that the sender halted a rollout.
type Halt struct {
	Model   string
	Version string
	Reason  string
	// StartedAt identifies the run of the rollout, in Unix seconds.
	StartedAt int64
}

// Health is the state of a member, judged by the time since it was last heard from.
type Health int

// Values of Health. A member is Suspect when silent for longer than SuspectTimeout, and Dead after deadFactor times that.
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

// Member is a VM of the fleet. Incarnation and the addresses are as in State.
type Member struct {
	VM             string
	Incarnation    uint64
	Region         string
	Zone           string
	ControlAddress string
	PeerAddress    string
	// Revision is that of the configuration that the VM uses.
	Revision uint64
	Leaving  bool
	// HeardAt is when a state of the VM last arrived, directly or relayed; zero for the VM itself and for one that is
	// only listed by the platform.
	HeardAt time.Time
	Health  Health
}

// Unresponsive reports whether the VM hasn't been heard from for longer than the suspect timeout.
func (m Member) Unresponsive() bool { return m.Health == Suspect || m.Health == Dead }

// Section is the part of the state that one controller contributes. Each of the Controllers of this package and of package
// feed calls Collect before it sends a state and Receive for each newer state of a peer; neither may wait for the network. A
// list may arrive in several datagrams, so an absent or short list says nothing about other items. A state relayed by
// another VM holds no list but some evidence.
type Section interface {
	// Collect adds the controller's part to s.
	Collect(ctx context.Context, s *State) error
	// Receive handles the state of a peer.
	Receive(ctx context.Context, s State) error
}
