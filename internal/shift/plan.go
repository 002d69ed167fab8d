// Package shift moves a service's traffic to another version within a given time: a share of new sessions first, all of
// it once the version has proved good, none as soon as it proves bad.
package shift

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shape of a shift, as shares of its duration and of the sessions.
const (
	// settleFor is how long VMs exchange which sessions are active before the first session gets the new version.
	settleFor = 2 * time.Second
	// CanaryShare is the share of new sessions that get the version in the first half.
	CanaryShare = 0.06
	// probeShare is the share that the version gets between firstHalf and rampFrom.
	probeShare = 0.3
	firstHalf  = 0.5
	rampFrom   = 0.68
	// fullFrom is when all sessions get the version, completeBy when the shift ends whatever still runs.
	fullFrom   = 0.82
	completeBy = 0.93
	// leastProof is how many answers of the version a VM needs before it gives it more than the canary's share.
	leastProof = 3
)

// Order asks to move a service to a version.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
	// Revision numbers the order; a later order has a greater one.
	Revision uint64
}

// State is how far a shift is.
type State int

// The values of State.
const (
	StateRunning State = iota + 1
	StateCompleted
	StateRolledBack
)

var stateNames = map[State]string{StateRunning: "running", StateCompleted: "completed", StateRolledBack: "rolled_back"}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state of that name, or 0.
func ParseState(name string) State {
	for s, n := range stateNames {
		if n == name {
			return s
		}
	}
	return 0
}

// Record is what all VMs agree on about a shift.
type Record struct {
	Order
	State State
	// OldVersions lists the versions that served before.
	OldVersions []string
	// StartedAt is set by the VM that saw the order first.
	StartedAt time.Time
	Reason    string
}

// Share returns the share of sessions that get the new version after the elapsed time. It never falls.
func Share(elapsed, duration time.Duration) float64 {
	f := float64(elapsed) / float64(duration)
	switch {
	case elapsed < settleFor:
		return 0
	case f < firstHalf:
		return CanaryShare
	case f < rampFrom:
		return CanaryShare + (probeShare-CanaryShare)*(f-firstHalf)/(rampFrom-firstHalf)
	case f < fullFrom:
		return probeShare + (1-probeShare)*(f-rampFrom)/(fullFrom-rampFrom)
	default:
		return 1
	}
}

// late reports whether sessions of the old version may move.
func late(elapsed, duration time.Duration) bool {
	return float64(elapsed) > firstHalf*float64(duration)
}

// Bucket is the session's fixed place from 0 up to 1 for a target; sessions below the share get the new version.
func Bucket(session uint64, target string) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], session)
	h := xxhash.Sum64String(target + string(key[:]))
	return float64(h>>11) / (1 << 53)
}

// SessionHash names a session in what VMs tell each other.
func SessionHash(session string) uint64 { return xxhash.Sum64String(session) }

// Binding is the version that a run may go to: Version alone if it is set, else any but Barred.
type Binding struct {
	Version          string
	ExcludedVersions []string
}

// Case is what Bind decides from.
type Case struct {
	Record Record
	// Known says that the session is active at this VM, on Version.
	Known   bool
	Version string
	// Elsewhere says that the session was active on the old version at some VM when the shift began.
	Elsewhere bool
	// Share is the present share, Bucket the session's place.
	Share  float64
	Bucket float64
	Late   bool
}

// Bind decides which version a request gets.
func Bind(c Case) Binding {
	target := c.Record.Target
	switch c.Record.State {
	case StateCompleted:
		return Binding{ExcludedVersions: c.Record.OldVersions}
	case StateRolledBack:
		return Binding{ExcludedVersions: []string{target}}
	}
	onTarget := c.Known && c.Version == target
	bound := !c.Late && ((c.Known && !onTarget) || c.Elsewhere)
	if onTarget || (!bound && c.Bucket < c.Share) {
		return Binding{Version: target}
	}
	return Binding{ExcludedVersions: []string{target}}
}
