package configuration

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornelmux/internal/task"
)

const (
	// confirmsPerLimit is how often at least a VM tries to renew its confirmation per freshness limit while a rollout runs.
	confirmsPerLimit = 3
	// confirmersPerZone is the number of VMs of a zone that the others ask before the platform; the second asks the first.
	confirmersPerZone = 2
)

// Peers reads the configuration that other entry VMs hold. The Controller's tasks call it for an offer or a confirmation.
type Peers interface {
	// Head returns the peer's head if its revision is above newerThan, and the age of the peer's confirmation.
	Head(ctx context.Context, address string, newerThan uint64) (PeerHead, error)
	// Part returns the content of a part.
	Part(ctx context.Context, address, digest string) ([]byte, error)
}

// PeerHead is a peer's answer about its configuration.
type PeerHead struct {
	// Revision is the peer's newest revision; Head is empty unless that is newer than asked for.
	Revision uint64
	Head     Head
	// Confirmed says that the peer's revision was confirmed as the newest, ConfirmedAge ago.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// offer says that a peer holds a newer revision.
type offer struct {
	address  string
	revision uint64
}

// fetchFromPeers fetches newer configurations that peers offer, until ctx ends. It runs as a task of its own. If a
// fetch fails, the peer's next datagram repeats the offer.
func (c *Controller) fetchFromPeers(ctx context.Context) error {
	for {
		select {
		case o := <-c.offers:
			if err := c.fetchOffer(ctx, o); err != nil {
				c.log.V(1).Info("configuration not fetched from peer", "peer", o.address, "error", err.Error())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// fetchOffer adopts the peer's configuration unless the VM already knows the offered revision. fetchFromPeers calls it.
func (c *Controller) fetchOffer(ctx context.Context, o offer) error {
	current, err := c.Current(ctx)
	if err != nil || current.Revision >= o.revision {
		return err
	}
	h, err := c.peers.Head(ctx, o.address, current.Revision)
	if err != nil {
		return err
	}
	return c.adopt(ctx, h.Head, c.fromPeer(o.address))
}

// fromPeer returns a source that reads a part from the peer, or from the platform if the peer doesn't return it intact.
// fetchOffer and confirmByPeer pass it to adopt.
func (c *Controller) fromPeer(address string) func(context.Context, string) ([]byte, error) {
	return func(ctx context.Context, id string) ([]byte, error) {
		content, err := c.peers.Part(ctx, address, id)
		if err == nil && digest(content) == id {
			return content, nil
		}
		return c.fromPlatform(ctx, id)
	}
}

// confirm renews the confirmation that the revision is the newest, while a rollout is running and until ctx ends.
// It runs as a task of its own, which a new revision wakes at once. A failure is only logged; the next renewal tries again.
func (c *Controller) confirm(ctx context.Context) error {
	period := c.options.FreshnessLimit / confirmsPerLimit
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-c.wakeConfirm:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		timer.Reset(period - rand.N(period/4+1))
		current, err := c.Current(ctx)
		if err != nil || !current.RolloutRunning() {
			continue
		}
		if err := c.confirmOnce(ctx, current.Revision); err != nil {
			c.log.V(1).Info("configuration not confirmed as the newest", "revision", current.Revision, "error", err.Error())
		}
	}
}

// confirmOnce asks the zone's confirmers that rank before this VM, and the platform
// if none of them has a recent confirmation. confirm calls it.
func (c *Controller) confirmOnce(ctx context.Context, revision uint64) error {
	members, err := task.Ask(ctx, c.mailbox, func(reply chan<- []member) message { return membersMessage{reply} })
	if err != nil {
		return err
	}
	for _, m := range confirmers(c.options.VM, c.options.Zone, members) {
		if m.vm == c.options.VM {
			break
		}
		if c.confirmByPeer(ctx, m.address, revision) == nil {
			return nil
		}
	}
	return c.confirmByPlatform(ctx)
}

// confirmers returns the VMs of a zone, self among the candidates, that the others ask for confirmations before they ask the
// platform. They are selected by rendezvous hashing, the highest hash first. confirmOnce calls it for each renewal.
func confirmers(self, zone string, members []member) []member {
	list := []member{{vm: self, zone: zone}}
	for _, m := range members {
		if m.zone == zone && m.vm != self && m.address != "" {
			list = append(list, m)
		}
	}
	weight := func(m member) uint64 { return xxhash.Sum64String(m.zone + "\x00" + m.vm) }
	slices.SortFunc(list, func(a, b member) int { return cmp.Compare(weight(b), weight(a)) })
	return list[:min(confirmersPerZone, len(list))]
}

var errNotConfirmed = errors.New("the peer has no recent confirmation of this revision")

// confirmByPeer takes over a peer's confirmation, or adopts its configuration if that is newer. The confirmation's age
// counts from before the request, so that a slow answer doesn't make it look younger. confirmOnce calls it.
func (c *Controller) confirmByPeer(ctx context.Context, address string, revision uint64) error {
	asked := time.Now()
	h, err := c.peers.Head(ctx, address, revision)
	if err != nil {
		return err
	}
	if h.Revision > revision {
		return c.adopt(ctx, h.Head, c.fromPeer(address))
	}
	if h.Revision < revision || !h.Confirmed || h.ConfirmedAge > c.options.FreshnessLimit/2 {
		return errNotConfirmed
	}
	held, err := c.Replica(ctx)
	if err != nil {
		return err
	}
	if held.Head.Revision != revision {
		return errNotConfirmed
	}
	return task.Tell(c.mailbox, message(confirmedMessage{held.Head, asked.Add(-h.ConfirmedAge)}))
}

// confirmByPlatform reads the platform's head and adopts it if it is newer. The confirmation dates from before the request,
// since the VM may have been paused while the answer was on its way. confirmOnce calls it.
func (c *Controller) confirmByPlatform(ctx context.Context) error {
	asked := time.Now()
	v, err := c.store.Get(ctx, HeadKey)
	if err != nil {
		return err
	}
	if err := c.adoptStored(ctx, v); err != nil {
		return err
	}
	head, err := parseHead(v)
	if err != nil {
		return err
	}
	return task.Tell(c.mailbox, message(confirmedMessage{head, asked}))
}
