package journal

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/peer"
)

const (
	membersAge = time.Second
	avoidFor   = 5 * time.Second
)

// Members gives the other VMs that were heard of lately.
type Members interface {
	Members(ctx context.Context) ([]peer.Member, error)
}

// Peers calls other entry VMs.
type Peers interface {
	// Append appends entries at the VM, which writes them itself.
	Append(ctx context.Context, address, region string, partition int, entries []Entry) ([]Outcome, error)
	// FetchAnswer waits for a request that runs at the VM, and returns its answer.
	FetchAnswer(ctx context.Context, address string, k Key, fingerprint uint64) (FindResult, error)
}

// FindResult is what a VM knows of a request: its answer, or that it ended without a send.
type FindResult struct {
	Answer *Answer
	NotRun bool
}

// owner forwards entries to the VM that likely owns the partition. Two VMs that disagree cost a retry, no more.
type owner struct {
	id      partitionID
	opts    Options
	members Members
	peers   Peers
	address string
	until   time.Time
}

// append returns nil where this VM has to append by itself. Tried says that the entries may have been appended.
func (o *owner) append(ctx context.Context, entries []Entry) (outcomes []Outcome, tried bool) {
	call, cancel := context.WithTimeout(ctx, o.opts.ForwardTimeout)
	defer cancel()
	if now := time.Now(); !now.Before(o.until) {
		o.address, o.until = o.likely(call), now.Add(membersAge)
	}
	if o.address == "" {
		return nil, false
	}
	outcomes, err := o.peers.Append(call, o.address, o.id.region, o.id.number, entries)
	if err != nil || len(outcomes) != len(entries) {
		o.avoid(time.Now(), avoidFor)
		return nil, true
	}
	return outcomes, true
}

// avoid makes this VM append by itself for d.
func (o *owner) avoid(now time.Time, d time.Duration) { o.address, o.until = "", now.Add(d) }

func (o *owner) likely(ctx context.Context) string {
	list, err := o.members.Members(ctx)
	if err != nil {
		return ""
	}
	self := peer.Member{VM: o.opts.VM, Region: o.opts.Region, ControlAddress: o.opts.Address}
	m, ok := Owner(append(list, self), o.id.region, o.id.number)
	if !ok || m.VM == o.opts.VM {
		return ""
	}
	return m.ControlAddress
}

// Owner returns the VM of the region that likely owns the partition, by rendezvous hashing.
func Owner(list []peer.Member, region string, partition int) (peer.Member, bool) {
	best, found, most := peer.Member{}, false, uint64(0)
	for _, m := range list {
		if m.Region != region || m.Leaving || m.Unresponsive() || m.ControlAddress == "" {
			continue
		}
		score := xxhash.Sum64String(m.VM + "\x00" + region + "\x00" + strconv.Itoa(partition))
		if !found || score > most {
			best, found, most = m, true, score
		}
	}
	return best, found
}
