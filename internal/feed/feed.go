// Package feed keeps a replica of the platform's store on each VM. In each zone the VM of the lowest rank, the reader,
// watches the store; the next one, the backup reader, takes over when the reader sends no updates for the backup
// silence timeout. The one that watches sends updates to the other VMs of the zone by datagram. A VM that receives no update
// for its silence timeout watches the store itself.
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
var ErrHistoryGone = errors.New("history of the store is gone")

// ErrLeaseGone reports that a lease has expired.
var ErrLeaseGone = errors.New("lease has expired")

// ErrExists reports that the key to create exists.
var ErrExists = errors.New("key already exists")

// Item is the newest change of one key of the store.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Lease is the lease that the key expires with; 0 if there is none.
	Lease uint64 `json:"lease,omitempty"`
	// Revision is the store's revision of the change.
	Revision uint64 `json:"revision"`
	// Deleted is set on a tombstone: the key was deleted at the revision. LastValue is the value before, if that is known and short.
	Deleted   bool   `json:"deleted,omitempty"`
	LastValue []byte `json:"last_value,omitempty"`
	// Era is the store's era that the revision belongs to. An Update has one for all its items.
	Era uint64 `json:"-"`
}

// Page is one part of a full scan.
type Page struct {
	Items []Item
	// More says that further pages follow.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
	// Era is the store's era when the page was read; 0 if the answer doesn't tell.
	Era uint64
}

// Changes are the changes of the store after a revision.
type Changes struct {
	Items []Item
	// Revision is the one that the changes lead to.
	Revision uint64
	// Era is the store's era; 0 if the answer doesn't tell. A failed answer may tell it as well.
	Era uint64
}

// Source reads the store.
type Source interface {
	// Range returns the first items after a key, in the order of their keys. A stale page is cheaper for the store and
	// may be some seconds old; Page.Revision tells how old.
	Range(ctx context.Context, after string, stale bool) (Page, error)
	// Watch waits until there are changes after a revision, for at most wait, and returns them. It fails with ErrHistoryGone if the
	// store no longer has them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

// Receiver applies what the VM learns of the store. The Controller calls it in Run.
type Receiver interface {
	// Apply takes in a change of one key.
	Apply(ctx context.Context, i Item)
	// ApplyFullScan takes in all keys of the store; every other key is gone.
	ApplyFullScan(ctx context.Context, keys []string)
	// Compare tells which of two items of a key was written last, by what they say themselves: after a restore of the store their
	// revisions don't tell.
	Compare(held, found Item) Precedence
	// SetRestored tells that the store was restored from a backup. Apply and ApplyFullScan follow with what it holds now.
	SetRestored(ctx context.Context)
	// SetReachable tells whether the store can be read, directly or through a peer; err is the cause if it can't.
	SetReachable(ctx context.Context, ok bool, err error)
	// SetFleetRank tells the VM's rank among all VMs, from 0.
	SetFleetRank(ctx context.Context, rank int)
	// SetZoneMembers tells the names of the VMs of this VM's availability zone that have a member key, sorted. It is called once the
	// first full scan is complete, and with each change.
	SetZoneMembers(ctx context.Context, vms []string)
}

// Keys of the store that this package owns: memberPrefix begins a member key, before the VM's name, and secretKey holds
// the secret of the datagrams.
const (
	memberPrefix = "cornelmux/vm/"
	secretKey    = "cornelmux/secret"
)

// Member is a VM that receives updates.
type Member struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Address is where the VM receives datagrams, as host:port.
	Address string `json:"address"`
}

// Ranks in a zone that have a role.
const (
	// rankReader is the rank of the VM that watches the store for its zone.
	rankReader = 0
	// rankBackup and rankLastBackup are the ranks of the first and the last of the VMs that read the store in turn while they
	// hear nothing, and tell the others. The store may refuse some of them.
	rankBackup     = 1
	rankLastBackup = 6
)

// Rank returns the position of a VM among the members of its zone in the order of the hashes of their names, from 0. An
// empty zone stands for all zones. updateRanks calls it when the members may have changed.
func Rank(vm, zone string, members map[string]Member) int {
	rank := 0
	own := nameHash(vm)
	for _, m := range members {
		other := nameHash(m.VM)
		if (zone == "" || m.Zone == zone) && m.VM != vm && (other < own || (other == own && m.VM < vm)) {
			rank++
		}
	}
	return rank
}

// Timing holds the delays of reading the store and of listening to peers, which keep within the propagation bound.
type Timing struct {
	// BatchDelay is the time between two watches of the reader; it batches changes.
	BatchDelay time.Duration
	// WatchTimeout is the longest time between the ends of two watches of the reader; a dead connection is noticed
	// after it.
	WatchTimeout time.Duration
	// BackupSilence and Silence are the silence timeouts of the first backup reader and of the last one and every VM after
	// it: after that time without an update they watch the store themselves. Those of the backups between lie evenly.
	BackupSilence time.Duration
	Silence       time.Duration
}

// Shares of the propagation bound, 0 to 1, that NewTiming gives to each time. A VM that starts to watch after its
// silence timeout learns of a change within one batch delay, so BackupSilence plus BatchDelay is below Silence, and
// Silence plus BatchDelay below the bound.
const (
	batchDelayShare    = 0.2
	watchTimeoutShare  = 0.4
	backupSilenceShare = 0.55
	silenceShare       = 0.76
)

// NewTiming derives the timing from the propagation bound.
func NewTiming(propagationBound time.Duration) Timing {
	scale := func(share float64) time.Duration { return time.Duration(share * float64(propagationBound)) }
	return Timing{BatchDelay: scale(batchDelayShare), WatchTimeout: scale(watchTimeoutShare), BackupSilence: scale(backupSilenceShare), Silence: scale(silenceShare)}
}

// silenceTimeout returns how long a VM of the rank waits for updates before it watches the store itself; 0 means at once. A
// reader whose own reads fail has the longest timeout, since a backup reader sends updates. startRead calls it.
func (t Timing) silenceTimeout(rank int, readFailed bool) time.Duration {
	switch {
	case rank == rankReader && !readFailed:
		return 0
	case rank >= rankBackup && rank < rankLastBackup:
		return t.BackupSilence + (t.Silence-t.BackupSilence)*time.Duration(rank-rankBackup)/(rankLastBackup-rankBackup)
	default:
		return t.Silence
	}
}

// restoreDelay returns how long a VM of the rank that finds the store restored waits for a peer to tell what it holds, before it reads
// all of it: at first the reader does, then the backups in turn, and last all others, spread over time.
func (t Timing) restoreDelay(rank int) time.Duration {
	if rank <= rankLastBackup {
		return t.BackupSilence * time.Duration(max(rank, rankReader)) / rankLastBackup
	}
	return jitter(t.Silence)
}

// nameHash is the hash that VMs are ranked by.
func nameHash(vm string) uint64 { return xxhash.Sum64String(vm) }

// ZoneMembers returns the names of the VMs of the zone, sorted.
func ZoneMembers(zone string, members map[string]Member) []string {
	names := []string{}
	for name, m := range members {
		if m.Zone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ZonePeers returns the addresses of the other VMs of the zone, sorted.
func ZonePeers(vm, zone string, members map[string]Member) []string {
	return addresses(members, func(m Member) bool { return m.Zone == zone && m.VM != vm })
}

// RemotePeers returns the addresses of the VMs of other zones, sorted.
func RemotePeers(zone string, members map[string]Member) []string {
	return addresses(members, func(m Member) bool { return m.Zone != zone })
}

// addresses returns the addresses of the wanted members, sorted, for ZonePeers and RemotePeers. Members without an address
// are left out.
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

// memberName returns the name of the VM whose member key it is, and whether it is a member key.
func memberName(key string) (string, bool) { return strings.CutPrefix(key, memberPrefix) }
