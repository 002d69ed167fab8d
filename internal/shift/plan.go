// Package shift moves the traffic of a service to another version within a given duration (a traffic shift). A small
// share of new sessions moves first, then all sessions; if the evidence says that the version is bad, all move back.
package shift

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Schedule of a traffic shift. Shares are fractions of the sessions, times without a unit are fractions of the duration.
const (
	// pinExchangeTime is how long VMs exchange their active sessions before the first session moves.
	pinExchangeTime = 2 * time.Second
	// CanaryShare is the share of new sessions that move until canaryEnd. Until then active sessions keep their version.
	CanaryShare = 0.06
	// probeShare is the share reached at rampStart.
	probeShare = 0.3
	// canaryEnd and rampStart are when the share starts to grow from CanaryShare to probeShare, and from there to 1.
	canaryEnd = 0.5
	rampStart = 0.62
	// fullStart is when all sessions move.
	fullStart = 0.76
	// completionStart is when the traffic shift may be completed, after some time at the full share.
	completionStart = 0.88
	// completionDeadline is when the traffic shift is completed even if requests on the old version are in flight.
	completionDeadline = 0.93
)

// Order is an operator's order to move a service to the version Target.
type Order struct {
	Service string
	Target  string
	// Duration is the time within which all traffic has to move.
	Duration time.Duration
	// Era is the store's era in which the order was read, Revision its revision there. A later order has a greater revision in the same
	// era.
	Era      uint64
	Revision uint64
}

// isOlder reports whether the order is older than another one, or the same.
func (o *Order) isOlder(than *Order) bool {
	if o.Era != than.Era {
		return o.Era < than.Era
	}
	return o.Revision <= than.Revision
}

// isRewriteOf reports whether the order is one of an earlier era that the operator wrote again, since a restore of the store lost it, or
// that the restored store still has.
func (o *Order) isRewriteOf(earlier *Order) bool {
	return o.Era > earlier.Era && o.Target == earlier.Target && o.Duration == earlier.Duration
}

// State is the state of a traffic shift.
type State int

// The values of State. A completed traffic shift sends nothing to the old versions, a rolled-back one nothing to the target.
const (
	StateRunning State = iota + 1
	StateCompleted
	StateRolledBack
)

var stateNames = map[State]string{StateRunning: "running", StateCompleted: "completed", StateRolledBack: "rolled_back"}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state with the given name, or 0 if there is none.
func ParseState(name string) State {
	for s, n := range stateNames {
		if n == name {
			return s
		}
	}
	return 0
}

// ended reports whether a traffic shift in the state never changes its state again.
func (s State) ended() bool { return s == StateCompleted || s == StateRolledBack }

// Record is the state of a traffic shift that all VMs share through the store.
type Record struct {
	Order
	State State
	// OldVersions lists the versions that served when the traffic shift began, without Target.
	OldVersions []string
	// StartedAt is the start by the clock of the VM that wrote the record first.
	StartedAt time.Time
	// Reason says why the traffic shift came into this state.
	Reason string
}

// Share returns the share of sessions, 0 to 1, that get the new version after the elapsed time. It never decreases.
// Standing.Allowed may keep the share lower.
func Share(elapsed, duration time.Duration) float64 {
	fraction := float64(elapsed) / float64(duration)
	switch {
	case elapsed < pinExchangeTime:
		return 0
	case fraction < canaryEnd:
		return CanaryShare
	case fraction < rampStart:
		return CanaryShare + (probeShare-CanaryShare)*(fraction-canaryEnd)/(rampStart-canaryEnd)
	case fraction < fullStart:
		return probeShare + (1-probeShare)*(fraction-rampStart)/(fullStart-rampStart)
	default:
		return 1
	}
}

// pinningOver reports whether active sessions on the old version may move.
func pinningOver(elapsed, duration time.Duration) bool {
	return float64(elapsed) > canaryEnd*float64(duration)
}

// Bucket maps a session hash to [0, 1) for a target version. Sessions whose bucket is below the share get the target.
func Bucket(session uint64, target string) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], session)
	h := xxhash.Sum64String(target + string(key[:]))
	return float64(h>>11) / (1 << 53)
}

// SessionHash returns the hash by which VMs identify a session to each other.
func SessionHash(session string) uint64 { return xxhash.Sum64String(session) }

// Binding says which versions an attempt may go to: only Version if it is set, else any but ExcludedVersions.
type Binding struct {
	Version          string
	ExcludedVersions []string
	// Trial says that Version is the target of a running traffic shift, so that the attempt's progress is to be told.
	Trial bool
}

// BindInput holds what Bind needs to know about the traffic shift and the session.
type BindInput struct {
	Record Record
	// ActiveHere says that the session is active on this VM, on Version.
	ActiveHere bool
	Version    string
	// PinnedElsewhere says that the session was active on the old version on another VM when the traffic shift began.
	PinnedElsewhere bool
	// Share is the current share of the new version, Bucket the session's bucket, both from 0 to 1.
	Share  float64
	Bucket float64
	// PinningOver says that active sessions on the old version may move.
	PinningOver bool
}

// Bind returns the versions that a request may go to. The Controller calls it before each attempt. A session on the new
// version stays there; one on the old version stays there until pinning is over.
func Bind(in BindInput) Binding {
	target := in.Record.Target
	switch in.Record.State {
	case StateCompleted:
		return Binding{ExcludedVersions: in.Record.OldVersions}
	case StateRolledBack:
		return Binding{ExcludedVersions: []string{target}}
	}
	onTarget := in.ActiveHere && in.Version == target
	pinned := !in.PinningOver && ((in.ActiveHere && !onTarget) || in.PinnedElsewhere)
	if onTarget || (!pinned && in.Bucket < in.Share) {
		return Binding{Version: target, Trial: true}
	}
	return Binding{ExcludedVersions: []string{target}}
}
