package journal

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/peer"
)

const (
	// ownerCacheTTL is how long the address of a partition's owner is used before it is looked up again.
	ownerCacheTTL = time.Second
	// forwardBackoff is how long a VM appends by itself after a forward failed.
	forwardBackoff = 5 * time.Second
)

// Members lists the other entry VMs that this VM knows.
type Members interface {
	Members(ctx context.Context) ([]peer.Member, error)
}

// Peers calls other entry VMs.
type Peers interface {
	// Append has the VM at the address append the entries. That VM writes them itself and doesn't forward them.
	Append(ctx context.Context, address, region string, partition int, entries []Entry) ([]Outcome, error)
	// FetchAnswer asks the VM at the address for the answer to a request, and waits while the request runs there.
	FetchAnswer(ctx context.Context, address string, k Key, f Fingerprint) (FindResult, error)
}

// FindResult is what a VM knows about a request. It is empty if the VM knows nothing.
type FindResult struct {
	// Answer is the kept answer, or nil.
	Answer *Answer
	// NotRun reports that the request ended there without being sent.
	NotRun bool
}

// forwarder sends entries to the VM that likely owns the partition, so that one VM writes most of its entries and fewer
// writes conflict. VMs that disagree about the owner cost conflicting writes, which are retried; the log stays correct.
type forwarder struct {
	id      partitionID
	opts    Options
	members Members
	peers   Peers
	// address is the owner's address, or empty if this VM appends by itself; it is used until validUntil.
	address    string
	validUntil time.Time
}

// append forwards the entries to the owner and returns their outcomes, or nil if this VM has to append them by itself.
// In that case maybeAppended reports that the owner may have appended them. The partition calls it before each write.
func (f *forwarder) append(ctx context.Context, entries []Entry) (outcomes []Outcome, maybeAppended bool) {
	callCtx, cancel := context.WithTimeout(ctx, f.opts.ForwardTimeout)
	defer cancel()
	if now := time.Now(); !now.Before(f.validUntil) {
		f.address, f.validUntil = f.ownerAddress(callCtx), now.Add(ownerCacheTTL)
	}
	if f.address == "" {
		return nil, false
	}
	outcomes, err := f.peers.Append(callCtx, f.address, f.id.region, f.id.number, entries)
	if err != nil || len(outcomes) != len(entries) {
		f.appendLocally(time.Now(), forwardBackoff)
		return nil, true
	}
	return outcomes, true
}

// appendLocally turns forwarding off for d, after a failed forward and during shutdown.
func (f *forwarder) appendLocally(now time.Time, d time.Duration) {
	f.address, f.validUntil = "", now.Add(d)
}

// ownerAddress returns the address of the likely owner. It is empty if this VM is the owner or the members can't be read.
// append calls it when the cached address has expired.
func (f *forwarder) ownerAddress(ctx context.Context) string {
	list, err := f.members.Members(ctx)
	if err != nil {
		return ""
	}
	self := peer.Member{VM: f.opts.VM, Region: f.opts.Region, ControlAddress: f.opts.Address}
	m, ok := Owner(append(list, self), f.id.region, f.id.number)
	if !ok || m.VM == f.opts.VM {
		return ""
	}
	return m.ControlAddress
}

// Owner returns the VM of the region that owns the partition, by rendezvous hashing over the VMs that are responsive and
// not leaving. VMs with different member lists may disagree. ownerAddress calls it.
func Owner(list []peer.Member, region string, partition int) (peer.Member, bool) {
	best, found, highest := peer.Member{}, false, uint64(0)
	for _, m := range list {
		if m.Region != region || m.Leaving || m.Unresponsive() || m.ControlAddress == "" {
			continue
		}
		score := xxhash.Sum64String(m.VM + "\x00" + region + "\x00" + strconv.Itoa(partition))
		if !found || score > highest {
			best, found, highest = m, true, score
		}
	}
	return best, found
}
