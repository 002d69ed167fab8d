// Package feed follows the platform's store. Two VMs of each zone read it; they pass what is new on to the others of the
// zone, and a VM that hears nothing reads for itself.
package feed

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrHistoryGone reports that the store no longer has the changes that a watch asked for.
var ErrHistoryGone = errors.New("history is gone")

// ErrLeaseGone reports that a lease has ended.
var ErrLeaseGone = errors.New("lease has ended")

// ErrExists reports that a key exists already.
var ErrExists = errors.New("key exists")

// Item is one key of the store, as it stands or as it was deleted.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Lease is the lease that the key ends with; 0 is none.
	Lease uint64 `json:"lease,omitempty"`
	// Revision is that of the last change.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Page is a part of the store's items and the store's revision when it was read.
type Page struct {
	Items    []Item
	More     bool
	Revision uint64
}

// Source reads the store.
type Source interface {
	// Range returns the items behind a key, in the order of their keys. A stale page is cheaper and may show the store as
	// it stood some seconds ago, at the page's revision.
	Range(ctx context.Context, after string, stale bool) (Page, error)
	// Watch waits for changes after a revision; it fails with ErrHistoryGone where they are no longer known.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// Receiver takes in what the store says.
type Receiver interface {
	Apply(ctx context.Context, i Item)
	// ApplyFullScan says that the store was read whole, and which keys it holds.
	ApplyFullScan(ctx context.Context, keys []string)
	// SetReachable says whether the store can be read, at the source or through a peer.
	SetReachable(ctx context.Context, ok bool, err error)
	// SetFleetRank says which place the VM has among all of them, from 0.
	SetFleetRank(ctx context.Context, rank int)
}

// Keys of the feed's own.
const (
	memberPrefix = "cornelmux/vm/"
	secretKey    = "cornelmux/secret"
)

// Member is a VM that takes news.
type Member struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Address takes datagrams, as host:port.
	Address string `json:"address"`
}

// Roles of a VM in the reading of the store, by its rank in the zone.
const (
	// rankReader reads the store for its zone.
	rankReader = 0
	// rankBackup does so while it hears nothing of the reader.
	rankBackup = 1
)

// Rank is the VM's place among those of its zone by the hash of their names, from 0; all zones count where zone is "".
func Rank(vm, zone string, members map[string]Member) int {
	before := 0
	own := rankOf(vm)
	for _, m := range members {
		other := rankOf(m.VM)
		if (zone == "" || m.Zone == zone) && m.VM != vm && (other < own || (other == own && m.VM < vm)) {
			before++
		}
	}
	return before
}

// Pace says how often the store is read, so that every VM learns of a change within a bound.
type Pace struct {
	// Pause lies between two watches of the reader, so that changes come in batches.
	Pause time.Duration
	// Wait is the longest time between the ends of two watches of the reader; a connection that went silent shows after it.
	Wait time.Duration
	// BackupQuiet and Quiet are how long the backup and every other VM wait for news before they read for themselves.
	BackupQuiet time.Duration
	Quiet       time.Duration
}

// Parts of the bound within which every VM has to learn of a change.
const (
	pausePart       = 0.2
	waitPart        = 0.4
	backupQuietPart = 0.55
	quietPart       = 0.76
)

// NewPace derives the pace from the time within which every VM has to learn of a change.
func NewPace(within time.Duration) Pace {
	part := func(share float64) time.Duration { return time.Duration(share * float64(within)) }
	return Pace{Pause: part(pausePart), Wait: part(waitPart), BackupQuiet: part(backupQuietPart), Quiet: part(quietPart)}
}

// patience is how long a VM of the rank hears nothing before it reads for itself. A reader whose own readings fail is
// content with what it hears of the backup.
func (p Pace) patience(rank int, failing bool) time.Duration {
	switch {
	case rank == rankReader && !failing:
		return 0
	case rank == rankBackup:
		return p.BackupQuiet
	default:
		return p.Quiet
	}
}

func rankOf(vm string) uint64 { return xxhash.Sum64String(vm) }

// Listeners returns the addresses of the zone's other VMs, in a fixed order.
func Listeners(vm, zone string, members map[string]Member) []string {
	return addresses(members, func(m Member) bool { return m.Zone == zone && m.VM != vm })
}

// Others returns the addresses of the VMs of other zones, in a fixed order.
func Others(zone string, members map[string]Member) []string {
	return addresses(members, func(m Member) bool { return m.Zone != zone })
}

func addresses(members map[string]Member, wanted func(Member) bool) []string {
	var out []string
	for _, m := range members {
		if m.Address != "" && wanted(m) {
			out = append(out, m.Address)
		}
	}
	slices.Sort(out)
	return out
}

// memberName returns the VM's name in the key of a member.
func memberName(key string) (string, bool) { return strings.CutPrefix(key, memberPrefix) }
