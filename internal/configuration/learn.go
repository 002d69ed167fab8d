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
	// proofsPerFreshness is how often within the freshness limit a proof is renewed.
	proofsPerFreshness = 3
	proversPerZone     = 2
)

// Peers reads the configuration that other entry VMs hold.
type Peers interface {
	// Head returns the peer's head if its revision is above newerThan, and the age of the peer's proof.
	Head(ctx context.Context, address string, newerThan uint64) (PeerHead, error)
	Part(ctx context.Context, address, digest string) ([]byte, error)
}

// PeerHead is a peer's answer.
type PeerHead struct {
	// Revision is the peer's newest revision; Head is empty unless it is newer than asked.
	Revision uint64
	Head     Head
	// Confirmed says that ProvenAge is known.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// offer says that a peer holds a newer revision.
type offer struct {
	address  string
	revision uint64
}

// learn fetches what peers offer; the next datagram repeats an offer that fails.
func (c *Controller) learn(ctx context.Context) error {
	for {
		select {
		case o := <-c.offers:
			if err := c.accept(ctx, o); err != nil {
				c.log.V(1).Info("configuration of a peer was not learnt", "peer", o.address, "error", err.Error())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) accept(ctx context.Context, o offer) error {
	now, err := c.Current(ctx)
	if err != nil || now.Revision >= o.revision {
		return err
	}
	h, err := c.peers.Head(ctx, o.address, now.Revision)
	if err != nil {
		return err
	}
	return c.take(ctx, h.Head, c.fromPeer(o.address))
}

// fromPeer reads a part from the peer, or from the platform where the peer can't answer.
func (c *Controller) fromPeer(address string) func(context.Context, string) ([]byte, error) {
	return func(ctx context.Context, id string) ([]byte, error) {
		content, err := c.peers.Part(ctx, address, id)
		if err == nil && digest(content) == id {
			return content, nil
		}
		return c.fromPlatform(ctx, id)
	}
}

// prove renews the proof that the revision is the newest while a roll-out is running.
func (c *Controller) prove(ctx context.Context) error {
	period := c.options.FreshnessLimit / proofsPerFreshness
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-c.wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		timer.Reset(period - rand.N(period/4+1))
		now, err := c.Current(ctx)
		if err != nil || !now.Rolling() {
			continue
		}
		if err := c.proveOnce(ctx, now.Revision); err != nil {
			c.log.V(1).Info("the configuration is not proven", "revision", now.Revision, "error", err.Error())
		}
	}
}

// proveOnce asks the platform if this VM is one of its zone's provers, and otherwise asks those first.
func (c *Controller) proveOnce(ctx context.Context, revision uint64) error {
	members, err := task.Ask(ctx, c.mailbox, func(reply chan<- []member) message { return membersMessage{reply} })
	if err != nil {
		return err
	}
	for _, p := range provers(c.options.VM, c.options.Zone, members) {
		if p.vm == c.options.VM {
			break
		}
		if c.proveByPeer(ctx, p.address, revision) == nil {
			return nil
		}
	}
	return c.proveByPlatform(ctx)
}

// provers returns the VMs of a zone that ask the platform for the proof, by rendezvous hashing.
func provers(self, zone string, members []member) []member {
	list := []member{{vm: self, zone: zone}}
	for _, m := range members {
		if m.zone == zone && m.vm != self && m.address != "" {
			list = append(list, m)
		}
	}
	weight := func(m member) uint64 { return xxhash.Sum64String(m.zone + "\x00" + m.vm) }
	slices.SortFunc(list, func(a, b member) int { return cmp.Compare(weight(b), weight(a)) })
	return list[:min(proversPerZone, len(list))]
}

var errNotProven = errors.New("the peer has no recent proof of this revision")

// proveByPeer counts the age of a peer's proof from before the question, so that a slow answer can't make it younger.
func (c *Controller) proveByPeer(ctx context.Context, address string, revision uint64) error {
	asked := time.Now()
	h, err := c.peers.Head(ctx, address, revision)
	if err != nil {
		return err
	}
	if h.Revision > revision {
		return c.take(ctx, h.Head, c.fromPeer(address))
	}
	if h.Revision < revision || !h.Confirmed || h.ConfirmedAge > c.options.FreshnessLimit/2 {
		return errNotProven
	}
	held, err := c.Replica(ctx)
	if err != nil {
		return err
	}
	if held.Head.Revision != revision {
		return errNotProven
	}
	return task.Tell(c.mailbox, message(provenMessage{held.Head, asked.Add(-h.ConfirmedAge)}))
}

// proveByPlatform counts from before the question: the VM may have been paused while the answer was on its way.
func (c *Controller) proveByPlatform(ctx context.Context) error {
	asked := time.Now()
	v, err := c.store.Get(ctx, HeadKey)
	if err != nil {
		return err
	}
	if err := c.follow(ctx, v); err != nil {
		return err
	}
	head, err := parseHead(v)
	if err != nil {
		return err
	}
	return task.Tell(c.mailbox, message(provenMessage{head, asked}))
}
