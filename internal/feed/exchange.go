package feed

import (
	"context"
	"time"

	"cornelmux/internal/peer"
)

const (
	// passAgainFor is how long a change is passed on again, for VMs that missed a datagram.
	passAgainFor = 6 * time.Second
	// passAgainBytes bounds what is passed on again.
	passAgainBytes = 6 << 10
	// answerBytes bounds what a VM answers; more is left to the store.
	answerBytes = 64 << 10
	// wantPause lies between two questions of a VM for what it missed.
	wantPause = 200 * time.Millisecond
	// maxJoiners bounds the messages that wait for parts.
	maxJoiners = 64
)

// mark is a revision that was passed on at a time.
type mark struct {
	revision uint64
	at       time.Time
}

// passOn sends the zone's other VMs what changed after the revision, where the VM reads for them, and what it passed on
// shortly before.
func (c *Controller) passOn(from uint64, now time.Time) {
	if c.rank > rankBackup {
		return
	}
	listeners := Listeners(c.opts.Self.VM, c.opts.Self.Zone, c.members)
	if len(listeners) == 0 || len(c.secret) == 0 {
		return
	}
	items, whole := c.known.Since(from)
	if !whole {
		return
	}
	for len(c.marks) > 0 && now.Sub(c.marks[0].at) > passAgainFor {
		c.marks = c.marks[1:]
	}
	if len(c.marks) > 0 {
		if again, ok := c.known.Since(c.marks[0].revision); ok && size(again) <= passAgainBytes {
			from, items = c.marks[0].revision, again
		}
	}
	c.marks = append(c.marks, mark{from, now})
	c.send(News{From: from, To: c.revision, Items: items}, listeners...)
}

func size(items []Item) int {
	n := 0
	for _, i := range items {
		n += len(i.Key) + len(i.Value)
	}
	return n
}

// send sends news to the addresses; what gets lost is asked for again.
func (c *Controller) send(n News, addresses ...string) {
	if len(c.secret) == 0 {
		return
	}
	c.number++
	n.VM, n.Address = c.opts.Self.VM, c.opts.Self.Address
	packets, err := Encode(c.secret, c.number, n)
	if err != nil {
		c.log.Info("news not sent", "error", err.Error())
		return
	}
	for _, address := range addresses {
		for _, p := range packets {
			if err := c.transport.Send(address, p); err != nil {
				c.log.V(1).Info("news not sent", "to", address, "error", err.Error())
			}
		}
	}
}

func (m packetMessage) handle(ctx context.Context, c *Controller) {
	if len(m.data) > 0 && m.data[0] == peer.FormatVersion {
		c.hearState(ctx, m.data)
		return
	}
	n, ok := c.join(m.data)
	switch {
	case !ok || !c.synced || c.whole != nil:
	case n.Wants:
		c.answer(n)
	case n.From > c.revision:
		c.missed(ctx, n)
	case n.To >= c.revision:
		c.apply(ctx, n.Items)
		c.revision = n.To
		c.heard(ctx)
	}
}

// join adds a datagram to the others of its message, and returns the message once it is whole.
func (c *Controller) join(data []byte) (News, bool) {
	key := string(data[min(len(data), 1+macBytes):min(len(data), 9+macBytes)])
	j, ok := c.joiners[key]
	if !ok {
		if len(c.joiners) >= maxJoiners {
			c.joiners = map[string]*Joiner{}
		}
		j = &Joiner{}
		c.joiners[key] = j
	}
	n, whole, err := j.Add(c.secret, data)
	if err != nil {
		c.refused++
		c.log.V(1).Info("news refused", "error", err.Error(), "refused", c.refused)
	}
	if err != nil || whole {
		delete(c.joiners, key)
	}
	return n, whole && err == nil
}

// missed asks the sender for what lies between, and reads the store if no answer comes.
func (c *Controller) missed(ctx context.Context, n News) {
	now := time.Now()
	if now.Sub(c.wantedAt) >= wantPause {
		c.wantedAt = now
		c.send(News{From: c.revision, Wants: true}, n.Address)
	}
	c.heardAt = time.Time{}
	if c.missingSince.IsZero() {
		c.missingSince = now
		if !c.reading && !c.failing {
			c.nextRead = now.Add(wantPause)
		}
	}
	c.read(ctx, now)
}

// answer sends a VM what it missed.
func (c *Controller) answer(n News) {
	items, whole := c.known.Since(n.From)
	if !whole || size(items) > answerBytes {
		c.log.Info("news wanted and not sent", "vm", n.VM, "from", n.From, "bytes", size(items), "whole", whole)
		return
	}
	c.send(News{From: n.From, To: c.revision, Items: items}, n.Address)
}

func (c *Controller) heard(ctx context.Context) {
	c.heardAt, c.missingSince = time.Now(), time.Time{}
	if c.rank != rankReader || c.failing {
		c.receiver.SetReachable(ctx, true, nil)
	}
}
